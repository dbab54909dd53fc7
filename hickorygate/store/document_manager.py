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
from hickorygate.store import directory as directories
from hickorygate.store import sheet_state
from hickorygate.store import watch
from hickorygate.store import watcher as watchers

__all__ = ["Peers", "DocumentManager", "SheetConsumer"]

_REVIEW_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between two checks of the planned stops."""

_log = logbook.Logger("hickorygate.store.keeper")


class SheetConsumer(Protocol):
    """The components of this process that are built from the sheet."""

    async def apply(self, sheet: sheets.Sheet) -> None:
        """Builds or updates the components that a sheet defines."""

    def set_leaving(self, names: frozenset[str]) -> None:
        """Sets the instances that get no new work, replacing the former set."""


class Peers(Protocol):
    """The other proxies."""

    @property
    def role(self) -> watch.RelayRole:
        """Role of this proxy among the other proxies."""

    def record_store_contact(self) -> None:
        """Records that the store answered."""

    def announce_version(
        self, kind: documents.DocumentKind, version: int
    ) -> None:
        """Announces a version that is in force in this process."""

    def record_rejection(
        self, kind: documents.DocumentKind, version: int
    ) -> None:
        """Records a version that was rejected as invalid."""


class DocumentManager:
    """The documents in force, and the watchers that keep them up to date."""

    def __init__(
        self,
        client: clients.Client,
        consumer: SheetConsumer,
        clock: clocks.Clock,
        timeline: events.Timeline,
        generator: random.Random,
    ) -> None:
        """Creates the manager; `start` makes the first call.

        Args:
          client: client of the object API.
          consumer: components that are built from the sheet.
          clock: source of time and of delays.
          timeline: timeline that events are recorded on.
          generator: source of jitter.
        """
        self._consumer = consumer
        self._clock = clock
        self._timeline = timeline
        self._generator = generator
        self._client = client
        self._configuration = sheet_state.SheetState()
        self._directory = directories.InstanceDirectory()
        self._peers: Peers | None = None
        self._background = background.BackgroundTasks()

    @property
    def client(self) -> clients.Client:
        """The client of the object API."""
        return self._client

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None until one was received."""
        return self._configuration.sheet

    @property
    def directory(self) -> directories.InstanceDirectory:
        """The list of instances in force, and the instances that leave."""
        return self._directory

    @property
    def role(self) -> watch.RelayRole:
        """Role of this proxy among the other proxies."""
        return self._others.role

    @property
    def _others(self) -> Peers:
        assert self._peers is not None, "not started; call start() first"
        return self._peers

    def __repr__(self) -> str:
        return f"DocumentManager({self._configuration!r}, {self._directory!r})"

    def start(self, peers: Peers) -> None:
        """Starts to watch the documents and to announce them.

        Args:
          peers: links to the other proxies.
        """
        self._peers = peers
        for watched, documents_of in (
            (watchers.sheet(self._client), self._configuration),
            (watchers.instances(self._client), self._directory),
        ):
            watcher = self._watcher(watched, documents_of)
            self._background.keep(watcher.run)
        self._background.keep(self._review)

    async def close(self) -> None:
        """Stops watching and closes the client."""
        await self._background.close()
        await self._client.close()

    def document(self, kind: documents.DocumentKind) -> str:
        """Returns the text of a document in force; empty without one."""
        if kind is documents.DocumentKind.INSTANCES:
            return self._directory.text
        return self.sheet.text if self.sheet else ""

    async def receive_document(
        self,
        kind: documents.DocumentKind,
        candidate: documents.ReceivedDocument,
    ) -> None:
        """Applies or rejects a document that another proxy sent."""
        document = (
            self._directory
            if kind is documents.DocumentKind.INSTANCES
            else self._configuration
        )
        for effect in document.offer(candidate):
            await self.perform(effect)

    def record_store_contact(self) -> None:
        """Records that the store answered."""
        self._others.record_store_contact()

    async def perform(self, effect: sheet_state.Effect) -> None:
        """Carries out a decision about a document."""
        await _perform(effect, self)

    async def apply(self, effect: sheet_state.ApplySheet) -> None:
        """Puts a sheet in force."""
        sheet = effect.sheet
        self._directory.set_planned_stops(sheet.planned_stops)
        await self._consumer.apply(sheet)
        self._consumer.set_leaving(self._directory.leaving)
        self._timeline.record(
            events.ConfigApplied(sheet.version, effect.source)
        )
        self._others.announce_version(
            documents.DocumentKind.SHEET, sheet.version
        )

    async def announce_instances(self, version: int) -> None:
        """Updates the leaving instances and announces a new list in force."""
        await self.update_leaving()
        self._others.announce_version(documents.DocumentKind.INSTANCES, version)

    async def update_leaving(self) -> None:
        """Updates the set of instances that are leaving now."""
        for effect in self._directory.update_leaving(self._clock.now()):
            await self.perform(effect)

    def set_leaving(self, names: frozenset[str]) -> None:
        """Sets the instances that get no new work, replacing the former set."""
        self._timeline.record(events.InstancesLeaving(tuple(sorted(names))))
        self._consumer.set_leaving(names)

    def reject(self, effect: sheet_state.RejectDocument) -> None:
        """Reports an invalid document."""
        reason = effect.failure.message
        _log.error(
            "{} version {} from {} rejected: {}",
            effect.document.value,
            effect.version,
            effect.source,
            reason,
        )
        self._timeline.record(
            events.ConfigRejected(effect.version, effect.source, reason)
        )
        self._others.record_rejection(effect.document, effect.version)

    def report_outdated_store(
        self, found: types.SheetVersion, in_force: types.SheetVersion
    ) -> None:
        """Reports that the store holds an older sheet than this process."""
        self._timeline.record(events.StoreReset(found, in_force))

    def _watcher(
        self, fetch: watchers.Fetch, document: watch.Document
    ) -> watchers.Watcher:
        plan = watch.WatchPlan(document, self._generator)
        return watchers.Watcher(fetch, plan, document, self, self._clock)

    async def _review(self) -> None:
        while True:
            await self.update_leaving()
            await self._clock.sleep(_REVIEW_INTERVAL)


@functools.singledispatch
async def _perform(
    effect: sheet_state.Effect, manager: DocumentManager
) -> None:
    raise TypeError(f"no handler for {effect!r}; register one")


@_perform.register
async def _(effect: sheet_state.ApplySheet, manager: DocumentManager) -> None:
    await manager.apply(effect)


@_perform.register
async def _(
    effect: sheet_state.RejectDocument, manager: DocumentManager
) -> None:
    manager.reject(effect)


@_perform.register
async def _(
    effect: sheet_state.ReportOutdatedStore, manager: DocumentManager
) -> None:
    manager.report_outdated_store(effect.found, effect.in_force)


@_perform.register
async def _(
    effect: directories.AnnounceInstances, manager: DocumentManager
) -> None:
    await manager.announce_instances(effect.version)


@_perform.register
async def _(effect: directories.SetLeaving, manager: DocumentManager) -> None:
    manager.set_leaving(effect.names)
