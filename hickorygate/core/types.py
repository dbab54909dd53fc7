"""Type aliases that several packages share."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeAlias

__all__ = [
    "CallerName",
    "Cell",
    "DatabaseName",
    "GroupName",
    "Offset",
    "ProxyName",
    "RankName",
    "Row",
    "SchemaName",
    "ServiceName",
    "SheetVersion",
    "Term",
    "WorkspaceName",
    "ZoneName",
]

CallerName: TypeAlias = str
DatabaseName: TypeAlias = str
GroupName: TypeAlias = str
ProxyName: TypeAlias = str
RankName: TypeAlias = str
SchemaName: TypeAlias = str
ServiceName: TypeAlias = str
ZoneName: TypeAlias = str

WorkspaceName: TypeAlias = str
"""Name of a caller's workspace; empty if the caller has none."""

Term: TypeAlias = int
"""Term of a primary; each promotion increases it."""

Offset: TypeAlias = int
"""Number of log entries; a log holds entry n if its offset is at least n."""

SheetVersion: TypeAlias = int
"""Version of the stored sheet, as counted by the platform's object API."""

Cell: TypeAlias = bytes | str | int | float | None
Row: TypeAlias = Sequence[Cell]
