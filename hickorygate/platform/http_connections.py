"""The HTTP connections to the platform, which are reused while they answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from hickorygate.platform import sockets

__all__ = ["HttpConnections"]

_KEEPALIVE_SECONDS = 15
"""Longest idle time of a connection that is reused. A connection that was idle
for longer may have been cut without notice."""


class _Generation:
    """Connections that were opened between two time-outs.

    Attributes:
      session: HTTP session with these connections.
      calls: number of calls in progress.
      retired: whether no further call may use the connections.
    """

    __slots__ = ("calls", "retired", "session")

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=_KEEPALIVE_SECONDS,
            socket_factory=sockets.open_reset_on_close,
        )
        self.session = aiohttp.ClientSession(connector=connector)
        self.calls = 0
        self.retired = False

    def __repr__(self) -> str:
        return f"_Generation(calls={self.calls}, retired={self.retired})"


class HttpConnections:
    """Lends HTTP sessions to calls.

    All connections to one address can go silent together. So after a call
    timed out, later calls use none of the connections that existed by then.
    """

    __slots__ = ("_generations",)

    def __init__(self) -> None:
        self._generations: list[_Generation] = []

    def __repr__(self) -> str:
        return f"HttpConnections({self._generations!r})"

    @contextlib.asynccontextmanager
    async def session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Lends a session for one call; a `TimeoutError` retires it."""
        generation = self._current()
        generation.calls += 1
        try:
            yield generation.session
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
        await generation.session.close()
