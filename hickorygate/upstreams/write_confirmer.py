"""Confirms writes by calls to the primary and to the replicas."""

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
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import control_link
from hickorygate.upstreams import group_procedures
from hickorygate.upstreams import write_confirmation

__all__ = ["WriteConfirmer"]

_RETRY_DELAY = datetime.timedelta(milliseconds=20)
"""Delay after a lost answer, before the call is repeated."""

StatusObserver = Callable[[positions.DatabaseStatus, datetime.datetime], None]
"""Receives a status and the time at which it was requested."""

DurableResult = expression.Result[
    positions.Position, errors.ReplicationUnconfirmed
]
"""Position at which a write is durable, or the failure to confirm it."""


class WriteConfirmer:
    """Confirms the writes of one primary under one term."""

    __slots__ = (
        "_background",
        "_clock",
        "_confirmation",
        "_futures",
        "_group",
        "_links",
        "_observe",
        "_primary",
        "_settings",
        "_tickets",
    )

    def __init__(
        self,
        group: sheet.Group,
        primary: types.DatabaseName,
        term: types.Term,
        links: Mapping[types.DatabaseName, control_link.ControlLink],
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        observe: StatusObserver,
        policy: write_confirmation.BatchingPolicy = (
            write_confirmation.BatchingPolicy.GROUP
        ),
    ) -> None:
        """Creates a confirmer without any write.

        Args:
          group: group of the primary.
          primary: database that the writes run on.
          term: term that the writes run under.
          links: control connections to all databases of the group.
          settings: time limits.
          clock: source of the current time.
          observe: receives every status that an answer contains.
          policy: how concurrent writes share readings and waits.
        """
        others = [name for name in links if name != primary]
        self._group = group
        self._primary = primary
        self._links = links
        self._settings = settings
        self._clock = clock
        self._observe = observe
        self._confirmation = write_confirmation.WriteConfirmation(
            term, others, group.majority, policy
        )
        self._tickets = itertools.count()
        self._futures: dict[int, asyncio.Future[DurableResult]] = {}
        self._background = background.BackgroundTasks()

    @property
    def term(self) -> types.Term:
        """Term that the writes ran under."""
        return self._confirmation.term

    @property
    def primary(self) -> types.DatabaseName:
        """Name of the database that the writes ran on."""
        return self._primary

    @property
    def waiting(self) -> int:
        """Number of writes that wait for a majority."""
        return len(self._futures)

    def __repr__(self) -> str:
        return f"WriteConfirmer({self._primary!r}, {self._confirmation!r})"

    async def wait_until_durable(self) -> DurableResult:
        """Waits until a write that ran before this call is durable.

        Returns:
          The position at which the write is durable, or an error if no
          majority confirmed the write within the time limit.
        """
        ticket = next(self._tickets)
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket] = future
        self._handle_event(write_confirmation.WriteRan(ticket))
        limit = self._settings.confirm_timeout.total_seconds()
        try:
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError:
            return self._unconfirmed_result()
        finally:
            if self._futures.pop(ticket, None) is not None:
                self._handle_event(write_confirmation.WriteAbandoned(ticket))

    async def close(self) -> None:
        """Ends all waits as unconfirmed and stops the background tasks."""
        self.fail_all()
        await self._background.close()

    def fail_all(self) -> None:
        """Reports all waiting writes as unconfirmed."""
        for ticket in tuple(self._futures):
            self.fail(ticket)
            self._handle_event(write_confirmation.WriteAbandoned(ticket))

    def settle(self, ticket: int, result: DurableResult) -> None:
        """Passes a result to the caller that waits for a ticket, if any."""
        future = self._futures.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, ticket: int) -> None:
        """Reports the write of a ticket as unconfirmed."""
        self.settle(ticket, self._unconfirmed_result())

    def read_position(self) -> None:
        """Starts to read the primary's position."""
        self._start_task(self._run_position_read())

    def wait_for(
        self, name: types.DatabaseName, position: positions.Position
    ) -> None:
        """Starts to wait until a replica holds a position."""
        self._start_task(self._run_replica_wait(name, position))

    def _unconfirmed_result(self) -> DurableResult:
        return expression.Error(errors.ReplicationUnconfirmed(self._group.name))

    def _handle_event(self, event: write_confirmation.Event) -> None:
        for effect in write_confirmation.handle(event, self._confirmation):
            _apply_effect(effect, self)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        self._background.start(work)

    async def _run_position_read(self) -> None:
        requested_at = self._clock.now()
        result = await self._links[self._primary].position()
        status = await self._status_or_none(result, requested_at)
        self._handle_event(write_confirmation.PositionRead(status))

    async def _run_replica_wait(
        self, name: types.DatabaseName, position: positions.Position
    ) -> None:
        requested_at = self._clock.now()
        result = await self._links[name].wait(position)
        status = await self._status_or_none(result, requested_at)
        self._handle_event(write_confirmation.ReplicaWaitEnded(name, status))

    async def _status_or_none(
        self,
        result: group_procedures.StatusResult,
        requested_at: datetime.datetime,
    ) -> positions.DatabaseStatus | None:
        """Returns the status of a result, None after a delay if it is lost.

        The delay keeps the retry from following at once. A status is also
        passed to the observer, because it is useful beyond this write: a
        replica that is known to have reached the floor of a session may serve
        its reads.
        """
        if result.is_ok():
            self._observe(result.ok, requested_at)
            return result.ok
        await asyncio.sleep(_RETRY_DELAY.total_seconds())
        return None


@functools.singledispatch
def _apply_effect(
    effect: write_confirmation.Effect, confirmer: WriteConfirmer
) -> None:
    raise TypeError(f"no handler for {effect!r}; register one")


@_apply_effect.register
def _(
    effect: write_confirmation.ReadPosition, confirmer: WriteConfirmer
) -> None:
    confirmer.read_position()


@_apply_effect.register
def _(
    effect: write_confirmation.WaitForReplica, confirmer: WriteConfirmer
) -> None:
    confirmer.wait_for(effect.database, effect.position)


@_apply_effect.register
def _(effect: write_confirmation.Confirmed, confirmer: WriteConfirmer) -> None:
    confirmer.settle(effect.ticket, expression.Ok(effect.position))


@_apply_effect.register
def _(
    effect: write_confirmation.Unconfirmed, confirmer: WriteConfirmer
) -> None:
    confirmer.fail(effect.ticket)
