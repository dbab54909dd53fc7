"""Records what the takeovers of one group know, ask and learn."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime
import enum

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import reply
from hickorygate.core import takeover_steps
from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover as takeovers
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger

__all__ = ["Query", "TakeoverLog"]

_BRIEF_WAIT = datetime.timedelta(milliseconds=100)
"""Time for which a query must have had no answer to be worth a line when the
takeover ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query to one database.

    Attributes:
      member: the database.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      stage: stage of the takeover in which it is asked.
      sent: time at which it is asked.
    """

    member: members.MemberId
    term: types.Term
    number: int
    stage: takeovers.Stage
    sent: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The parts of an answer that make it worth a line if they change.

    A replica that isn't paused receives all the time, so that its log end says
    nothing new.
    """

    number: int
    stage: takeovers.Stage
    is_primary: bool
    term: types.Term
    paused_for: types.Term
    received: position.Position | None


class _Comparison(enum.Enum):
    """The result of a comparison of the primary's log and the candidate's."""

    UNKNOWN = enum.auto()
    BEHIND = enum.auto()
    CAUGHT_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class _Silence:
    """The queries to a database since its last answer.

    Attributes:
      first: the first of them.
      last: the last of them.
      tries: their number.
      recorded: value of `tries` in the last line about them.
    """

    first: Query
    last: Query
    tries: int = 0
    recorded: int = 0


class TakeoverLog:
    """The lines about takeovers, each with its term and fencing token."""

    __slots__ = (
        "_answers",
        "_clock",
        "_comparison",
        "_journal",
        "_number",
        "_service",
        "_silences",
        "_term",
    )

    def __init__(
        self,
        service: types.ServiceName,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        """Creates the log; `record_start` begins the lines of a takeover.

        Args:
          service: service whose primary is replaced.
          clock: source of the current time.
          journal: log that events are recorded in.
        """
        self._service = service
        self._clock = clock
        self._journal = journal
        self._term: types.Term = 0
        self._number = 0
        self._answers: dict[members.MemberId, _Answer] = {}
        self._silences: dict[members.MemberId, _Silence] = {}
        self._comparison: _Comparison | None = None

    def __repr__(self) -> str:
        return f"TakeoverLog({self._service!r}, {self._term}, {self._number})"

    def record_start(
        self,
        plan: takeover_plan.Plan,
        situation: takeover_trigger.GroupSnapshot,
        number: int,
        view_age: datetime.timedelta | None,
    ) -> None:
        """Records that a takeover starts, and on what knowledge it acts.

        Args:
          plan: plan of the takeover.
          situation: what the plan was made from.
          number: fencing token of the promotion lease.
          view_age: age of that knowledge; None if there is none.
        """
        self._term = plan.term
        self._number = number
        self._answers.clear()
        self._silences.clear()
        self._comparison = None
        leader = situation.leader or situation.lost
        self._journal.record(
            takeover_steps.TakeoverStarted(
                service=self._service,
                term=self._term,
                reason=plan.reason,
                number=self._number,
                leader=leader.member if leader else "",
                leader_term=leader.term if leader else 0,
                view_age=view_age,
                listed=_sorted(situation.members),
                leaving=_sorted(plan.leaving),
                unreachable=_sorted(situation.unreachable),
                departed=_sorted(situation.departed),
                asked=_sorted({*plan.pause, plan.candidate} - {None}),
                max_silent=plan.max_silent,
            )
        )

    def open_query(
        self, name: members.MemberId, stage: takeovers.Stage
    ) -> Query:
        """Notes that a database is asked.

        Returns:
          The query, for `record_result`.
        """
        now = self._clock.now()
        query = Query(name, self._term, self._number, stage, now)
        silence = self._silences.setdefault(name, _Silence(query, query))
        silence.last = query
        silence.tries += 1
        return query

    def record_result(
        self, query: Query, status: reply.ReplicationStatus | None
    ) -> None:
        """Records what a query led to.

        Args:
          query: the query.
          status: status in the answer; None if there was no answer.
        """
        if status is not None:
            self._silences.pop(query.member, None)
            self._record_answer(query, status)
            return
        silence = self._silences.get(query.member)
        if silence is not None and not silence.recorded:
            self._record_silence(silence)

    def record_end(self, outcome: str) -> None:
        """Records who is silent, and the end of the takeover.

        Args:
          outcome: how the takeover ended.
        """
        oldest = self._clock.now() - _BRIEF_WAIT
        for silence in self._silences.values():
            if silence.recorded < silence.tries and silence.first.sent < oldest:
                self._record_silence(silence)
        self._silences.clear()
        self._journal.record(
            takeover_steps.TakeoverEnded(
                self._service, self._term, self._number, outcome
            )
        )

    def record_comparison(
        self,
        effect: takeover_events.CompareCandidate,
        leader: position.Position | None,
        candidate: reply.ReplicationStatus | None,
    ) -> None:
        """Records how far the candidate of a primary that serves is.

        Args:
          effect: the comparison.
          leader: position of the primary's log, read first; None if unknown.
          candidate: status of the candidate; None if unknown.
        """
        received = candidate.received if candidate else None
        comparison = _compare(leader, received)
        if self._comparison is comparison:
            return
        self._comparison = comparison
        self._journal.record(
            takeover_steps.CandidateCompared(
                self._service,
                self._term,
                self._number,
                effect.leader,
                leader,
                effect.candidate,
                received,
            )
        )

    def record_order(
        self, name: members.MemberId, received: position.Position | None
    ) -> None:
        """Records that a promotion is about to be ordered.

        Args:
          name: database to promote.
          received: end of its log; None if unknown.
        """
        self._journal.record(
            takeover_steps.PromotionSent(
                self._service, self._term, self._number, name, received
            )
        )

    def record_lost_pause(self, name: members.MemberId, ordered: bool) -> None:
        """Records that a replica isn't paused any more.

        Args:
          name: the replica.
          ordered: whether a promotion was ordered already.
        """
        self._journal.record(
            takeover_steps.PauseLost(
                self._service, name, self._term, self._number, ordered
            )
        )

    def _record_answer(
        self, query: Query, status: reply.ReplicationStatus
    ) -> None:
        answer = _Answer(
            query.number,
            query.stage,
            status.is_primary,
            status.term,
            status.paused_for,
            status.received if status.paused_for else None,
        )
        if self._answers.get(query.member) == answer:
            return
        self._answers[query.member] = answer
        self._journal.record(
            takeover_steps.ReplicaAnswered(
                service=self._service,
                term=query.term,
                number=query.number,
                stage=query.stage.name.lower(),
                member=query.member,
                is_primary=status.is_primary,
                member_term=status.term,
                received=status.received,
                paused_for=status.paused_for,
                took=self._clock.now() - query.sent,
            )
        )

    def _record_silence(self, silence: _Silence) -> None:
        silence.recorded = silence.tries
        self._journal.record(
            takeover_steps.ReplicaSilent(
                service=self._service,
                term=silence.last.term,
                number=silence.last.number,
                stage=silence.last.stage.name.lower(),
                member=silence.last.member,
                tries=silence.tries,
                since=self._clock.now() - silence.first.sent,
            )
        )


def _compare(
    leader: position.Position | None, candidate: position.Position | None
) -> _Comparison:
    if leader is None or candidate is None:
        return _Comparison.UNKNOWN
    caught_up = candidate >= leader
    return _Comparison.CAUGHT_UP if caught_up else _Comparison.BEHIND


def _sorted(names: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(names))
