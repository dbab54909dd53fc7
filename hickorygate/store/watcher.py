"""Reads newer versions of a document from the store, as its plan decides."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import functools
from typing import Protocol

import expression
import logbook

from hickorygate.core import clock as clocks
from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.store import client as clients
from hickorygate.store import objects
from hickorygate.store import sheet_state
from hickorygate.store import watch

__all__ = ["Fetch", "SOURCE", "DocumentOwner", "Watcher", "instances", "sheet"]

SOURCE = "platform"
"""Source of the documents that were read from the store."""

FetchResult = expression.Result[
    documents.ReceivedDocument | objects.Unchanged, errors.Failure
]
Fetch = Callable[[int, datetime.timedelta], Awaitable[FetchResult]]
"""Reads a document newer than a version, and waits up to a time for one."""

_log = logbook.Logger(__name__)


class DocumentOwner(Protocol):
    """The owner of the documents in force."""

    @property
    def role(self) -> watch.RelayRole:
        """Role of this proxy among the other proxies."""

    def record_store_contact(self) -> None:
        """Records that the store answered."""

    async def perform(self, effect: sheet_state.Effect) -> None:
        """Carries out a decision about a document."""


class Watcher:
    """Runs the steps that one document's plan chooses."""

    __slots__ = ("_clock", "_document", "_fetch", "_holder", "_plan")

    def __init__(
        self,
        fetch: Fetch,
        plan: watch.WatchPlan,
        document: watch.Document,
        holder: DocumentOwner,
        clock: clocks.Clock,
    ) -> None:
        self._fetch = fetch
        self._plan = plan
        self._document = document
        self._holder = holder
        self._clock = clock

    def __repr__(self) -> str:
        return f"Watcher({self._document!r}, {self._plan!r})"

    async def run(self) -> None:
        """Runs steps until the task is cancelled."""
        while True:
            step = self._plan.step(self._holder.role, self._clock.now())
            await _run(step, self)

    async def pause(self, duration: datetime.timedelta) -> None:
        """Waits for a time."""
        await self._clock.sleep(duration)

    async def ask(self, after: int, wait: datetime.timedelta) -> None:
        """Reads a newer version from the store and handles the outcome.

        Args:
          after: version that the new one must exceed.
          wait: maximum time to wait for a new version; zero to read only.
        """
        match await self._fetch(after, wait):
            case expression.Result(tag="ok", ok=found):
                self._holder.record_store_contact()
                await self._offer(found)
                outcome = watch.Answered(found.version)
            case expression.Result(tag="error", error=failure):
                _log.warning(
                    "reading a document newer than version {} failed: {}",
                    after,
                    failure.message,
                )
                outcome = watch.Failed(failure)
        for effect in self._plan.handle(outcome, self._clock.now()):
            await self._holder.perform(effect)

    async def _offer(
        self, found: documents.ReceivedDocument | objects.Unchanged
    ) -> None:
        if isinstance(found, objects.Unchanged):
            return
        for effect in self._document.offer(found):
            await self._holder.perform(effect)


def sheet(client: clients.Client) -> Fetch:
    """Returns a function that reads the sheet with the client."""

    async def fetch(after: int, wait: datetime.timedelta) -> FetchResult:
        found = await client.newer_sheet(after, wait)
        return found.map(lambda f: _candidate(f, lambda value: value.text))

    return fetch


def instances(client: clients.Client) -> Fetch:
    """Returns a function that reads the list of instances with the client."""

    async def fetch(after: int, wait: datetime.timedelta) -> FetchResult:
        found = await client.newer_instances(after, wait)
        return found.map(
            lambda f: _candidate(f, lambda value: value.model_dump_json())
        )

    return fetch


def _candidate(
    found: objects.StoredValue[objects.ValueT] | objects.Unchanged,
    text: Callable[[objects.ValueT], str],
) -> documents.ReceivedDocument | objects.Unchanged:
    if isinstance(found, objects.Unchanged):
        return found
    return documents.ReceivedDocument(found.version, text(found.value), SOURCE)


@functools.singledispatch
async def _run(step: watch.Step, watcher: Watcher) -> None:
    raise TypeError(f"no handler for {step!r}; register one")


@_run.register
async def _(step: watch.Pause, watcher: Watcher) -> None:
    await watcher.pause(step.duration)


@_run.register
async def _(step: watch.Watch, watcher: Watcher) -> None:
    await watcher.ask(step.after, step.wait)


@_run.register
async def _(step: watch.Read, watcher: Watcher) -> None:
    await watcher.ask(step.after, datetime.timedelta())
