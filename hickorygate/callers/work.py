"""One statement on its way through the executor."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import measurement as measurements
from hickorygate.core import request as requests
from hickorygate.core import statement as statements
from hickorygate.core import types

__all__ = ["STATEMENT_TIMEOUT", "Trace", "Work"]

STATEMENT_TIMEOUT = datetime.timedelta(seconds=10)
"""After which the answer to a statement that was sent counts as lost."""


@dataclasses.dataclass(slots=True)
class Trace:
    """What is noted of a statement on its way.

    Attributes:
      group: whose databases were asked; None if none was found.
      served_by: the kind of database that was asked last.
    """

    group: types.GroupName | None = None
    served_by: measurements.ServedBy = measurements.ServedBy.NOBODY


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A statement, its terms of service and the trace of its way."""

    statement: statements.Statement
    request: requests.Request
    trace: Trace = dataclasses.field(default_factory=Trace, compare=False)
