"""What is measured of a statement: dispatches on its route. No I/O."""

from __future__ import annotations

import datetime
import functools

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import routing
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import measurement as measurements

__all__ = ["served"]

_Kind = measurements.Work


def served(
    route: routing.Route,
    work: works.Work,
    result: handlers.AnswerResult,
    ended: datetime.datetime,
) -> measurements.StatementServed | None:
    """Returns the measurement of a statement; None if no database was asked.

    Args:
      route: where it ran.
      work: the statement, with the trace of its way.
      result: its answer.
      ended: when the answer was known.
    """
    kind = _kind(route)
    if kind is None:
        return None
    reads = kind is _Kind.READ
    primary = measurements.ServedBy.PRIMARY
    return measurements.StatementServed(
        rank=work.request.rank,
        work=kind,
        served_by=work.trace.served_by if reads else primary,
        group=work.trace.group,
        arrived=work.request.arrived,
        ended=ended,
        failure=_failure(result),
    )


def _failure(result: handlers.AnswerResult) -> errors.Failure | None:
    match result:
        case expression.Result(tag="error", error=failure):
            return failure
    return None


@functools.singledispatch
def _kind(route: routing.Route) -> _Kind | None:
    return None


@_kind.register
def _(route: routing.ToAny) -> _Kind | None:
    return _Kind.READ


@_kind.register(routing.ToPrimary)
@_kind.register(routing.CommitFirst)
def _(route: routing.Route) -> _Kind | None:
    return _Kind.WRITE


@_kind.register
def _(route: routing.EndTransaction) -> _Kind | None:
    return _Kind.WRITE if route.keep else _Kind.TRANSACTION


@_kind.register(routing.ToPinned)
@_kind.register(routing.InTransaction)
@_kind.register(routing.OpenImplicitly)
def _(route: routing.Route) -> _Kind | None:
    return _Kind.TRANSACTION
