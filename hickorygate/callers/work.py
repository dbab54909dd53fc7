"""One statement on its way through the executor."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import request as requests
from hickorygate.core import statement as statements

__all__ = ["STATEMENT_TIMEOUT", "Work"]

STATEMENT_TIMEOUT = datetime.timedelta(seconds=10)
"""After which the answer to a statement that was sent counts as lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A statement and its terms of service."""

    statement: statements.Statement
    request: requests.Request
