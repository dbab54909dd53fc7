"""A caller's connection to a proxy in the line protocol."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

__all__ = ["Answer", "Session", "SessionEnded", "UnaskedAnswer"]

_TIMEOUT_SECONDS = 3.0
"""Longest time that a caller waits for a connection or an answer."""

_LINE_END = b"\r\n"
_DECODE_ERRORS = "surrogateescape"
"""Decoding error handler; bytes that are not UTF-8 pass through unchanged."""

_request_ids = itertools.count(1)


class SessionEnded(Exception):
    """The connection broke or timed out.

    The outcome of the last request is unknown.
    """


class UnaskedAnswer(SessionEnded):
    """A message arrived while no request was outstanding."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer.

    Attributes:
      request: id of the request.
      rows: rows of the result.
      signature: signature of the database that ran the request; "-" for an
        answer of the proxy itself.
      code: error code; empty on success.
      state: session state: I (idle), T (in a transaction) or E (failed
        transaction).
    """

    request: str
    rows: tuple[str, ...]
    signature: str
    code: str
    state: str

    @property
    def succeeded(self) -> bool:
        """Whether the request succeeded."""
        return not self.code


class Session:
    """A connection that runs one request at a time.

    Attributes:
      values: session values that were acknowledged.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.values: dict[str, str] = {}
        self._reader = reader
        self._writer = writer

    def __repr__(self) -> str:
        return f"Session({self._writer.get_extra_info('sockname')})"

    @classmethod
    async def open(
        cls, host: str, port: int, database: str, user: str = "soak"
    ) -> tuple[Session, Answer]:
        """Connects and opens a session with a database name.

        Raises:
          SessionEnded: the proxy is unreachable or doesn't answer in time.
        """
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                streams = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise SessionEnded(str(error)) from None
        session = cls(*streams)
        return session, await session._send("", f"CONNECT {database} {user}")

    async def query(self, text: str, request: str = "") -> Answer:
        """Sends a statement and returns its answer.

        Args:
          text: text of the statement.
          request: request id; a new id if empty.

        Raises:
          SessionEnded: the connection ends before the answer is complete.
        """
        name = request or self.next_request()
        return await self._send(name, f"QUERY {name} {text}")

    async def set_value(self, name: str, value: str) -> Answer:
        """Sets a session value and keeps it if it was acknowledged.

        Raises:
          SessionEnded: the connection ends before the answer is complete.
        """
        answer = await self.query(f"SET {name} {value}")
        if answer.succeeded:
            self.values[name] = value
        return answer

    @staticmethod
    def next_request() -> str:
        """Returns a request id that is unique in this process."""
        return f"{next(_request_ids):x}"

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _send(self, request: str, line: str) -> Answer:
        try:
            await self._check_quiet()
            if self._writer.is_closing():  # Writing would be an error.
                raise SessionEnded("closed while idle")
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                data = line.encode(errors=_DECODE_ERRORS) + _LINE_END
                self._writer.write(data)
                return await self._receive(request)
        except (OSError, TimeoutError) as error:
            self._writer.transport.abort()
            raise SessionEnded(str(error)) from None

    async def _check_quiet(self) -> None:
        """Checks that nothing was received since the last answer.

        Raises:
          UnaskedAnswer: a message was received. An error isn't one: a proxy
            that closes an idle session may send it.
        """
        try:
            async with asyncio.timeout(0):
                line = await self._receive_line()
        except TimeoutError:
            return
        if not line or line.startswith("ERROR "):
            raise SessionEnded(line or "closed while idle")
        raise UnaskedAnswer(line)

    async def _receive_line(self) -> str:
        """Returns the next line; an empty one at the end of the connection."""
        try:
            data = await self._reader.readuntil(_LINE_END)
        except asyncio.IncompleteReadError:
            return ""
        return data.removesuffix(_LINE_END).decode(errors=_DECODE_ERRORS)

    async def _receive(self, request: str) -> Answer:
        rows: list[str] = []
        proof = code = ""
        while True:
            line = await self._receive_line()
            word, _, arguments = line.partition(" ")
            match word:
                case "ROW":
                    rows.append(arguments)
                case "COMPLETE":
                    proof = arguments
                case "ERROR":
                    code = arguments.split(" ")[0]
                case "READY":
                    state = arguments.split(" ")[0]
                    return Answer(request, tuple(rows), proof, code, state)
                case "" if code:
                    # No READY line follows an error that ends the session.
                    return Answer(request, (), "", code, "")
                case _:
                    raise ConnectionError(f"unexpected {line!r}")
