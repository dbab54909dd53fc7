"""Connections to one group: pools, control connections and probes."""

from __future__ import annotations

import asyncio
import datetime
import random

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import control_link
from hickorygate.upstreams import failover_runner
from hickorygate.upstreams import failover_timing
from hickorygate.upstreams import group_procedures
from hickorygate.upstreams import group_view
from hickorygate.upstreams import shared_rounds
from hickorygate.upstreams import slot_pool
from hickorygate.upstreams import slots
from hickorygate.upstreams import status_prober
from hickorygate.upstreams import write_confirmer

__all__ = ["DatabaseLink", "GroupLink"]

_OWNER_BITS = 64
"""Number of random bits that distinguish a restarted proxy from its previous
run."""


class DatabaseLink:
    """The connection pool and the control connections of one database."""

    __slots__ = ("_control", "_database", "_pool")

    def __init__(
        self,
        database: sheet.Database,
        owner: types.ProxyName,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        limit = (
            database.connections - proxies * control_link.CONTROL_CONNECTIONS
        )
        share = slots.SharedConnections(limit=max(1, limit), proxies=proxies)
        self._database = database
        self._pool = slot_pool.SlotPool(database, share, settings, clock)
        self._control = control_link.ControlLink(database, owner, settings)

    @property
    def database(self) -> sheet.Database:
        """The database that the connections lead to."""
        return self._database

    @property
    def pool(self) -> slot_pool.SlotPool:
        """The connections for callers' statements."""
        return self._pool

    @property
    def control(self) -> control_link.ControlLink:
        """The connections for the group's stored procedures."""
        return self._control

    def __repr__(self) -> str:
        return f"DatabaseLink({self._database.name!r})"

    def close(self) -> None:
        """Closes the control connections and the pool."""
        self._pool.close()
        self._control.close()


class GroupLink:
    """The links to all databases of a group, and the view of their state.

    Probes keep the view up to date.
    """

    __slots__ = (
        "_background",
        "_clock",
        "_confirmer",
        "_links",
        "_prober",
        "_runner",
        "_rounds",
        "_settings",
        "_view",
    )

    def __init__(
        self,
        group: sheet.Group,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        timeline: events.Timeline,
        generator: random.Random,
        live: failover_runner.LivePeers,
    ) -> None:
        owner = f"{timeline.process}/{generator.getrandbits(_OWNER_BITS):x}"
        self._settings = settings
        self._clock = clock
        self._view = group_view.GroupView(group)
        self._links = {
            database.name: DatabaseLink(
                database, owner, proxies, settings, clock
            )
            for database in group.databases
        }
        controls = {name: link.control for name, link in self._links.items()}
        self._prober = status_prober.StatusProber(
            self._view, controls, settings, clock, timeline
        )
        self._runner = failover_runner.FailoverRunner(
            group,
            controls,
            self._prober,
            failover_timing.FailoverTiming(detection=settings.detection_time),
            clock,
            timeline,
            generator,
            live,
        )
        self._confirmer: write_confirmer.WriteConfirmer | None = None
        self._rounds = shared_rounds.SharedRounds(self._refresh_all)
        self._background = background.BackgroundTasks()

    @property
    def view(self) -> group_view.GroupView:
        """The last known state of the group."""
        return self._view

    def __repr__(self) -> str:
        return f"GroupLink({self._view!r})"

    def database_link(self, name: types.DatabaseName) -> DatabaseLink:
        """Returns the link to one database."""
        return self._links[name]

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits, or a write awaits confirmation."""
        confirming = self._confirmer is not None and self._confirmer.waiting
        return bool(confirming) or any(
            link.pool.busy for link in self._links.values()
        )

    def start(self) -> None:
        """Starts the probes and the monitoring of the primary."""
        self._prober.start(self)
        self._runner.start()

    async def close(self) -> None:
        """Stops all background tasks and closes the links."""
        await self._runner.close()
        await self._rounds.close()
        await self._background.close()
        await self._prober.close()
        if self._confirmer is not None:
            await self._confirmer.close()
        for link in self._links.values():
            link.close()

    def status_seen(self, status: position.DatabaseStatus) -> None:
        """Handles the status that a probe returned."""
        self._runner.status_seen(status)

    def probe_failed(self, name: types.DatabaseName) -> None:
        """Handles a probe that failed."""
        self._runner.probe_failed(name)

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Ends the requests that wait for an unreachable former primary.

        Nothing is done if the former primary still answers probes.

        Args:
          former: database that was the primary before.
        """
        if former in {s.status.database for s in self._view.observations}:
            return
        self._links[former].pool.drop_connections()
        confirmer = self._confirmer
        if confirmer is not None and confirmer.primary == former:
            confirmer.fail_all()

    def writable(self) -> group_view.WritableResult:
        """Returns the primary if a majority was recently seen in its term.

        Returns:
          The primary, `NoPrimary` if there is none or a change of primary
          holds back new writes, or `NoQuorum`.
        """
        if self._runner.holds_writes:
            return expression.Error(errors.NoPrimary(self._view.group.name))
        return self._view.writable_primary(
            self._clock.now(), self._settings.detection_time
        )

    async def wait_writable(
        self, timeout: datetime.timedelta
    ) -> group_view.WritableResult:
        """Waits until writes can be served.

        Args:
          timeout: maximum time to wait.

        Returns:
          The result of `writable` at the end of the wait.
        """
        return await self._prober.wait_until(self.writable, timeout)

    def invalidate(self, name: types.DatabaseName) -> None:
        """Discards the known state of a database and probes it again at once.

        Used after a primary refused a request or a connection was lost.
        """
        self._prober.invalidate(name)

    def set_leaving(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the databases that are leaving.

        These databases get no new reads. If the primary is among them, it is
        replaced before it leaves.
        """
        self._view.leave(names)
        self._runner.leave(names)

    def confirmed_position(
        self, since: datetime.datetime
    ) -> position.Position | None:
        """Returns a position that covers all writes acknowledged before a time.

        Args:
          since: time before which the writes were acknowledged.

        Returns:
          The position, or None if none is confirmed yet.
        """
        return self._view.confirmed_position(since)

    def staleness(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Returns an upper bound of the age of a replica's data, if known."""
        return self._view.staleness(name, now)

    async def refresh(
        self, name: types.DatabaseName
    ) -> group_procedures.StatusResult:
        """Requests the status of one database and updates the view."""
        return await self._prober.refresh(name)

    async def wait_next_round(self, timeout: datetime.timedelta) -> None:
        """Waits for the end of a round of probes that starts after this call.

        Args:
          timeout: maximum time to wait; its expiry is not an error.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._rounds.next()
        except TimeoutError:
            return

    async def wait_until_durable(
        self, name: types.DatabaseName, term: types.Term
    ) -> write_confirmer.DurableResult:
        """Waits until the writes that ran before the call are on a majority.

        Args:
          name: database that the writes ran on.
          term: term that the writes were routed under.

        Returns:
          A position that covers the writes, or `ReplicationUnconfirmed`.
        """
        known = self._confirmer
        if known is not None and known.term > term:
            return expression.Error(
                errors.ReplicationUnconfirmed(self._view.group.name)
            )
        return await self._confirmer_for(name, term).wait_until_durable()

    async def _refresh_all(self) -> None:
        """Probes all databases until a majority has confirmed the primary."""
        started = self._clock.now()
        waiting = {
            self._background.start(self._prober.refresh(name))
            for name in self._links
        }
        while waiting and self._view.confirmed_position(started) is None:
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )

    def _confirmer_for(
        self, name: types.DatabaseName, term: types.Term
    ) -> write_confirmer.WriteConfirmer:
        known = self._confirmer
        if known is not None and (known.term, known.primary) == (term, name):
            return known
        # Waits of an older term need no cancellation: they end at their time
        # limit at the latest.
        self._confirmer = write_confirmer.WriteConfirmer(
            self._view.group,
            name,
            term,
            {name: link.control for name, link in self._links.items()},
            self._settings,
            self._clock,
            self._prober.record_status,
        )
        return self._confirmer
