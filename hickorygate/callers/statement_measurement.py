"""Builds the measurement of a statement; no I/O.

The statement's route determines the kind of work that is reported.
"""

from __future__ import annotations

import datetime
import functools

import expression

from hickorygate.callers import handler
from hickorygate.callers import routing
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import measurement

__all__ = ["served"]

_Kind = measurement.WorkKind


def served(
    route: routing.Route,
    work: statement_execution.StatementExecution,
    result: handler.AnswerResult,
    ended: datetime.datetime,
) -> measurement.StatementServed | None:
    """Returns the measurement of a statement.

    Args:
      route: route on which the statement ran.
      work: statement with its execution trace.
      result: answer to the statement.
      ended: time at which the answer was known.

    Returns:
      The measurement, or None if the route needs no database.
    """
    kind = _work_kind(route)
    if kind is None:
        return None
    reads = kind is _Kind.READ
    primary = measurement.ServedBy.PRIMARY
    return measurement.StatementServed(
        rank=work.request.rank,
        work=kind,
        served_by=work.trace.served_by if reads else primary,
        group=work.trace.group,
        arrived=work.request.arrived,
        ended=ended,
        failure=_failure(result),
    )


def _failure(result: handler.AnswerResult) -> errors.Failure | None:
    match result:
        case expression.Result(tag="error", error=failure):
            return failure
    return None


@functools.singledispatch
def _work_kind(route: routing.Route) -> _Kind | None:
    return None


@_work_kind.register
def _(route: routing.ToFreshDatabase) -> _Kind | None:
    return _Kind.READ


@_work_kind.register(routing.ToPrimary)
@_work_kind.register(routing.CommitFirst)
def _(route: routing.Route) -> _Kind | None:
    return _Kind.WRITE


@_work_kind.register
def _(route: routing.EndTransaction) -> _Kind | None:
    return _Kind.WRITE if route.is_commit else _Kind.TRANSACTION


@_work_kind.register(routing.ToPinned)
@_work_kind.register(routing.InTransaction)
@_work_kind.register(routing.BeginImplicitly)
def _(route: routing.Route) -> _Kind | None:
    return _Kind.TRANSACTION
