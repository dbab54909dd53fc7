"""The control connections to one database: one for calls, one for waits.

A wait holds its connection until the position is there, so it has one of its
own; status probes and changes of primary never queue behind it.
"""

from __future__ import annotations

import datetime

from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import channel as channels
from hickorygate.upstreams import control

__all__ = ["CONNECTIONS", "ControlLink"]

CONNECTIONS = 2
"""Control connections that a proxy holds to each database."""

_LONGEST_WAIT = datetime.timedelta(milliseconds=500)
"""A wait is asked for again after this, so that it can't outlive its use."""


class ControlLink:
    """Calls one database's group procedures."""

    __slots__ = ("_calls", "_owner", "_timeout", "_waits")

    def __init__(
        self,
        database: sheets.Database,
        owner: types.ProxyName,
        settings: settings_lib.UpstreamSettings,
    ) -> None:
        self._owner = owner
        self._timeout = settings.probe_timeout
        self._calls = channels.Channel(database, settings)
        self._waits = channels.Channel(database, settings)

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._calls.database

    def __repr__(self) -> str:
        return f"ControlLink({self.database.name!r})"

    async def status(self) -> control.StatusResult:
        """Asks for the status."""
        return await self._calls.call(
            lambda link: control.read_status(link, self._timeout),
            self._timeout,
        )

    async def position(self) -> control.StatusResult:
        """Asks a primary for its status; never behind a probe."""
        return await self._waits.call(
            lambda link: control.read_status(link, self._timeout),
            self._timeout,
        )

    async def wait(self, position: positions.Position) -> control.StatusResult:
        """Waits a while until the database holds the position."""
        return await self._waits.call(
            lambda link: control.wait(link, position, _LONGEST_WAIT),
            self._timeout,
        )

    async def fence(self, term: types.Term) -> control.StatusResult:
        """Makes the database refuse all lower terms."""
        return await self._calls.call(
            lambda link: control.fence(link, term, self._owner, self._timeout),
            self._timeout,
        )

    async def promote(self, term: types.Term) -> control.StatusResult:
        """Makes the database the primary of the term."""
        return await self._calls.call(
            lambda link: control.promote(
                link, term, self._owner, self._timeout
            ),
            self._timeout,
        )

    async def follow(
        self, term: types.Term, primary: types.DatabaseName
    ) -> control.StatusResult:
        """Points the database at the primary of the term."""
        return await self._calls.call(
            lambda link: control.follow(link, term, primary, self._timeout),
            self._timeout,
        )

    def close(self) -> None:
        """Closes both connections."""
        self._calls.close()
        self._waits.close()
