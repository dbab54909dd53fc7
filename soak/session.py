"""One caller's connection to a proxy, in the line protocol."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

__all__ = ["Answer", "Session", "SessionEnded"]

_LIMIT_SECONDS = 3.0
"""A caller waits no longer for an answer."""

_numbers = itertools.count(1)


class SessionEnded(Exception):
    """The connection broke or stayed silent; what was sent is in doubt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
      request: the id that was asked under.
      rows: what came.
      proof: the database's signature; "-" from the proxy itself.
      code: of the failure; empty on success.
      state: of the session: I, T or E.
    """

    request: str
    rows: tuple[str, ...]
    proof: str
    code: str
    state: str

    @property
    def done(self) -> bool:
        """Whether it succeeded."""
        return not self.code


class Session:
    """A connection with one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def __repr__(self) -> str:
        return f"Session({self._writer.get_extra_info('sockname')})"

    @classmethod
    async def open(
        cls, host: str, port: int, database: str
    ) -> tuple[Session, Answer]:
        """Connects and opens a session with a database name.

        Raises:
          SessionEnded: the proxy can't be reached or doesn't answer.
        """
        try:
            async with asyncio.timeout(_LIMIT_SECONDS):
                streams = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise SessionEnded(str(error)) from None
        session = cls(*streams)
        return session, await session._ask("", f"CONNECT {database} soak")

    async def query(self, text: str, request: str = "") -> Answer:
        """Sends a statement, under a fresh id unless one is given.

        Raises:
          SessionEnded: there is no whole answer.
        """
        name = request or self.next_request()
        return await self._ask(name, f"QUERY {name} {text}")

    @staticmethod
    def next_request() -> str:
        """Returns an id that was never used."""
        return f"{next(_numbers):x}"

    def close(self) -> None:
        """Hangs up."""
        self._writer.close()

    async def _ask(self, request: str, line: str) -> Answer:
        if self._writer.is_closing():
            raise SessionEnded("closed while idle")
        try:
            async with asyncio.timeout(_LIMIT_SECONDS):
                self._writer.write(line.encode() + b"\r\n")
                return await self._receive(request)
        except (OSError, TimeoutError) as error:
            self._writer.transport.abort()
            raise SessionEnded(str(error)) from None

    async def _receive(self, request: str) -> Answer:
        rows: list[str] = []
        proof = code = ""
        while True:
            line = (await self._reader.readline()).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            match word:
                case "ROW":
                    rows.append(rest)
                case "COMPLETE":
                    proof = rest
                case "ERROR":
                    code = rest.split(" ")[0]
                case "READY":
                    state = rest.split(" ")[0]
                    return Answer(request, tuple(rows), proof, code, state)
                case "" if code:
                    # An error that ends the session has no READY.
                    return Answer(request, (), "", code, "")
                case _:
                    raise ConnectionError(f"unexpected {line!r}")
