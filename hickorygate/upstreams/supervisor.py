"""Looks after the group of one service: rounds, floors, the primary.

The decisions are in `evidence`, `vital`, `stall`, `takeover` and `duty`; this
module runs them on the loop and tells those who wait.
"""

from __future__ import annotations

import asyncio
import datetime

from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import decisions
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.core import types
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import member as members
from hickorygate.upstreams import office as offices
from hickorygate.upstreams import patience as patiences
from hickorygate.upstreams import prober as probers
from hickorygate.upstreams import promoter as promoters
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import share as shares
from hickorygate.upstreams import stall as stalls

__all__ = ["Supervisor"]

_CALM = datetime.timedelta(milliseconds=400)
"""Between rounds; a floor must be younger than the tolerated staleness."""

_HURRIED = datetime.timedelta(milliseconds=40)
"""Between rounds while no primary is known."""

_SPARING = datetime.timedelta(seconds=5)
"""Between rounds of a group without use, where there are many groups."""

_IN_USE = datetime.timedelta(seconds=1)
"""How long after its last use a group counts as in use."""

_STATUS_EVERY = datetime.timedelta(seconds=5)
"""How often the logs' ends are asked for in calm times."""

_STATUS_IN_TROUBLE = datetime.timedelta(milliseconds=250)
"""The same while no primary is known or commits wait; the ends of the logs
are then the only source of floors."""


