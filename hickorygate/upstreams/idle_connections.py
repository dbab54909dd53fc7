"""The idle connections of a pool, least recently used first."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from collections.abc import Mapping
import datetime

from hickorygate.core import types
from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = ["IdleConnections"]


class IdleConnections:
    """The idle connections of a pool, least recently used first."""

    __slots__ = ("_connections",)

    def __init__(self) -> None:
        self._connections: list[pooled_connections.PooledConnection] = []

    @property
    def oldest(self) -> pooled_connections.PooledConnection:
        """The least recently used connection; there must be one."""
        return self._connections[0]

    @property
    def live_count(self) -> int:
        """The number of connections that are open."""
        return sum(not c.connection.closed for c in self._connections)

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[pooled_connections.PooledConnection]:
        return iter(self._connections)

    def __repr__(self) -> str:
        return f"IdleConnections({len(self)})"

    def add(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        now: datetime.datetime,
    ) -> None:
        """Adds a connection that was used until now."""
        pooled_connection.mark_idle(now)
        self._connections.append(pooled_connection)

    def restore(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Adds a connection as if it hadn't been used since its last return."""
        bisect.insort(
            self._connections, pooled_connection, key=lambda c: c.returned
        )

    def remove(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Removes a connection."""
        self._connections.remove(pooled_connection)

    def find(
        self, values: Mapping[str, str], workspace: types.WorkspaceName | None
    ) -> pooled_connections.PooledConnection | None:
        """Returns the most recently used connection for a borrower.

        A connection with the same session variables is preferred.

        Args:
          values: session variables of the borrower.
          workspace: workspace that the connection must serve; None for any.
        """
        found = None
        for pooled_connection in reversed(self._connections):
            if workspace not in (None, pooled_connection.workspace):
                continue
            if pooled_connection.values == values:
                return pooled_connection
            found = found or pooled_connection
        return found

    def oldest_of_others(
        self, workspace: types.WorkspaceName
    ) -> pooled_connections.PooledConnection | None:
        """Returns the least recently used connection of other workspaces."""
        for pooled_connection in self._connections:
            if pooled_connection.workspace != workspace:
                return pooled_connection
        return None

    def drop_closed(self) -> None:
        """Removes the connections that the database has closed."""
        self._connections = [
            c for c in self._connections if not c.connection.closed
        ]

    def close_all(self) -> None:
        """Closes and removes all connections."""
        for pooled_connection in self._connections:
            pooled_connection.connection.close()
        self._connections.clear()
