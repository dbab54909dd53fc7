"""Read-your-writes consistency of sessions that move between proxies.

Three databases replicate by the rules of `testing.replication`. Three proxies
receive their statuses late, out of order, repeatedly or never. Sessions
write, move to other proxies with and without their tokens, and read from each
database that the proxies' decisions allow. The test guards against a read
that lacks an acknowledged write of its own session.

Hypothesis sorts the rules by their names: the name of a rule decides which
examples are tested.
"""

from __future__ import annotations

import dataclasses
import datetime
import itertools
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hickorygate.callers import freshness
from hickorygate.callers import session as sessions
from hickorygate.core import position as positions
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import sheet
from hickorygate.testing import replication
from hickorygate.upstreams import group_view

_NAMES = ("a", "b", "c")
_PROXIES = range(3)
_SESSIONS = range(3)
_TICK = datetime.timedelta(milliseconds=1)
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_RANK = rank.Rank("urgent", 0, datetime.timedelta(seconds=1), 0.5)
_GROUP = sheet.Group(
    name="g",
    schemas=("s",),
    databases=tuple(
        sheet.Database(name, "127.0.0.1", 3306 + n, "zone", 20, 3)
        for n, name in enumerate(_NAMES)
    ),
)

_names = st.sampled_from(_NAMES)
_pairs = st.sampled_from(list(itertools.permutations(_NAMES, 2)))
_proxies = st.sampled_from(_PROXIES)
_sessions = st.sampled_from(_SESSIONS)


@dataclasses.dataclass(slots=True)
class Caller:
    """A session and its acknowledged writes.

    Attributes:
      session: state of the session.
      proxy: index of the proxy that serves the session.
      acknowledged: texts of the writes acknowledged to the session.
    """

    session: sessions.Session
    proxy: int
    acknowledged: set[str] = dataclasses.field(default_factory=set)


