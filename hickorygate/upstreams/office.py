"""This process's hold on the duty of promotion, and where it is kept."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import decisions
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import types
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import member as members

__all__ = ["DutyStore", "Office"]

_DUTY_LIMIT = datetime.timedelta(seconds=10)
"""How long the duty is waited for; the reason is looked at anew then."""

_RETRY = datetime.timedelta(milliseconds=150)
"""Between calls to a store that didn't answer."""


class DutyStore(Protocol):
    """Where the duty's record is kept, and where promotions are ordered."""

    async def read_duty(
        self,
    ) -> expression.Result[duties.Stored | None, errors.Failure]:
        """Returns the record; None if there never was one."""

    async def write_duty(
        self, record: duties.Record, revision: int | None
    ) -> expression.Result[duties.Stored, errors.Failure]:
        """Stores a record if its revision still stands."""

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: duties.Record,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders a promotion; `may_send` is asked right before it is sent."""


class Office:
    """This process's hold on the duty; shared by all its takeovers."""

    def __init__(
        self,
        duty: duties.Duty,
        store: DutyStore,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._duty = duty
        self._store = store
        self._clock = clock
        self._journal = journal
        self._users = 0
        self._unanswered = False
        self._lock = asyncio.Lock()

    @property
    def held(self) -> bool:
        """Whether a call may be made under the duty."""
        return self._duty.may_call(self._clock.now())

    @property
    def number(self) -> int:
        """The number of the newest known record."""
        record = self._duty.record
        return record.number if record else 0

    def __repr__(self) -> str:
        return f"Office({self._duty!r})"

    async def enter(self, wanted: Callable[[], bool]) -> bool:
        """Gets the duty, for as long as it is wanted.

        Returns:
          Whether it is held; `leave` must follow.
        """
        async with self._lock:
            held = self.held or await self._claim(wanted)
        if held:
            self._users += 1
        return held

    async def leave(self) -> None:
        """Gives the duty back once nobody here uses it.

        After an order whose answer was lost it lapses instead: the order may
        still take effect, and no newer number may come before it.
        """
        self._users -= 1
        if self._users or self._unanswered:
            return
        async with self._lock:
            write = None if self._users else self._duty.release()
            if write is not None:
                await self._write(write)

    async def renew(self) -> bool:
        """Makes sure that a call may be made; renews the lease if needed."""
        if self.held:
            return True
        async with self._lock:
            return self.held or await self._try_once() is None

    async def promote(
        self, service: types.ServiceName, member: members.MemberId
    ) -> bool:
        """Orders a promotion under the duty's number."""
        record = self._duty.record
        if record is None or not self.held:
            return False
        # The lease is looked at again once connected: this process may have
        # stood still meanwhile.
        ordered = await self._store.promote(
            service, member, record, lambda: self.held
        )
        self._unanswered = self._unanswered or _is_unanswered(ordered)
        return ordered.is_ok()

    async def _claim(self, wanted: Callable[[], bool]) -> bool:
        ends = self._clock.now() + _DUTY_LIMIT
        while wanted() and self._clock.now() < ends:
            wait = await self._try_once()
            if wait is None:
                self._unanswered = False
                self._journal.record(decisions.DutyWon(self.number))
                return True
            await self._clock.sleep(wait)
        return False

    async def _try_once(self) -> datetime.timedelta | None:
        """Makes one attempt; returns how long to wait, None if held."""
        read = await self._store.read_duty()
        if read.is_error():
            self._journal.record(decisions.DutyLost(read.error.message))
            return _RETRY
        self._duty.see(read.ok, self._clock.now())
        match self._duty.decide(self._clock.now()):
            case duties.Wait(duration):
                return duration
            case duties.Write() as write:
                await self._write(write)
        return None if self.held else _RETRY

    async def _write(self, write: duties.Write) -> None:
        sent = self._clock.now()
        written = await self._store.write_duty(write.record, write.revision)
        if written.is_ok():
            self._duty.win(written.ok, sent)
            return
        self._journal.record(decisions.DutyLost(written.error.message))


def _is_unanswered(
    ordered: expression.Result[None, errors.Failure],
) -> bool:
    """Whether an order may take effect although no answer came."""
    return (
        ordered.is_error() and ordered.error.outcome is errors.Outcome.UNKNOWN
    )
