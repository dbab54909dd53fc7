"""Keeps the view of a group up to date, with one probing task per database."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import functools
from typing import Protocol

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.upstreams import control_link
from hickorygate.upstreams import group_procedures
from hickorygate.upstreams import group_view

__all__ = ["ProbeListener", "StatusProber"]

_FAST_PERIOD = datetime.timedelta(milliseconds=20)
"""Time between two probes of a database while a caller waits for a primary."""


class ProbeListener(Protocol):
    """Receives the results of the probes."""

    def status_seen(self, status: position.DatabaseStatus) -> None:
        """Handles the status of an answered probe."""

    def probe_failed(self, name: types.DatabaseName) -> None:
        """Handles a probe that wasn't answered."""

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Handles the discovery of a primary that replaced another one.

        Args:
          former: name of the replaced primary.
        """


class _NullListener:
    """Listener that does nothing, used until `StatusProber.start`."""

    def status_seen(self, status: position.DatabaseStatus) -> None:
        """Does nothing."""

    def probe_failed(self, name: types.DatabaseName) -> None:
        """Does nothing."""

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Does nothing."""


class StatusProber:
    """Probes each database of a group, more often while a caller waits."""

    __slots__ = (
        "_background",
        "_clock",
        "_control_links",
        "_last_primary",
        "_listener",
        "_lost",
        "_probe_requested",
        "_settings",
        "_timeline",
        "_view",
        "_view_changed",
        "_waiter_count",
    )

    def __init__(
        self,
        view: group_view.GroupView,
        controls: Mapping[types.DatabaseName, control_link.ControlLink],
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        timeline: events.Timeline,
    ) -> None:
        """Creates the prober; `start` starts it.

        Args:
          view: view of the group, updated with each status.
          controls: control connections to the databases, by name.
          settings: time between probes.
          clock: source of the current time.
          timeline: records changes of the primary and databases that stopped
            answering.
        """
        self._view = view
        self._control_links = controls
        self._settings = settings
        self._clock = clock
        self._timeline = timeline
        self._view_changed = asyncio.Event()
        self._probe_requested = asyncio.Event()
        self._waiter_count = 0
        self._listener: ProbeListener = _NullListener()
        self._last_primary: position.DatabaseStatus | None = None
        self._lost: set[types.DatabaseName] = set()
        self._background = background.BackgroundTasks()

    def __repr__(self) -> str:
        return f"StatusProber({self._view!r})"

    def start(self, listener: ProbeListener) -> None:
        """Starts one task per database; the listener receives the results."""
        self._listener = listener
        for name in self._control_links:
            self._background.keep(
                functools.partial(self._probe_periodically, name)
            )

    async def close(self) -> None:
        """Stops the tasks."""
        await self._background.close()

    async def refresh(
        self, name: types.DatabaseName
    ) -> group_procedures.StatusResult:
        """Probes one database and records its status in the view."""
        requested_at = self._clock.now()
        result = await self._control_links[name].status()
        match result:
            case expression.Result(tag="ok", ok=status):
                self.record_status(status, requested_at)
                self._listener.status_seen(status)
            case expression.Result(tag="error", error=failure):
                self._record_lost_probe(name, failure)
        return result

    def probe_soon(self) -> None:
        """Makes all tasks probe again soon."""
        self._probe_requested.set()
        self._probe_requested = asyncio.Event()

    async def wait_until(
        self,
        condition: Callable[[], group_view.WritableResult],
        timeout: datetime.timedelta,
    ) -> group_view.WritableResult:
        """Probes more often until a condition holds or the time is over.

        Args:
          condition: evaluated after each change of the view.
          timeout: longest time to wait.

        Returns:
          The last result of the condition.
        """
        result = condition()
        if result.is_ok():
            return result
        self._waiter_count += 1
        self.probe_soon()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while result.is_error():
                    await self._view_changed.wait()
                    result = condition()
        except TimeoutError:
            return result
        finally:
            self._waiter_count -= 1
        return result

    def invalidate(self, name: types.DatabaseName) -> None:
        """Removes a database's status from the view and probes all soon."""
        self._view.forget(name)
        self.probe_soon()

    def record_status(
        self, status: position.DatabaseStatus, requested_at: datetime.datetime
    ) -> None:
        """Records a status that a call returned.

        Args:
          status: status of the database.
          requested_at: time at which the call was sent.
        """
        self._view.observe(
            group_view.StatusObservation(
                status, requested_at, self._clock.now()
            )
        )
        if status.database in self._lost:
            self._lost.remove(status.database)
            self._timeline.record(events.DatabaseReturned(status.database))
        after = self._view.primary
        self._notify_view_changed()
        if after is not None:
            self._record_primary(after)

    def _record_primary(self, primary: position.DatabaseStatus) -> None:
        former = self._last_primary
        if former is not None and former.term == primary.term:
            return
        self._last_primary = primary
        name = self._view.group.name
        self._timeline.record(
            events.PrimaryChanged(name, primary.database, primary.term)
        )
        if former is not None and former.database != primary.database:
            self._listener.primary_replaced(former.database)

    def _record_lost_probe(
        self, name: types.DatabaseName, failure: errors.Failure
    ) -> None:
        known = {s.status.database for s in self._view.observations}
        if name in known:
            self._view.forget(name)
            self._lost.add(name)
            self._timeline.record(events.DatabaseLost(name, failure.message))
        self._listener.probe_failed(name)
        self._notify_view_changed()

    def _notify_view_changed(self) -> None:
        """Wakes the tasks that wait for a change of the view."""
        self._view_changed.set()
        self._view_changed = asyncio.Event()

    async def _probe_periodically(self, name: types.DatabaseName) -> None:
        while True:
            await self.refresh(name)
            await self._wait_for_next_probe()

    async def _wait_for_next_probe(self) -> None:
        """Waits until the next probe is due, sooner while a caller waits."""
        await self._clock.sleep(_FAST_PERIOD)
        if self._waiter_count:
            return
        remaining = self._settings.probe_period - _FAST_PERIOD
        try:
            async with asyncio.timeout(max(remaining.total_seconds(), 0)):
                await self._probe_requested.wait()
        except TimeoutError:
            return
