"""Asks all databases of a group in rounds, and feeds the evidence."""

from __future__ import annotations

import asyncio
import datetime
from typing import TYPE_CHECKING

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import member as members
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import vital as vitals

if TYPE_CHECKING:
    from hickorygate.upstreams import lender as lenders

__all__ = ["CONTROL_RANK", "Prober"]

CONTROL_RANK = ranks.Rank(
    "control", -1, datetime.timedelta(milliseconds=100), 0.0
)
"""Goes before all callers' ranks where connections are waited for."""

_PROBE_LIMIT = datetime.timedelta(milliseconds=1_200)
"""After which a question counts as unanswered; its connection is closed."""

_ROUND_LIMIT = datetime.timedelta(milliseconds=120)
_DOUBT_LIMIT = datetime.timedelta(milliseconds=15)
"""How long a round waits for a database that didn't answer the last one."""

_STOOD_STILL = datetime.timedelta(milliseconds=400)
"""A round that takes so much longer than planned: this process was frozen."""


class Prober:
    """Runs rounds over the databases of one group."""

    def __init__(
        self,
        evidence: evidences.Evidence,
        lenders_by_id: dict[members.MemberId, lenders.Lender],
        clock: clocks.Clock,
    ) -> None:
        self._evidence = evidence
        self._lenders = lenders_by_id
        self._clock = clock
        self._vitals: dict[members.MemberId, vitals.Vital] = {}
        self._asking: dict[members.MemberId, asyncio.Task[None]] = {}
        self._background = background.Background()

    def __repr__(self) -> str:
        return f"Prober({sorted(self._lenders)})"

    def vital(self, name: members.MemberId) -> vitals.Vital:
        """Returns whether a database answers."""
        return self._vitals.setdefault(name, vitals.Vital())

    def forget(self, name: members.MemberId) -> None:
        """Drops what was known of a database that left."""
        self._vitals.pop(name, None)

    async def close(self) -> None:
        """Ends outstanding questions."""
        await self._background.close()

    async def round(self, with_status: bool) -> evidences.Finding:
        """Asks all databases once; those that are slow count as silent."""
        now = self._clock.now()
        seen = self._evidence.open_round(now)
        await self._ask_all(seen, with_status)
        unclear = seen.silent and self._leads(seen)
        if not with_status and (unclear or self._evidence.disputed(seen)):
            # The answers alone don't confirm a primary; the logs may.
            seen = self._evidence.open_round(self._clock.now())
            await self._ask_all(seen, True)
        if self._clock.now() - now > 2 * _ROUND_LIMIT + _STOOD_STILL:
            self._forgive()
        return self._evidence.judge(seen)

    async def ask(
        self, name: members.MemberId, *batch: requests.Request
    ) -> list[requests.ReplyResult] | None:
        """Sends requests of this proxy's own to one database.

        Returns:
          The replies, or None if it can't be reached in time.
        """
        lender = self._lenders.get(name)
        if lender is None:
            return None
        now = self._clock.now()
        request = request_lib.Request(CONTROL_RANK, now, now + _PROBE_LIMIT)
        borrowed = await lender.borrow(request, {})
        if borrowed.is_error():
            self._note_unreached(name, borrowed.error)
            return None
        loan = borrowed.ok
        whole = False
        try:
            async with asyncio.timeout(_PROBE_LIMIT.total_seconds()):
                results = await loan.connection.ask(*batch)
            whole = _is_clean(results)
        except TimeoutError:
            return None
        finally:
            loan.end(broken=not whole)
        if not whole:
            self.vital(name).refuse(self._clock.now())
            return None
        self.vital(name).answer()
        return results

    def _leads(self, seen: evidences.Round) -> bool:
        """Whether any database that answered leads."""
        return any(sight.leads for sight in seen.sights.values())

    def _note_unreached(
        self, name: members.MemberId, failure: errors.Failure
    ) -> None:
        """Takes in that no connection was had; why decides what it proves."""
        match failure:
            case errors.ConnectFailed():
                self.vital(name).refuse(self._clock.now())

    async def _ask_all(self, seen: evidences.Round, statuses: bool) -> None:
        sure, doubtful = [], []
        for name in seen.asked:
            running = self._asking.get(name)
            if running is None or running.done():
                running = self._background.start(
                    self._sight(name, seen, statuses)
                )
                self._asking[name] = running
                doubt = self.vital(name).doubtful(seen.sent)
                (doubtful if doubt else sure).append(running)
        if sure:
            await asyncio.wait(sure, timeout=_ROUND_LIMIT.total_seconds())
        left = [task for task in doubtful if not task.done()]
        if left:
            await asyncio.wait(left, timeout=_DOUBT_LIMIT.total_seconds())

    async def _sight(
        self, name: members.MemberId, seen: evidences.Round, statuses: bool
    ) -> None:
        """Asks one database whether it leads; takes no slot for that."""
        self.vital(name).ask(self._clock.now())
        batch: list[requests.Request] = [requests.Begin(), requests.Rollback()]
        if statuses:
            batch.append(requests.ReadStatus())
        results = await self.ask(name, *batch)
        if results is None:
            return
        sight = self._decode(results, statuses)
        if sight is not None:
            seen.sights.setdefault(name, sight)

    def _decode(
        self, results: list[requests.ReplyResult], statuses: bool
    ) -> evidences.Sight | None:
        begun: replies.Reply = results[0].ok
        status = results[2].ok.group if statuses else None
        match begun.result:
            case expression.Result(tag="ok"):
                return evidences.Sight(True, begun.position, status)
            case expression.Result(
                tag="error",
                error=replies.Rejection(reason=replies.Reason.READ_ONLY),
            ):
                return evidences.Sight(False, begun.position, status)
        return None

    def _forgive(self) -> None:
        for vital in self._vitals.values():
            vital.forgive()


def _is_clean(results: list[requests.ReplyResult]) -> bool:
    """Whether all was answered and no transaction is left open."""
    if not all(result.is_ok() for result in results):
        return False
    return results[-1].ok.state is replies.SessionState.IDLE
