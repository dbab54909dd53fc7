"""Sends one statement to one database.

Admission control orders waiting statements by rank and bounds how many run at
once; the request's deadline bounds each step.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools

import expression

from hickorygate.callers import dialog_state as states
from hickorygate.callers import surroundings
from hickorygate.core import catalog as catalogs
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import request as request_lib
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import supervisor as supervisors

__all__ = [
    "Statement",
    "ask",
    "borrow",
    "match",
    "note_commit",
    "statement",
    "terms",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The statement that a database runs for an operation.

    Attributes:
      body: text of the statement, or the arguments of a prepared statement.
      shape: statement that must be prepared first; None if there is none.
      writes: whether the statement changes data.
    """

    body: str
    shape: operations.Shape | None = None
    writes: bool = False

    def request(
        self, name: str, floor: positions.Position | None = None
    ) -> requests.Request:
        """Returns the request to send to a database.

        Args:
          name: request id that the caller assigned.
          floor: log position that the database must have reached; None if any
            position will do.
        """
        if self.shape is None:
            return requests.Run(name, self.body, floor)
        prepared = lenders.shape_name(self.shape)
        return requests.Execute(name, prepared, self.body, floor)


@functools.singledispatch
def statement(
    operation: operations.Operation, state: states.DialogState
) -> Statement:
    """Returns the statement that a database runs for an operation."""
    raise TypeError(f"{operation!r} does not run in a database")


@statement.register(operations.Read)
@statement.register(operations.Commit)
def _(
    operation: operations.Read | operations.Commit, state: states.DialogState
) -> Statement:
    return Statement(operation.text)


@statement.register
def _(operation: operations.Write, state: states.DialogState) -> Statement:
    return Statement(operation.text, writes=True)


@statement.register
def _(operation: operations.Execute, state: states.DialogState) -> Statement:
    shape = state.shapes[operation.name]
    return Statement(operation.arguments, shape, shape.writes)


def terms(call: states.Call, route: catalogs.Route) -> request_lib.Request:
    """Returns the rank and the deadline with which a call waits."""
    return request_lib.Request(route.rank, call.arrived, call.deadline)


async def borrow(
    env: surroundings.Surroundings,
    lender: lenders.Lender,
    terms_: request_lib.Request,
    state: states.DialogState,
    shape: operations.Shape | None,
    use: lenders.Use = lenders.Use.SHORT,
) -> lenders.LoanResult:
    """Borrows a connection and gives it the caller's session state.

    Args:
      env: dependencies that all sessions share.
      lender: connection pool of the database.
      terms_: rank and deadline of the request.
      state: session whose values the connection gets.
      shape: statement to prepare on the connection; None if there is none.
      use: whether the connection is borrowed for a statement or for a
        transaction.
    """
    borrowed = await lender.borrow(terms_, state.values, use)
    if borrowed.is_error():
        return borrowed
    loan = borrowed.ok
    failure = await match(env, loan, terms_, state, shape)
    if failure is None:
        return borrowed
    loan.end(broken=True)
    return expression.Error(failure)


async def match(
    env: surroundings.Surroundings,
    loan: lenders.Loan,
    terms_: request_lib.Request,
    state: states.DialogState,
    shape: operations.Shape | None,
) -> errors.Failure | None:
    """Gives a connection the caller's session values and prepared statement.

    Returns:
      None on success. Otherwise a failure whose outcome is that the statement
      was not sent; the caller of this function must close the connection.
    """
    name = loan.lender.member.id
    time_left_s = terms_.time_left(env.clock.now()).total_seconds()
    try:
        async with asyncio.timeout(time_left_s):
            failure = await loan.match(state.values, shape)
    except TimeoutError:
        return errors.ConnectFailed(name, "no answer while preparing")
    except asyncio.CancelledError:
        loan.end(broken=True)
        raise
    if failure is None:
        return None
    return errors.ConnectFailed(name, failure.message)


async def ask(
    env: surroundings.Surroundings,
    group: supervisors.Supervisor,
    loan: lenders.Loan,
    request: requests.Request,
    terms_: request_lib.Request,
) -> requests.ReplyResult:
    """Runs a statement on a borrowed connection once it is admitted.

    If no answer arrives before the deadline, the connection is closed. The
    caller of this function returns the connection to its pool.
    """
    permits = loan.lender.permits
    entered = await permits.enter(terms_)
    if entered.is_error():
        return expression.Error(entered.error)
    started = env.clock.now()
    ran = False
    try:
        time_left_s = terms_.time_left(started).total_seconds()
        async with asyncio.timeout(time_left_s):
            result = await loan.run(request)
        ran = result.is_ok()
    except TimeoutError:
        loan.connection.close()
        name = loan.lender.member.id
        result = expression.Error(errors.AnswerOverdue(name, "timed out"))
    except asyncio.CancelledError:
        loan.connection.close()
        raise
    finally:
        took = env.clock.now() - started
        permits.leave(entered.ok, took if ran else None)
    loan.lender.grade.note(_is_database_failure(result), env.clock.now())
    if result.is_ok():
        group.note(loan.lender.member.id, result.ok.position)
    return result


def _is_database_failure(result: requests.ReplyResult) -> bool:
    """Returns whether a result counts as a failure of the database.

    A rejection of a statement that did not run doesn't count.
    """
    if result.is_error():
        return True
    failure = requests.failure_of(result)
    return failure is not None and failure.outcome is not errors.Outcome.NOT_RUN


def note_commit(
    group: supervisors.Supervisor, result: requests.ReplyResult
) -> None:
    """Records the outcome of a commit that was sent to the primary.

    An overdue answer is not recorded, so the commit still counts as waiting
    for the primary.
    """
    match result:
        case expression.Result(tag="ok"):
            group.stall.answered()
        case expression.Result(tag="error", error=errors.AnswerOverdue()):
            return
        case _:
            group.stall.broken()
