"""A statement that the executor processes, and its execution trace."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import measurement
from hickorygate.core import request_context
from hickorygate.core import statement as statements
from hickorygate.core import types

__all__ = ["STATEMENT_TIMEOUT", "ExecutionTrace", "StatementExecution"]

STATEMENT_TIMEOUT = datetime.timedelta(seconds=10)
"""Time after which the answer to a sent statement is considered lost."""


@dataclasses.dataclass(slots=True)
class ExecutionTrace:
    """Facts recorded while a statement is executed, for measurements.

    Attributes:
      group: name of the group that the statement was sent to; None if no
        group was found.
      served_by: role of the database that the statement was last sent to.
    """

    group: types.GroupName | None = None
    served_by: measurement.ServedBy = measurement.ServedBy.NOBODY


@dataclasses.dataclass(frozen=True, slots=True)
class StatementExecution:
    """A statement together with its terms and its execution trace.

    Attributes:
      statement: classified statement.
      request: rank, deadline and other terms of the statement.
      trace: facts recorded during the execution.
    """

    statement: statements.Statement
    request: request_context.RequestContext
    trace: ExecutionTrace = dataclasses.field(
        default_factory=ExecutionTrace, compare=False
    )
