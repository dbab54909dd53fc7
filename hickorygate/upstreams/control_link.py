"""The control connections to one database: one for calls, one for waits.

A wait occupies its connection until the database holds the position. It
therefore has a connection of its own, so that status probes and changes of
primary never queue behind a wait.
"""

from __future__ import annotations

import datetime

from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import control_connection
from hickorygate.upstreams import group_procedures

__all__ = ["CONTROL_CONNECTIONS", "ControlLink"]

CONTROL_CONNECTIONS = 2
"""Number of control connections that a proxy keeps to each database."""

_MAX_WAIT = datetime.timedelta(milliseconds=500)
"""Maximum time of one wait. The caller repeats it if necessary, so that a wait
that is no longer needed ends soon."""


class ControlLink:
    """Calls the group's stored procedures on one database."""

    __slots__ = ("_call_channel", "_owner", "_timeout", "_wait_channel")

    def __init__(
        self,
        database: sheet.Database,
        owner: types.ProxyName,
        settings: settings_lib.UpstreamSettings,
    ) -> None:
        self._owner = owner
        self._timeout = settings.probe_timeout
        self._call_channel = control_connection.ControlConnection(
            database, settings
        )
        self._wait_channel = control_connection.ControlConnection(
            database, settings
        )

    @property
    def database(self) -> sheet.Database:
        """The database that the connections lead to."""
        return self._call_channel.database

    def __repr__(self) -> str:
        return f"ControlLink({self.database.name!r})"

    async def status(self) -> group_procedures.StatusResult:
        """Returns the status of the database."""
        return await self._call_channel.call(
            lambda connection: group_procedures.read_status(
                connection, self._timeout
            ),
            self._timeout,
        )

    async def position(self) -> group_procedures.StatusResult:
        """Returns the status of a primary, over the connection for waits.

        On that connection the request doesn't queue behind a probe.
        """
        return await self._wait_channel.call(
            lambda connection: group_procedures.read_status(
                connection, self._timeout
            ),
            self._timeout,
        )

    async def wait(
        self, position: positions.Position
    ) -> group_procedures.StatusResult:
        """Waits until the database holds the position.

        Returns:
          The status of the database, also if the wait reached its time limit
          or the term changed, or a failure.
        """
        return await self._wait_channel.call(
            lambda connection: group_procedures.wait(
                connection, position, _MAX_WAIT
            ),
            self._timeout,
        )

    async def fence(self, term: types.Term) -> group_procedures.StatusResult:
        """Fences the database: it refuses all lower terms from then on."""
        return await self._call_channel.call(
            lambda connection: group_procedures.fence(
                connection, term, self._owner, self._timeout
            ),
            self._timeout,
        )

    async def promote(self, term: types.Term) -> group_procedures.StatusResult:
        """Promotes the database to the primary of the term."""
        return await self._call_channel.call(
            lambda connection: group_procedures.promote(
                connection, term, self._owner, self._timeout
            ),
            self._timeout,
        )

    async def follow(
        self, term: types.Term, primary: types.DatabaseName
    ) -> group_procedures.StatusResult:
        """Makes the database replicate from the primary of the term."""
        return await self._call_channel.call(
            lambda connection: group_procedures.follow(
                connection, term, primary, self._timeout
            ),
            self._timeout,
        )

    def close(self) -> None:
        """Closes both connections."""
        self._call_channel.close()
        self._wait_channel.close()