class Supervisor:
    """The databases of one service, as this proxy sees them."""

    def __init__(
        self,
        terms: catalogs.ServiceTerms,
        connector: requests.Connector,
        office: offices.Office,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._terms = terms
        self._connector = connector
        self._clock = clock
        self._journal = journal
        self._evidence = evidences.Evidence(terms.synchronous_replicas)
        self._lenders: dict[members.MemberId, lenders.Lender] = {}
        self._prober = probers.Prober(self._evidence, self._lenders, clock)
        self._stall = stalls.Stall()
        self._patience = patiences.Patience()
        self._promoter = promoters.Promoter(self, office, clock, journal)
        self._background = background.Background()
        self._wanted = asyncio.Event()
        self._ended = asyncio.Event()
        self._rounds = 0
        self._proxies = shares.ASSUMED_PROXIES
        self._last: tuple[evidences.Finding, datetime.datetime] | None = None
        self._status_due = clock.now()
        self._lost: evidences.Leader | None = None
        self._sparing = False
        self._used = clock.now()

    @property
    def service(self) -> types.ServiceName:
        """Whose databases these are."""
        return self._terms.name

    @property
    def evidence(self) -> evidences.Evidence:
        """What is known of the group."""
        return self._evidence

    @property
    def prober(self) -> probers.Prober:
        """Who asks the databases."""
        return self._prober

    @property
    def stall(self) -> stalls.Stall:
        """Commits that wait for the primary."""
        return self._stall

    @property
    def leader(self) -> evidences.Leader | None:
        """The primary; None while it is lost."""
        return self._evidence.leader

    @property
    def lost(self) -> evidences.Leader | None:
        """The primary that was lost last, until another one leads."""
        return self._lost

    @property
    def busy(self) -> bool:
        """Whether a caller has a connection or the primary is replaced."""
        lent = any(lender.lent for lender in self._lenders.values())
        return lent or self._promoter.active

    @property
    def rounds(self) -> int:
        """Rounds that ended."""
        return self._rounds

    @property
    def lenders(self) -> dict[members.MemberId, lenders.Lender]:
        """The databases' connections, by database."""
        return self._lenders

    def __repr__(self) -> str:
        return f"Supervisor({self.service!r}, {self._evidence!r})"

    def start(self) -> None:
        """Begins to ask."""
        self._background.start(self._run())

    async def close(self) -> None:
        """Ends all, and the connections with it."""
        await self._background.close()
        await self._promoter.close()
        await self._prober.close()
        for lender in self._lenders.values():
            lender.retire("this proxy stops")

    def set_terms(self, terms: catalogs.ServiceTerms) -> None:
        """Takes in changed terms."""
        self._terms = terms
        self._evidence.set_terms(terms.synchronous_replicas)

    def set_sparing(self, sparing: bool) -> None:
        """Takes in whether rounds without use should be few."""
        self._sparing = sparing

    def use(self) -> None:
        """Takes in that a caller's statement needs the group."""
        now = self._clock.now()
        if self._sparing and now - self._used >= _IN_USE:
            self._wanted.set()
        self._used = now

    def set_proxies(self, count: int) -> None:
        """Takes in how many proxies share the databases."""
        self._proxies = count
        for lender in self._lenders.values():
            lender.update(lender.member, self._terms.connections, count)

    def set_members(self, listed: tuple[members.Member, ...]) -> None:
        """Takes in the databases that count now."""
        new = {member.id: member for member in listed}
        if self.leader is not None and self.leader.member not in new:
            self.lose("it is no longer listed")
        for name, lender in list(self._lenders.items()):
            kept = new.get(name)
            if kept is None or kept.born != lender.member.born:
                del self._lenders[name]
                lender.retire("it left")
                self._prober.forget(name)
                self._journal.record(
                    decisions.MemberUnlisted(self.service, name)
                )
        for name, member in new.items():
            self._take_member(name, member)
        self._evidence.set_members(listed)
        self._wanted.set()

    def note(
        self, name: members.MemberId, position: positions.Position | None
    ) -> None:
        """Takes in the position that came with a database's answer."""
        self._evidence.note(name, position)

    def suspect(self) -> None:
        """Asks for a round soon: an answer was not as expected."""
        loop = asyncio.get_running_loop()
        loop.call_later(_HURRIED.total_seconds(), self._wanted.set)

    async def confirm(
        self, after: datetime.datetime, deadline: datetime.datetime
    ) -> evidences.Leader | None:
        """Returns who led at some time after `after`; None if unknown.

        What is served by that primary, and was asked for after `after`, saw
        all commits that were acknowledged before.
        """
        hurry = True
        while True:
            if self._last is not None:
                finding, sent = self._last
                if sent >= after and finding.confirmed:
                    return finding.leader
                # A round that proved nothing isn't repeated at once.
                hurry = sent < after
            if not await self.next_round(deadline, hurry):
                return None

    async def wait_for_floor(
        self,
        consistency: catalogs.Consistency,
        arrived: datetime.datetime,
        deadline: datetime.datetime,
    ) -> evidences.Floor | None:
        """Returns what a read must see, waiting for it until the deadline."""
        while True:
            floor = self._evidence.floor(consistency, arrived)
            if floor is not None:
                return floor
            if not await self.next_round(deadline):
                return None

    async def wait_for_leader(
        self, request: request_lib.Request
    ) -> evidences.Leader | None:
        """Returns the primary, waiting for one if that can be worth it."""
        while self.leader is None:
            until = self._patience.until(request, self._clock.now())
            if not await self.next_round(until):
                return None
        return self.leader

    def no_leader(self) -> errors.Failure:
        """Returns the refusal of what only the primary can run."""
        wait = self._patience.retry_after(self._clock.now())
        milliseconds = int(wait.total_seconds() * 1_000)
        return replies.Rejection(
            replies.Reason.BUSY,
            f"no primary at the moment; retry after {milliseconds} ms",
        )

    def found(
        self, finding: evidences.Finding, sent: datetime.datetime
    ) -> None:
        """Takes in what a round proved."""
        self._rounds += 1
        self._last = (finding, sent)

    def lose(self, reason: str) -> None:
        """Takes in that the primary is out of reach."""
        leader = self.leader
        if leader is None:
            return
        self._lost = leader
        self._patience.lose(self._clock.now())
        self._evidence.lose_leader()
        self._status_due = self._clock.now()
        lender = self._lenders.get(leader.member)
        if lender is not None:
            lender.drop(reason)
        self._journal.record(
            decisions.LeaderLost(self.service, leader.member, reason)
        )

    def _take_member(
        self, name: members.MemberId, member: members.Member
    ) -> None:
        limit = self._terms.connections
        lender = self._lenders.get(name)
        if lender is None:
            lender = lenders.Lender(member, limit, self._connector, self._clock)
            self._lenders[name] = lender
            self._journal.record(decisions.MemberListed(self.service, name))
        if member.leaving and not lender.member.leaving:
            self._journal.record(decisions.MemberLeaving(self.service, name))
        lender.update(member, limit, self._proxies)

    def commit_sent(self) -> None:
        """Takes in that a commit was sent to the primary."""
        now = self._clock.now()
        self._stall.sent(now)
        if self._stall.doubtful(now):
            self._status_due = min(self._status_due, now + _STATUS_IN_TROUBLE)

    async def _run(self) -> None:
        while True:
            self._wanted.clear()
            await self._round()
            pause = self._pause()
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._wanted.wait()
            except TimeoutError:
                continue

    def _pause(self) -> datetime.timedelta:
        """Returns how long to wait for the next round, if none is wanted."""
        unused = self._clock.now() - self._used >= _IN_USE
        if self._sparing and unused and not self._promoter.active:
            return _SPARING
        return _CALM if self._calm() else _HURRIED

    def _calm(self) -> bool:
        """Whether the primary is known and answers."""
        if self.leader is None:
            return False
        vital = self._prober.vital(self.leader.member)
        return not vital.doubtful(self._clock.now())

    async def _round(self) -> None:
        sent = self._clock.now()
        with_status = sent >= self._status_due
        if with_status:
            trouble = self.leader is None or self._stall.doubtful(sent)
            self._status_due = sent + (
                _STATUS_IN_TROUBLE if trouble else _STATUS_EVERY
            )
        before = self.leader
        finding = await self._prober.round(with_status)
        self.found(finding, sent)
        self._note_leader(before)
        self._check_leader()
        self._promoter.consider()
        for lender in self._lenders.values():
            lender.trim()
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def _note_leader(self, before: evidences.Leader | None) -> None:
        leader = self.leader
        if leader is None or leader == before:
            return
        self._stall = stalls.Stall()
        self._lost = None
        self._patience.find(self._clock.now())
        position = self._evidence.position(leader.member)
        self._journal.record(
            decisions.LeaderChanged(
                self.service, leader.member, leader.term, position
            )
        )

    def _check_leader(self) -> None:
        """Gives up a primary that doesn't answer any more."""
        leader = self.leader
        if leader is None:
            return
        if self._prober.vital(leader.member).lost(self._clock.now()):
            self.lose("it doesn't answer")

    async def next_round(
        self, deadline: datetime.datetime, hurry: bool = False
    ) -> bool:
        """Asks for a round, at once or soon; waits for one to end.

        Returns:
          Whether one ended before the deadline.
        """
        left = (deadline - self._clock.now()).total_seconds()
        if left <= 0:
            return False
        if hurry:
            self._wanted.set()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(_HURRIED.total_seconds(), self._wanted.set)
        try:
            async with asyncio.timeout(left):
                await self._ended.wait()
        except TimeoutError:
            return False
        return True
