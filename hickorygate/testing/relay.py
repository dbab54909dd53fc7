"""A TCP relay that injects network faults on demand."""

from __future__ import annotations

import asyncio
import collections
import datetime
import enum
import socket
import struct

from hickorygate.core import background

__all__ = ["FaultRelay", "Direction"]

_CHUNK_BYTES = 65_536
_BACKLOG = 256


_LINGER_NONE = struct.pack("ii", 1, 0)
"""SO_LINGER value: closing discards unsent data and resets the connection."""


class Direction(enum.Flag):
    """Directions of a connection, seen from the side that opened it."""

    THERE = enum.auto()
    BACK = enum.auto()
    BOTH = THERE | BACK


class _Stream:
    """The data in one direction of a connection, in order.

    Attributes:
      direction: direction of the stream.
      writer: writer to the receiver.
      delayed: chunks that wait for the delay to pass; an empty chunk stands
        for the end of the stream.
      held: chunks that wait for the cut to heal.
      reset: whether the sender has reset the connection; data in transit is
        then lost.
    """

    __slots__ = ("delayed", "direction", "held", "reset", "writer")

    def __init__(
        self, direction: Direction, writer: asyncio.StreamWriter
    ) -> None:
        self.direction = direction
        self.writer = writer
        self.delayed: collections.deque[bytes] = collections.deque()
        self.held: collections.deque[bytes] = collections.deque()
        self.reset = False

    def __repr__(self) -> str:
        return f"_Stream({self.direction}, held={len(self.held)})"


class _Link:
    """A relayed connection.

    Attributes:
      silent: whether all data is discarded.
      streams: streams of both directions.
    """

    __slots__ = ("silent", "streams")

    def __init__(self, *streams: _Stream) -> None:
        self.silent = False
        self.streams = streams

    def __repr__(self) -> str:
        return f"_Link({self.streams}, silent={self.silent})"

    def close(self) -> None:
        """Closes both ends."""
        for stream in self.streams:
            stream.writer.close()

    def abort(self) -> None:
        """Resets both ends."""
        for stream in self.streams:
            _reset(stream.writer)


class FaultRelay:
    """Listens on a port and relays connections to one address.

    Attributes:
      delay: delay that is added in each direction.
      reset_new_connections: whether new connections are reset.
    """

    def __init__(
        self,
        host: str,
        port: int,
        delay: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self.delay = delay
        self.reset_new_connections = False
        self._host = host
        self._port = port
        self._cut = Direction(0)
        self._links: set[_Link] = set()
        self._background = background.BackgroundTasks()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The TCP port that the relay listens on."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return (
            f"FaultRelay({self._host}:{self._port}, links={len(self._links)})"
        )

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._host, 0, backlog=_BACKLOG
        )

    async def stop(self) -> None:
        """Closes the listener and all connections, including silent ones."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            link.close()
        await self._background.close()

    def blackhole(self) -> None:
        """Discards all further data of the open connections; new ones work."""
        for link in self._links:
            link.silent = True

    def reset(self) -> None:
        """Resets the open connections; new ones work."""
        for link in tuple(self._links):
            link.abort()
            self._links.discard(link)

    def cut(self, ways: Direction) -> None:
        """Holds back all data in these directions until `heal`."""
        self._cut |= ways

    def heal(self) -> None:
        """Delivers the data that was held back and ends all cuts."""
        self._cut = Direction(0)
        for link in tuple(self._links):
            for stream in link.streams:
                while stream.held:
                    self._deliver(link, stream, stream.held.popleft())

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.reset_new_connections:
            _reset(writer)
            return
        self._background.start(self._serve(reader, writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection(self._host, self._port)
        except OSError:
            _reset(writer)
            return
        there = _Stream(Direction.THERE, target[1])
        back = _Stream(Direction.BACK, writer)
        link = _Link(there, back)
        self._links.add(link)
        self._background.start(self._pump(link, reader, there))
        self._background.start(self._pump(link, target[0], back))

    async def _pump(
        self, link: _Link, reader: asyncio.StreamReader, stream: _Stream
    ) -> None:
        data = b"-"
        while data:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                stream.reset = True
                data = b""  # A reset by one end also closes the other end.
            stream.delayed.append(data)
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.delay.total_seconds(), self._pass_next, link, stream
            )

    def _pass_next(self, link: _Link, stream: _Stream) -> None:
        """Delivers the next chunk, or holds it back during a cut."""
        data = stream.delayed.popleft()
        if stream.direction & self._cut:
            stream.held.append(data)
        else:
            self._deliver(link, stream, data)

    def _deliver(self, link: _Link, stream: _Stream, data: bytes) -> None:
        if link.silent:
            return
        if not data:
            link.close()
            self._links.discard(link)
        elif not (stream.reset or stream.writer.is_closing()):
            stream.writer.write(data)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    writer.transport.abort()