@hypothesis.seed(
    37220987043288020042238600622798340827250625553186489316364907689805585198718395271243431500760913126492716721554775
)
class SessionsMachine(stateful.RuleBasedStateMachine):
    """Random events; each allowed read is checked at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START
        self.logs = {
            name: replication.ReplicationLog(name, name) for name in _NAMES
        }
        self.cuts: set[frozenset[str]] = set()
        self.views = [group_view.GroupView(_GROUP) for _ in _PROXIES]
        self.statuses: list[tuple[int, group_view.StatusObservation]] = []
        self.callers = [
            Caller(sessions.Session("caller", self.tick()), n % len(_PROXIES))
            for n in _SESSIONS
        ]
        self.writes = 0
        self.term = 0
        self.rng = random.Random(0)
        self.fail_over("a", "b", point_others=True)
        for proxy in _PROXIES:
            self.look_around(proxy, _NAMES)

    def tick(self) -> datetime.datetime:
        """Moves the time on."""
        self.now += _TICK
        return self.now

    def fail_over(self, first: str, second: str, point_others: bool) -> None:
        """Fences two databases and promotes the more advanced one."""
        self.term += 1
        fenced = []
        for name in (first, second):
            if self.logs[name].fence(self.term, "runner").is_ok():
                fenced.append(self.logs[name])
        if len(fenced) < _GROUP.majority:
            return
        best = max(fenced, key=lambda log: log.position)
        best.applied = len(best.entries)
        best.promote(self.term, "runner")
        for name in _NAMES:
            if point_others and name != best.database:
                self.logs[name].follow(self.term, best.database)
                self.pull(name)

    def look_around(self, proxy: int, names: tuple[str, ...]) -> None:
        """A proxy asks several databases at once and hears them."""
        for name in names:
            asked = self.tick()
            status = self.logs[name].status(self.tick())
            observation = group_view.StatusObservation(
                status, asked, self.tick()
            )
            self.views[proxy].observe(observation)

    def pull(self, name: str) -> None:
        """Copies from the followed primary, if nothing is cut."""
        log = self.logs[name]
        source = log.following
        if source is None or frozenset((name, source)) in self.cuts:
            return
        dropped = log.pull(self.logs[source], self.tick())
        if dropped:
            log.applied = len(log.entries)

    @stateful.rule(reached=_pairs, point_others=st.booleans())
    def change_primary(
        self, reached: tuple[str, str], point_others: bool
    ) -> None:
        """A failover by whoever reaches two databases."""
        self.fail_over(*reached, point_others)

    @stateful.rule(name=_names)
    def follow(self, name: str) -> None:
        """A database is pointed at the newest primary."""
        for log in self.logs.values():
            primary = log.role is positions.Role.PRIMARY
            if primary and log.term == self.term and log.database != name:
                self.logs[name].follow(self.term, log.database)

    @stateful.rule(name=_names)
    def replicate(self, name: str) -> None:
        """Entries arrive."""
        self.pull(name)

    @stateful.rule(name=_names)
    def apply(self, name: str) -> None:
        """Entries become visible."""
        log = self.logs[name]
        log.applied = min(len(log.entries), log.applied + 1)

    @stateful.rule(pair=_pairs, mended=st.booleans())
    def cut(self, pair: tuple[str, str], mended: bool) -> None:
        """Replication between two databases stops, or all of it goes on."""
        self.cuts.add(frozenset(pair))
        if mended:
            self.cuts.clear()

    @stateful.rule(proxy=_proxies, name=_names)
    def ask(self, proxy: int, name: str) -> None:
        """A proxy asks for a status; the answer is under way."""
        asked = self.tick()
        status = self.logs[name].status(self.tick())
        self.statuses.append(
            (proxy, group_view.StatusObservation(status, asked, self.tick()))
        )

    @stateful.rule(data=st.data())
    def hear(self, data: st.DataObject) -> None:
        """An answer arrives, in any order, perhaps again later."""
        if self.statuses:
            index = data.draw(st.integers(0, len(self.statuses) - 1))
            proxy, observation = self.statuses[index]
            self.views[proxy].observe(observation)

    @stateful.rule(proxy=_proxies, reached=st.permutations(_NAMES))
    def probe(self, proxy: int, reached: list[str]) -> None:
        """A proxy's probes reach a majority, or all."""
        self.look_around(proxy, tuple(reached[: self.rng.choice((2, 3))]))

    @stateful.rule(who=_sessions, helper=_names, fresh=st.booleans())
    def write(self, who: int, helper: str, fresh: bool) -> None:
        """A session writes; it is acknowledged if one replica holds it."""
        caller = self.callers[who]
        if fresh:
            self.look_around(caller.proxy, _NAMES)
        primary = self.views[caller.proxy].primary
        if primary is None or primary.database == helper:
            return
        log = self.logs[primary.database]
        if not log.writable or log.term != primary.term:
            return
        self.writes += 1
        text = f"write {self.writes}"
        log.append((text,))
        position = positions.Position(log.term, len(log.entries))
        self.pull(helper)
        held = self.logs[helper].status(self.tick())
        if positions.has_received(held, position):
            caller.session.raise_floor("g", position)
            caller.acknowledged.add(text)

    @stateful.rule(who=_sessions, proxy=_proxies, token=st.booleans())
    def move(self, who: int, proxy: int, token: bool) -> None:
        """A session goes on at another proxy."""
        caller = self.callers[who]
        moved = sessions.Session("caller", self.tick())
        if token:
            for name, floor in caller.session.floors.items():
                moved.raise_floor(name, floor)
        caller.session = moved
        caller.proxy = proxy

    @stateful.rule(
        who=_sessions,
        staleness=st.sampled_from(
            [None, datetime.timedelta(0), datetime.timedelta(hours=1)]
        ),
        reached=_pairs,
    )
    def read(
        self,
        who: int,
        staleness: datetime.timedelta | None,
        reached: tuple[str, str],
    ) -> None:
        """A session reads; whatever the plan allows must show its writes."""
        caller = self.callers[who]
        if "g" not in caller.session.groups_with_floor:
            self.look_around(caller.proxy, reached)
        request = request_context.RequestContext(
            _RANK, self.now, self.now, staleness
        )
        plan = freshness.plan_read(
            self.views[caller.proxy], caller.session, request, self.tick()
        )
        names: tuple[str, ...] = ()
        if isinstance(plan, freshness.FromReplicas):
            names = plan.names + ((plan.primary,) if plan.primary else ())
        if isinstance(plan, freshness.FromPrimary):
            names = (plan.name,)
        for name in names:
            log = self.logs[name]
            seen = {
                text
                for entry in log.entries[: log.applied]
                for text in entry.statements
            }
            missing = caller.acknowledged - seen
            assert not missing, f"{name} lacks {missing} of session {who}"


SessionsMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=50
)


class ReadYourWritesTest(SessionsMachine.TestCase, unittest.TestCase):
    """Runs `SessionsMachine` as a test case."""
