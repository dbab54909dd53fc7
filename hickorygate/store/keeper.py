"""Manages the sheet and the list of instances that are in force.

Starts the watchers of both documents, carries out the decisions about new
versions, and passes documents on to other proxies.
"""

from __future__ import annotations

import datetime
import functools
import random
from typing import Protocol

import logbook

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import document as documents
from hickorygate.core import events
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.store import client as clients
from hickorygate.store import configuration as configurations
from hickorygate.store import directory as directories
from hickorygate.store import watch
from hickorygate.store import watcher as watchers

__all__ = ["Fleet", "Keeper", "Parts"]

_REVIEW_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between two checks of the planned stops."""

_log = logbook.Logger(__name__)


class Parts(Protocol):
    """The components of this process that are built from the sheet."""

    async def apply(self, sheet: sheets.Sheet) -> None:
        """Builds or updates the components that a sheet defines."""

    def leave(self, names: frozenset[str]) -> None:
        """Sets the instances that get no new work, replacing the former set."""


class Fleet(Protocol):
    """The other proxies."""

    @property
    def role(self) -> watch.Role:
        """Role of this proxy among the other proxies."""

    def reach_store(self) -> None:
        """Records that the store answered."""

    def hold(self, kind: documents.DocumentKind, version: int) -> None:
        """Announces a version that is in force in this process."""

    def reject(self, kind: documents.DocumentKind, version: int) -> None:
        """Records a version that was rejected as invalid."""


class Keeper:
    """The documents in force, and the watchers that keep them up to date."""

    def __init__(
        self,
        client: clients.Client,
        parts: Parts,
        clock: clocks.Clock,
        time_line: events.TimeLine,
        generator: random.Random,
    ) -> None:
        """Makes no call yet.

        Args:
          client: client of the object API.
          parts: components that are built from the sheet.
          clock: source of time and of delays.
          time_line: timeline that events are recorded on.
          generator: source of jitter.
        """
        self._parts = parts
        self._clock = clock
        self._time_line = time_line
        self._generator = generator
        self._client = client
        self._configuration = configurations.Configuration()
        self._directory = directories.Directory()
        self._fleet: Fleet | None = None
        self._background = background.Background()

    @property
    def client(self) -> clients.Client:
        """The client of the object API."""
        return self._client

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None until one was received."""
        return self._configuration.sheet

    @property
    def directory(self) -> directories.Directory:
        """The list of instances in force, and the instances that leave."""
        return self._directory

    @property
    def role(self) -> watch.Role:
        """Role of this proxy among the other proxies."""
        return self._others.role

    @property
    def _others(self) -> Fleet:
        assert self._fleet is not None, "not started; call start() first"
        return self._fleet

    def __repr__(self) -> str:
        return f"Keeper({self._configuration!r}, {self._directory!r})"

    def start(self, fleet: Fleet) -> None:
        """Starts to watch the documents and to announce them.

        Args:
          fleet: the other proxies.
        """
        self._fleet = fleet
        for watched, documents_of in (
            (watchers.sheet(self._client), self._configuration),
            (watchers.instances(self._client), self._directory),
        ):
            watcher = self._watcher(watched, documents_of)
            self._background.start(watcher.run())
        self._background.start(self._review())

    async def close(self) -> None:
        """Stops watching and closes the client."""
        await self._background.close()
        await self._client.close()

    def document(self, kind: documents.DocumentKind) -> str:
        """Returns the text of a document in force; empty without one."""
        if kind is documents.DocumentKind.INSTANCES:
            return self._directory.text
        return self.sheet.text if self.sheet else ""

    async def take_document(
        self, kind: documents.DocumentKind, candidate: documents.Candidate
    ) -> None:
        """Applies or rejects a document that another proxy sent."""
        document = (
            self._directory
            if kind is documents.DocumentKind.INSTANCES
            else self._configuration
        )
        for effect in document.offer(candidate):
            await self.perform(effect)

    def reach_store(self) -> None:
        """Records that the store answered."""
        self._others.reach_store()

    async def perform(self, effect: configurations.Effect) -> None:
        """Carries out a decision about a document."""
        await _perform(effect, self)

    async def apply(self, effect: configurations.Apply) -> None:
        """Puts a sheet in force."""
        sheet = effect.sheet
        self._directory.plan(sheet.planned_stops)
        await self._parts.apply(sheet)
        self._parts.leave(self._directory.leaving)
        self._time_line.record(
            events.ConfigApplied(sheet.version, effect.source)
        )
        self._others.hold(documents.DocumentKind.SHEET, sheet.version)

    async def hold_instances(self, version: int) -> None:
        """Puts a list of instances in force."""
        await self.review()
        self._others.hold(documents.DocumentKind.INSTANCES, version)

    async def review(self) -> None:
        """Updates the set of instances that are leaving now."""
        for effect in self._directory.review(self._clock.now()):
            await self.perform(effect)

    def leave(self, names: frozenset[str]) -> None:
        """Sets the instances that get no new work, replacing the former set."""
        self._time_line.record(events.InstancesLeaving(tuple(sorted(names))))
        self._parts.leave(names)

    def reject(self, effect: configurations.Reject) -> None:
        """Reports an invalid document."""
        reason = effect.failure.message
        _log.error(reason)
        self._time_line.record(
            events.ConfigRejected(effect.version, effect.source, reason)
        )
        self._others.reject(effect.document, effect.version)

    def report_reset(
        self, found: types.SheetVersion, in_force: types.SheetVersion
    ) -> None:
        """Reports that the store holds an older sheet than this process."""
        self._time_line.record(events.StoreReset(found, in_force))

    def _watcher(
        self, fetch: watchers.Fetch, document: watch.Document
    ) -> watchers.Watcher:
        plan = watch.WatchPlan(document, self._generator)
        return watchers.Watcher(fetch, plan, document, self, self._clock)

    async def _review(self) -> None:
        while True:
            await self.review()
            await self._clock.sleep(_REVIEW_INTERVAL)


@functools.singledispatch
async def _perform(effect: configurations.Effect, keeper: Keeper) -> None:
    raise TypeError(f"no handler for {effect!r}; register one")


@_perform.register
async def _(effect: configurations.Apply, keeper: Keeper) -> None:
    await keeper.apply(effect)


@_perform.register
async def _(effect: configurations.Reject, keeper: Keeper) -> None:
    keeper.reject(effect)


@_perform.register
async def _(effect: configurations.ReportReset, keeper: Keeper) -> None:
    keeper.report_reset(effect.found, effect.in_force)


@_perform.register
async def _(effect: directories.Hold, keeper: Keeper) -> None:
    await keeper.hold_instances(effect.version)


@_perform.register
async def _(effect: directories.Leaving, keeper: Keeper) -> None:
    keeper.leave(effect.names)
