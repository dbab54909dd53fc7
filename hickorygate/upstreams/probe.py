"""Keeps a group's view up to date: one probing task a database."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
from typing import Protocol

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.upstreams import control
from hickorygate.upstreams import control_link
from hickorygate.upstreams import group as groups

__all__ = ["Listener", "Prober"]

_HURRIED_PERIOD = datetime.timedelta(milliseconds=20)
"""Between probes while somebody waits for a primary."""


class Listener(Protocol):
    """Who hears what the probes learn."""

    def status_seen(self, status: positions.DatabaseStatus) -> None:
        """Takes in an answered probe."""

    def probe_lost(self, name: types.DatabaseName) -> None:
        """Takes in a probe that wasn't answered."""

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Takes in that a former primary's successor was seen."""


class _Nobody:
    """Listens until a listener comes."""

    def status_seen(self, status: positions.DatabaseStatus) -> None:
        """Does nothing."""

    def probe_lost(self, name: types.DatabaseName) -> None:
        """Does nothing."""

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Does nothing."""


class Prober:
    """Asks each database for its status, and faster while it is awaited."""

    __slots__ = (
        "_background",
        "_changed",
        "_clock",
        "_controls",
        "_hurried",
        "_listener",
        "_primary",
        "_settings",
        "_time_line",
        "_view",
        "_waiters",
    )

    def __init__(
        self,
        view: groups.GroupView,
        controls: Mapping[types.DatabaseName, control_link.ControlLink],
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        time_line: events.TimeLine,
    ) -> None:
        self._view = view
        self._controls = controls
        self._settings = settings
        self._clock = clock
        self._time_line = time_line
        self._changed = asyncio.Event()
        self._hurried = asyncio.Event()
        self._waiters = 0
        self._listener: Listener = _Nobody()
        self._primary: positions.DatabaseStatus | None = None
        self._background = background.Background()

    def __repr__(self) -> str:
        return f"Prober({self._view!r})"

    def start(self, listener: Listener) -> None:
        """Starts one task a database; the listener hears what they learn."""
        self._listener = listener
        for name in self._controls:
            self._background.start(self._probe(name))

    async def close(self) -> None:
        """Stops the tasks."""
        await self._background.close()

    async def refresh(self, name: types.DatabaseName) -> control.StatusResult:
        """Asks one database for its status and takes it into the view."""
        asked = self._clock.now()
        result = await self._controls[name].status()
        match result:
            case expression.Result(tag="ok", ok=status):
                self.take(status, asked)
                self._listener.status_seen(status)
            case expression.Result(tag="error", error=failure):
                self._lose(name, failure)
        return result

    def hurry(self) -> None:
        """Asks all databases again soon."""
        self._hurried.set()
        self._hurried = asyncio.Event()

    async def wait_until(
        self,
        condition: Callable[[], groups.WritableResult],
        timeout: datetime.timedelta,
    ) -> groups.WritableResult:
        """Probes faster until the condition holds or the time is over."""
        result = condition()
        if result.is_ok():
            return result
        self._waiters += 1
        self.hurry()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while result.is_error():
                    await self._changed.wait()
                    result = condition()
        except TimeoutError:
            return result
        finally:
            self._waiters -= 1
        return result

    def doubt(self, name: types.DatabaseName) -> None:
        """Drops what is known of a database and asks all again at once."""
        self._view.forget(name)
        self.hurry()

    def take(
        self, status: positions.DatabaseStatus, asked: datetime.datetime
    ) -> None:
        """Takes in a status that a call asked for at that time returned."""
        self._view.observe(groups.Sighting(status, asked, self._clock.now()))
        after = self._view.primary
        self._wake()
        if after is not None:
            self._note_primary(after)

    def _note_primary(self, primary: positions.DatabaseStatus) -> None:
        former = self._primary
        if former is not None and former.term == primary.term:
            return
        self._primary = primary
        name = self._view.group.name
        self._time_line.record(
            events.PrimaryChanged(name, primary.database, primary.term)
        )
        if former is not None and former.database != primary.database:
            self._listener.primary_replaced(former.database)

    def _lose(self, name: types.DatabaseName, failure: errors.Failure) -> None:
        known = {s.status.database for s in self._view.sightings}
        if name in known:
            self._view.forget(name)
            self._time_line.record(events.DatabaseLost(name, failure.message))
        self._listener.probe_lost(name)
        self._wake()

    def _wake(self) -> None:
        """Wakes who waits for a change of the view."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _probe(self, name: types.DatabaseName) -> None:
        while True:
            await self.refresh(name)
            await self._rest()

    async def _rest(self) -> None:
        """Waits for the next probe; a shorter time while it is awaited."""
        await self._clock.sleep(_HURRIED_PERIOD)
        if self._waiters:
            return
        rest = self._settings.probe_period - _HURRIED_PERIOD
        try:
            async with asyncio.timeout(max(rest.total_seconds(), 0)):
                await self._hurried.wait()
        except TimeoutError:
            return
