"""At-most-once execution of writes under faults in each step.

The production writer runs against a fake group whose connections share one
data store. The store stands for an old and a new primary with the same log,
the state after a failover without loss. Each step of each attempt may fail:
no connection, a cut before or after the statement ran, a refusal as
read-only, an unconfirmed replication, or no primary. The tests guard against
a write that runs twice, and against an answer that contradicts the data.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import enum
import random
import unittest

import expression
import hypothesis
from hypothesis import strategies as st

from hickorygate.callers import environment
from hickorygate.callers import handler
from hickorygate.callers import idempotency
from hickorygate.callers import load_balancing
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.callers import writing
from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import retry
from hickorygate.core import sheet
from hickorygate.core import statement as statements
from hickorygate.testing import clock
from hickorygate.testing import engine as engines

_RANK = rank.Rank("urgent", 0, datetime.timedelta(seconds=2), 0.5)
_DATABASE = sheet.Database("a", "127.0.0.1", 3306, "zone", 20, 3)
_GROUP = sheet.Group("g", ("s",), (_DATABASE,))
_REFUND = "INSERT INTO refunds (cup) VALUES (7)"
_READ_ONLY = errors.UpstreamError(1290, "HY000", "read-only", refused=True)


class Fault(enum.Enum):
    """A fault of one step."""

    NONE = "none"
    NOT_CONNECTED = "not connected"
    CUT_BEFORE = "cut before it ran"
    CUT_AFTER = "cut after it ran"
    REFUSED = "refused"
    UNCONFIRMED = "unconfirmed"
    NO_PRIMARY = "no primary"


_STEP_FAULTS = [Fault.NONE] * 8 + list(Fault)
_LASTING_FAULTS = [Fault.NONE, Fault.NO_PRIMARY, Fault.NOT_CONNECTED]


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """The faults of a run.

    Attributes:
      steps: fault of each of the first steps.
      lasting: fault of each step after them.
    """

    steps: list[Fault]
    lasting: Fault


_faults = st.builds(
    Faults,
    steps=st.lists(st.sampled_from(_STEP_FAULTS), max_size=24),
    lasting=st.sampled_from(_LASTING_FAULTS),
)


_STEPS_BEFORE_COMMIT = 6
_COMMIT_LOST = Faults(
    [Fault.NONE] * _STEPS_BEFORE_COMMIT + [Fault.CUT_AFTER], Fault.NO_PRIMARY
)
"""The answer to the commit is lost, and no primary exists afterwards."""


class Script:
    """Returns the faults of a run step by step."""

    def __init__(self, faults: Faults) -> None:
        self._steps = list(faults.steps)
        self._lasting = faults.lasting

    def next(self) -> Fault:
        """Returns the fault of the next step."""
        return self._steps.pop(0) if self._steps else self._lasting


class FakeConnection:
    """A connection to the shared data; closing it rolls back."""

    def __init__(self, engine: engines.SqlEngine, script: Script) -> None:
        self._engine = engine
        self._script = script
        self.closed = False
        self.database = _DATABASE

    def close(self) -> None:
        self.closed = True
        self._engine.rollback()

    async def ensure_schema(
        self, *_: object
    ) -> expression.Result[None, errors.Failure]:
        return expression.Ok(None)

    set_variables = ensure_schema

    async def execute(
        self, sql: str, timeout: datetime.timedelta
    ) -> handler.AnswerResult:
        match self._script.next():
            case Fault.CUT_BEFORE:
                self.close()
                return expression.Error(errors.AnswerLost("a", "cut"))
            case Fault.CUT_AFTER:
                self._run(sql)
                self.close()
                return expression.Error(errors.AnswerLost("a", "cut"))
            case Fault.REFUSED:
                return expression.Error(_READ_ONLY)
        return self._run(sql)

    def _run(self, sql: str) -> handler.AnswerResult:
        return self._engine.run(sql)


class FakePool:
    """A pool that opens a new connection for each request."""

    def __init__(self, engine: engines.SqlEngine, script: Script) -> None:
        self._engine = engine
        self._script = script

    async def acquire(
        self, request: request_context.RequestContext
    ) -> expression.Result[FakeConnection, errors.Failure]:
        if self._script.next() is Fault.NOT_CONNECTED:
            return expression.Error(errors.ConnectFailed("a", "refused"))
        return expression.Ok(FakeConnection(self._engine, self._script))

    def release(self, connection: FakeConnection) -> None:
        connection.close()


class FakeGroup:
    """A group that may lack a primary or fail to confirm replication."""

    def __init__(self, engine: engines.SqlEngine, script: Script) -> None:
        self._script = script
        self.pool = FakePool(engine, script)
        self.database = _DATABASE
        self.group = _GROUP

    @property
    def view(self) -> FakeGroup:
        return self

    def database_link(self, name: str) -> FakeGroup:
        return self

    async def wait_writable(
        self, timeout: datetime.timedelta
    ) -> expression.Result[position.DatabaseStatus, errors.Failure]:
        if self._script.next() is Fault.NO_PRIMARY:
            return expression.Error(errors.NoPrimary("g"))
        return expression.Ok(_primary())

    def invalidate(self, name: str) -> None:
        """Ignores that the primary refused a statement."""

    async def wait_until_durable(
        self, name: str, term: int
    ) -> expression.Result[position.Position, errors.Failure]:
        if self._script.next() is Fault.UNCONFIRMED:
            return expression.Error(errors.ReplicationUnconfirmed("g"))
        return expression.Ok(position.Position(term, 1))


class Unrecorded:
    """A recorder that discards all measurements."""

    def record(self, measurement: object) -> None:
        pass


def _primary() -> position.DatabaseStatus:
    return position.DatabaseStatus(
        database="a",
        role=position.Role.PRIMARY,
        term=1,
        base=0,
        log_term=1,
        received=1,
        applied=1,
        fenced=1,
        primary_silence=datetime.timedelta(),
        boot="1",
    )


class Bench:
    """A writer that runs against the fake group."""

    def __init__(self, faults: Faults, seed: int) -> None:
        self.engine = engines.SqlEngine()
        self.engine.run("CREATE TABLE refunds (cup INT)")
        self.engine.run(idempotency.CREATE_TABLE)
        self.clock = clock.FakeClock()
        group = FakeGroup(self.engine, Script(faults))
        env = environment.Environment(
            fleet=group,
            clock=self.clock,
            rng=random.Random(seed),
            zone="zone",
            retries=retry.RetryBudget(),
            policy=load_balancing.FirstCandidate(),
            recorder=Unrecorded(),
        )
        session = sessions.Session("keepcup", self.clock.now())
        self.writer = writing.Writer(env, group, session)

    def write(self, key: str | None) -> handler.AnswerResult:
        """Runs the refund statement once, as one request of a caller."""
        now = self.clock.now()
        request = request_context.RequestContext(
            _RANK, now, now + _RANK.target, idempotency_key=key
        )
        statement = statements.classify(_REFUND).ok
        work = statement_execution.StatementExecution(statement, request)
        return asyncio.run(self.writer.run(work))

    def refunds(self) -> int:
        """Returns the number of refunds in the data."""
        return self.engine.run("SELECT COUNT(*) FROM refunds").ok.rows[0][0]


class AtMostOnceTest(unittest.TestCase):
    """Checks each answer against the data."""

    @hypothesis.seed(
        898377780249375307511345117289413987604421528816955706835066281717586710651158286820009894616368612870595438293242
    )
    @hypothesis.given(faults=_faults, seed=st.integers(0, 9))
    @hypothesis.settings(max_examples=300)
    def test_without_a_key(self, faults: Faults, seed: int) -> None:
        bench = Bench(faults, seed)
        result = bench.write(key=None)
        ran = bench.refunds()
        if result.is_ok():
            self.assertEqual(ran, 1)
        elif result.error.outcome is errors.Outcome.NOT_RUN:
            self.assertEqual(ran, 0)
        self.assertLessEqual(ran, 1)

    @hypothesis.seed(
        12404335405809398073424206446401352857049497067770410361422052679009864936067130267171576421013614158587129540212684
    )
    @hypothesis.given(
        faults=_faults,
        seed=st.integers(0, 9),
        repeats=st.integers(1, 4),
    )
    @hypothesis.example(faults=_COMMIT_LOST, seed=0, repeats=1)
    @hypothesis.settings(max_examples=400)
    def test_with_a_key_however_often_repeated(
        self, faults: Faults, seed: int, repeats: int
    ) -> None:
        bench = Bench(faults, seed)
        succeeded = False
        for _ in range(repeats):
            before = bench.refunds()
            result = bench.write(key="scan-1")
            ran = bench.refunds()
            self.assertLessEqual(ran, 1)
            succeeded = succeeded or result.is_ok()
            if result.is_ok():
                self.assertEqual(ran, 1)
                self.assertEqual(result.ok.affected_rows, 1)
            elif result.error.outcome is errors.Outcome.NOT_RUN:
                self.assertEqual(ran, before)
        if succeeded:
            self.assertEqual(bench.refunds(), 1)
