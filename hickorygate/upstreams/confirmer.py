"""The waiting side of confirmation: asks the primary and the replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import datetime
import functools
import itertools

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import confirm
from hickorygate.upstreams import control
from hickorygate.upstreams import control_link

__all__ = ["Confirmer"]

_RETRY_DELAY = datetime.timedelta(milliseconds=20)

Observe = Callable[[positions.DatabaseStatus, datetime.datetime], None]
"""Takes a status and when it was asked for."""

DurableResult = expression.Result[
    positions.Position, errors.ReplicationUnconfirmed
]


class Confirmer:
    """Confirms the writes of one primary under one term."""

    __slots__ = (
        "_background",
        "_clock",
        "_confirmation",
        "_group",
        "_links",
        "_observe",
        "_primary",
        "_settings",
        "_tickets",
        "_waiting",
    )

    def __init__(
        self,
        group: sheets.Group,
        primary: types.DatabaseName,
        term: types.Term,
        links: Mapping[types.DatabaseName, control_link.ControlLink],
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        observe: Observe,
        policy: confirm.Policy = confirm.Policy.GROUP,
    ) -> None:
        others = [name for name in links if name != primary]
        self._group = group
        self._primary = primary
        self._links = links
        self._settings = settings
        self._clock = clock
        self._observe = observe
        self._confirmation = confirm.Confirmation(
            term, others, group.majority, policy
        )
        self._tickets = itertools.count()
        self._waiting: dict[int, asyncio.Future[DurableResult]] = {}
        self._background = background.Background()

    @property
    def term(self) -> types.Term:
        """The term that the writes ran under."""
        return self._confirmation.term

    @property
    def primary(self) -> types.DatabaseName:
        """The database that the writes ran on."""
        return self._primary

    @property
    def waiting(self) -> int:
        """Writes that wait for a majority."""
        return len(self._waiting)

    def __repr__(self) -> str:
        return f"Confirmer({self._primary!r}, {self._confirmation!r})"

    async def durable(self) -> DurableResult:
        """Waits until a write that ran before the call is durable."""
        ticket = next(self._tickets)
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._take(confirm.WriteRan(ticket))
        limit = self._settings.confirm_timeout.total_seconds()
        try:
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError:
            return self._unconfirmed()
        finally:
            if self._waiting.pop(ticket, None) is not None:
                self._take(confirm.WriteAbandoned(ticket))

    async def close(self) -> None:
        """Ends all waits; their writes stay unconfirmed."""
        self.give_up()
        await self._background.close()

    def give_up(self) -> None:
        """Answers all writes that wait: they stay unconfirmed."""
        for ticket in tuple(self._waiting):
            self.fail(ticket)
            self._take(confirm.WriteAbandoned(ticket))

    def settle(self, ticket: int, result: DurableResult) -> None:
        """Answers the caller that waits on a ticket."""
        future = self._waiting.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, ticket: int) -> None:
        """Answers that a write stays unconfirmed."""
        self.settle(ticket, self._unconfirmed())

    def read_position(self) -> None:
        """Starts a reading of the primary's position."""
        self._start(self._read())

    def wait_for(
        self, name: types.DatabaseName, position: positions.Position
    ) -> None:
        """Starts a wait on a replica."""
        self._start(self._wait(name, position))

    def _unconfirmed(self) -> DurableResult:
        return expression.Error(errors.ReplicationUnconfirmed(self._group.name))

    def _take(self, event: confirm.Event) -> None:
        for effect in confirm.handle(event, self._confirmation):
            _apply(effect, self)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        self._background.start(work)

    async def _read(self) -> None:
        asked = self._clock.now()
        result = await self._links[self._primary].position()
        status = await self._status_or_none(result, asked)
        self._take(confirm.PositionRead(status))

    async def _wait(
        self, name: types.DatabaseName, position: positions.Position
    ) -> None:
        asked = self._clock.now()
        result = await self._links[name].wait(position)
        status = await self._status_or_none(result, asked)
        self._take(confirm.ReplicaAnswered(name, status))

    async def _status_or_none(
        self, result: control.StatusResult, asked: datetime.datetime
    ) -> positions.DatabaseStatus | None:
        """Delays a lost answer, so that the next try doesn't follow at once.

        A status that came shows more than this write's fate: replicas that
        are known to be at a session's floor may serve its reads.
        """
        if result.is_ok():
            self._observe(result.ok, asked)
            return result.ok
        await asyncio.sleep(_RETRY_DELAY.total_seconds())
        return None


@functools.singledispatch
def _apply(effect: confirm.Effect, confirmer: Confirmer) -> None:
    raise TypeError(f"no way to apply {effect!r}; register one")


@_apply.register
def _(effect: confirm.ReadPosition, confirmer: Confirmer) -> None:
    confirmer.read_position()


@_apply.register
def _(effect: confirm.WaitForReplica, confirmer: Confirmer) -> None:
    confirmer.wait_for(effect.database, effect.position)


@_apply.register
def _(effect: confirm.Confirmed, confirmer: Confirmer) -> None:
    confirmer.settle(effect.ticket, expression.Ok(effect.position))


@_apply.register
def _(effect: confirm.Unconfirmed, confirmer: Confirmer) -> None:
    confirmer.fail(effect.ticket)
