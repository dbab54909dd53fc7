"""The live side of one group: pools, control connections, probes."""

from __future__ import annotations

import asyncio
import datetime
import random

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import confirmer as confirmers
from hickorygate.upstreams import control
from hickorygate.upstreams import control_link
from hickorygate.upstreams import group as groups
from hickorygate.upstreams import pool as pools
from hickorygate.upstreams import probe as probes
from hickorygate.upstreams import rounds
from hickorygate.upstreams import runner as runners
from hickorygate.upstreams import slots
from hickorygate.upstreams import timing as timings

__all__ = ["DatabaseLink", "GroupLink"]

_OWNER_BITS = 64
"""Random bits that keep a restarted proxy apart from its former self."""


class DatabaseLink:
    """A database's pool and its control connections."""

    __slots__ = ("_control", "_database", "_pool")

    def __init__(
        self,
        database: sheets.Database,
        owner: types.ProxyName,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        limit = database.connections - proxies * control_link.CONNECTIONS
        share = slots.Share(limit=max(1, limit), proxies=proxies)
        self._database = database
        self._pool = pools.Pool(database, share, settings, clock)
        self._control = control_link.ControlLink(database, owner, settings)

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._database

    @property
    def pool(self) -> pools.Pool:
        """Connections for callers' statements."""
        return self._pool

    @property
    def control(self) -> control_link.ControlLink:
        """Connections for the group's procedures."""
        return self._control

    def __repr__(self) -> str:
        return f"DatabaseLink({self._database.name!r})"

    def close(self) -> None:
        """Closes the control connections and what is idle."""
        self._pool.close()
        self._control.close()


class GroupLink:
    """All links of a group, and the view that probes keep up to date."""

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
        group: sheets.Group,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        time_line: events.TimeLine,
        generator: random.Random,
        live: runners.Live,
    ) -> None:
        owner = f"{time_line.process}/{generator.getrandbits(_OWNER_BITS):x}"
        self._settings = settings
        self._clock = clock
        self._view = groups.GroupView(group)
        self._links = {
            database.name: DatabaseLink(
                database, owner, proxies, settings, clock
            )
            for database in group.databases
        }
        controls = {name: link.control for name, link in self._links.items()}
        self._prober = probes.Prober(
            self._view, controls, settings, clock, time_line
        )
        self._runner = runners.Runner(
            group,
            controls,
            self._prober,
            timings.Timing(detection=settings.detection_time),
            clock,
            time_line,
            generator,
            live,
        )
        self._confirmer: confirmers.Confirmer | None = None
        self._rounds = rounds.Rounds(self._refresh_all)
        self._background = background.Background()

    @property
    def view(self) -> groups.GroupView:
        """What is known of the group."""
        return self._view

    def __repr__(self) -> str:
        return f"GroupLink({self._view!r})"

    def link(self, name: types.DatabaseName) -> DatabaseLink:
        """Returns the link to one database."""
        return self._links[name]

    @property
    def busy(self) -> bool:
        """Whether a request or a confirmation is under way."""
        confirming = self._confirmer is not None and self._confirmer.waiting
        return bool(confirming) or any(
            link.pool.busy for link in self._links.values()
        )

    def start(self) -> None:
        """Starts the probes and the watch over the primary."""
        self._prober.start(self)
        self._runner.start()

    async def close(self) -> None:
        """Stops the probes and closes the links."""
        await self._runner.close()
        await self._rounds.close()
        await self._background.close()
        await self._prober.close()
        if self._confirmer is not None:
            await self._confirmer.close()
        for link in self._links.values():
            link.close()

    def status_seen(self, status: positions.DatabaseStatus) -> None:
        """Takes in an answered probe."""
        self._runner.status_seen(status)

    def probe_lost(self, name: types.DatabaseName) -> None:
        """Takes in a probe that wasn't answered."""
        self._runner.probe_lost(name)

    def primary_replaced(self, former: types.DatabaseName) -> None:
        """Frees the callers that wait for an unreachable former primary."""
        if former in {s.status.database for s in self._view.sightings}:
            return
        self._links[former].pool.drop_connections()
        confirmer = self._confirmer
        if confirmer is not None and confirmer.primary == former:
            confirmer.give_up()

    def writable(self) -> groups.WritableResult:
        """Returns the primary if a majority was lately seen in its term."""
        if self._runner.holds_writes:
            return expression.Error(errors.NoPrimary(self._view.group.name))
        return self._view.writable(
            self._clock.now(), self._settings.detection_time
        )

    async def wait_writable(
        self, timeout: datetime.timedelta
    ) -> groups.WritableResult:
        """Waits until writes can be served, or until the time is over."""
        return await self._prober.wait_until(self.writable, timeout)

    def doubt(self, name: types.DatabaseName) -> None:
        """Drops what is known of a database and asks it again at once.

        For callers that were refused by a primary or lost a connection.
        """
        self._prober.doubt(name)

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the databases that are leaving.

        They get no new reads; a primary among them is replaced first.
        """
        self._view.leave(names)
        self._runner.leave(names)

    def confirmed_position(
        self, since: datetime.datetime
    ) -> positions.Position | None:
        """Returns a position that covers what was acknowledged before."""
        return self._view.confirmed_position(since)

    def staleness(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Returns a bound of the age of a replica's data."""
        return self._view.staleness(name, now)

    async def refresh(self, name: types.DatabaseName) -> control.StatusResult:
        """Asks one database for its status and takes it into the view."""
        return await self._prober.refresh(name)

    async def next_round(self, timeout: datetime.timedelta) -> None:
        """Waits until all databases were asked after this call.

        Args:
          timeout: after which it gives up waiting.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._rounds.next()
        except TimeoutError:
            return

    async def durable(
        self, name: types.DatabaseName, term: types.Term
    ) -> confirmers.DurableResult:
        """Waits until what ran before the call is on a majority.

        Args:
          name: the database that it ran on.
          term: the term that it was routed under.
        """
        known = self._confirmer
        if known is not None and known.term > term:
            return expression.Error(
                errors.ReplicationUnconfirmed(self._view.group.name)
            )
        return await self._confirmer_of(name, term).durable()

    async def _refresh_all(self) -> None:
        """Asks all databases, until a majority has confirmed the primary."""
        begun = self._clock.now()
        waiting = {
            self._background.start(self._prober.refresh(name))
            for name in self._links
        }
        while waiting and self._view.confirmed_position(begun) is None:
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )

    def _confirmer_of(
        self, name: types.DatabaseName, term: types.Term
    ) -> confirmers.Confirmer:
        known = self._confirmer
        if known is not None and (known.term, known.primary) == (term, name):
            return known
        # Waits of an older term end by themselves, at the latest at their
        # time limit.
        self._confirmer = confirmers.Confirmer(
            self._view.group,
            name,
            term,
            {name: link.control for name, link in self._links.items()},
            self._settings,
            self._clock,
            self._prober.take,
        )
        return self._confirmer
