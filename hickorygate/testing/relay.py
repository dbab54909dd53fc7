"""A relay between two ends of TCP that can lose track of connections."""

from __future__ import annotations

import asyncio
import datetime

__all__ = ["Relay"]

_CHUNK_BYTES = 65_536


class _Link:
    """One relayed connection."""

    __slots__ = ("silent", "writers")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.silent = False
        self.writers = writers

    def __repr__(self) -> str:
        return f"_Link(silent={self.silent})"

    def close(self) -> None:
        """Closes both ends."""
        for writer in self.writers:
            writer.close()


class Relay:
    """Listens and passes bytes on to one address."""

    __slots__ = ("_delay", "_host", "_links", "_port", "_server", "_tasks")

    def __init__(
        self,
        host: str,
        port: int,
        delay: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._host = host
        self._port = port
        self._delay = delay
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return f"Relay({self._host}:{self._port}, links={len(self._links)})"

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)

    async def stop(self) -> None:
        """Ends all connections, silent ones too."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Loses track of the connections that are open; new ones work."""
        for link in self._links:
            link.silent = True

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._spawn(self._serve(reader, writer))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.close()
            return
        link = _Link(writer, far[1])
        self._links.add(link)
        self._spawn(self._pump(link, reader, far[1]))
        self._spawn(self._pump(link, far[0], writer))

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(_CHUNK_BYTES):
                loop.call_later(
                    self._delay.total_seconds(), self._pass, link, writer, data
                )
        except OSError:
            pass
        if not link.silent:
            loop.call_later(self._delay.total_seconds(), self._end, link)

    def _pass(
        self, link: _Link, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        if not link.silent and not writer.is_closing():
            writer.write(data)

    def _end(self, link: _Link) -> None:
        if not link.silent:
            link.close()
            self._links.discard(link)
