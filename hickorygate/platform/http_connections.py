"""The HTTP connections to the platform, which are reused while they answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import select
import socket

import aiohttp
from aiohttp import connector as connectors

from hickorygate.platform import sockets

__all__ = ["HttpConnections", "UnaskedData"]

_KEEPALIVE_SECONDS = 15
"""Longest idle time of a connection that is reused. A connection that was idle
for longer may have been cut without notice."""

_READ_METHOD = "GET"
_REPLACEMENTS = 8
"""Number of unusable connections after which a call is given up. A server that
sends on each new connection at once must not keep the call busy."""


class UnaskedData(aiohttp.ClientError):
    """Raised before a request is sent on a connection that has data to read."""


class _CheckedRequest(aiohttp.ClientRequest):
    """A request that isn't sent on a connection with data to read.

    Such data answers an earlier request, for example a second time, and would
    be taken for the answer to this one.
    """

    async def send(self, conn: connectors.Connection) -> aiohttp.ClientResponse:
        """Sends the request.

        Raises:
          UnaskedData: the connection can't be used; nothing was sent.
        """
        protocol, transport = conn.protocol, conn.transport
        assert protocol is not None and transport is not None
        sock = transport.get_extra_info("socket")
        if protocol.should_close or _has_input(sock):
            raise UnaskedData
        return await super().send(conn)


class _ConnectionLost(aiohttp.ClientError):
    """Raised when the connection of a change was lost before its response."""


async def _send_change_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request; hides lost connections on which aiohttp repeats it.

    A repeated change could undo what others have done in between.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if request.method == _READ_METHOD:
            raise
        raise _ConnectionLost(str(error)) from error


async def _use_clean_connection(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request on the first connection that has no data to read."""
    for _ in range(_REPLACEMENTS):
        with contextlib.suppress(UnaskedData):  # The connection is closed.
            return await send(request)
    return await send(request)


def _has_input(sock: socket.socket) -> bool:
    """Returns whether data, or the end of the stream, waits to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _open_session(reuses: bool) -> aiohttp.ClientSession:
    """Returns a session with connections of its own.

    Args:
      reuses: whether a connection serves more than one call.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=_KEEPALIVE_SECONDS if reuses else None,
        force_close=not reuses,
        socket_factory=sockets.open_reset_on_close,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=_CheckedRequest,
        middlewares=(_send_change_once, _use_clean_connection),
    )


class _Generation:
    """Connections that were opened between two time-outs.

    Attributes:
      calls: number of calls in progress.
      retired: whether no further call may use the connections.
    """

    __slots__ = ("_sessions", "calls", "retired")

    def __init__(self) -> None:
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self.calls = 0
        self.retired = False

    def __repr__(self) -> str:
        return f"_Generation(calls={self.calls}, retired={self.retired})"

    def session(self, subject: str) -> aiohttp.ClientSession:
        """Returns the HTTP session of the calls on one subject."""
        if subject not in self._sessions:
            self._sessions[subject] = _open_session(bool(subject))
        return self._sessions[subject]

    async def close(self) -> None:
        """Closes the connections."""
        for session in tuple(self._sessions.values()):
            await session.close()


class HttpConnections:
    """Lends HTTP sessions to calls.

    All connections to one address can go silent together. So after a call
    timed out, later calls use none of the connections that existed by then.

    A response doesn't say which call it answers. So calls on different subjects
    share no connection, and a response that comes late or twice can't be taken
    for one on another subject.
    """

    __slots__ = ("_generations",)

    def __init__(self) -> None:
        self._generations: list[_Generation] = []

    def __repr__(self) -> str:
        return f"HttpConnections({self._generations!r})"

    @contextlib.asynccontextmanager
    async def session(
        self, subject: str
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Lends a session for one call; a `TimeoutError` retires it.

        Args:
          subject: what the call is about; empty for a call whose connection
            serves no other call.
        """
        generation = self._current()
        generation.calls += 1
        try:
            yield generation.session(subject)
        except TimeoutError:
            generation.retired = True
            raise
        finally:
            generation.calls -= 1
            if generation.retired and not generation.calls:
                await self._close(generation)

    async def close(self) -> None:
        """Closes all connections."""
        for generation in tuple(self._generations):
            await self._close(generation)

    def _current(self) -> _Generation:
        if not self._generations or self._generations[-1].retired:
            self._generations.append(_Generation())
        return self._generations[-1]

    async def _close(self, generation: _Generation) -> None:
        if generation in self._generations:
            self._generations.remove(generation)
        await generation.close()
