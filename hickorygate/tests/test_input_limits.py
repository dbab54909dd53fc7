"""Tests what misbehaving callers can do to a proxy process.

Each test starts the real process with low limits, lets a crowd of callers
misbehave, and checks that the process lives, that its peak memory and its
open descriptors stay within the limits of its settings file, and that an
ordinary request of another caller is answered afterwards. The crowd stays
connected until then. No test checks a time or a share of served requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import os
import pathlib
import resource
import socket
import struct
import tempfile
from typing import Any
import unittest

from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import object_store
from soak import proxy as proxies

_MEMORY_MB = 160
"""`limits.memory_mb` of the process, and the bound of its peak memory."""

_MAX_FDS = 400
"""`limits.max_fds` of the process, and the bound of its descriptors."""

_KIB = 1_024
_MIB = 1_048_576
_MESSAGE = 1_048_000
"""Size of the bulk of a legal message of nearly 1 MiB."""

_QUIET_SECONDS = 2.0
"""Time without a byte sent or received after which a crowd counts as stuck."""

_CROWD_SECONDS = 40.0
"""Longest time that a crowd goes on before the ordinary request is sent."""

_HANG_SECONDS = 240.0
"""Time after which a test reports a process that hangs."""

_WINDOW = 4_096
"""Receive buffer, in bytes, of callers that don't read their answers."""

_BIG_ITEM = "big"
_RESET = struct.pack("ii", 1, 0)
_DATABASE = "db"


def _configuration() -> dict[str, object]:
    route = {
        "name": "r-db",
        "host": _DATABASE,
        "type": "primary",
        "timeout_ms": 3_000,
        "latency_goal_ms": 500,
        "priority": 0,
        "service": "ledger",
    }
    service = {"name": "ledger", "max_conns": 20, "sync_replicas": 1}
    return {"version": 3, "routes": [route], "services": [service]}


class _Crowd:
    """Callers that misbehave, each on a socket of its own.

    Attributes:
      moved: number of bytes that the callers have sent and received.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.moved = 0
        self._address = address
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def connect(self, window: int | None = None) -> socket.socket:
        """Opens a connection that stays open until `close`.

        Args:
          window: size of the kernel's receive buffer in bytes; None for the
            default, which takes several megabytes of answers.
        """
        sock = socket.socket()
        if window is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setblocking(False)
        self._sockets.append(sock)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self._address)
        return sock

    async def open_session(self, window: int | None = None) -> socket.socket:
        """Opens a connection and sends CONNECT, without reading."""
        sock = await self.connect(window)
        await self.send(sock, f"CONNECT {_DATABASE} x\r\n".encode())
        return sock

    async def send(self, sock: socket.socket, data: bytes) -> None:
        """Sends data; it waits while the process doesn't read."""
        loop = asyncio.get_running_loop()
        for start in range(0, len(data), 64 * _KIB):
            piece = memoryview(data)[start : start + 64 * _KIB]
            await loop.sock_sendall(sock, piece)
            self.moved += len(piece)

    async def receive(self, sock: socket.socket, size: int) -> bytes:
        """Receives up to `size` bytes; empty at the end."""
        data = await asyncio.get_running_loop().sock_recv(sock, size)
        self.moved += len(data)
        return data

    async def discard_all(self, sock: socket.socket) -> None:
        """Receives and discards everything until the end."""
        while await self.receive(sock, 256 * _KIB):
            pass

    def start(self, *callers: Coroutine[Any, Any, None]) -> None:
        """Starts callers; the loss of a connection ends one."""
        self._tasks += [asyncio.create_task(_ignore_loss(c)) for c in callers]

    async def settle(self) -> None:
        """Waits until all callers have ended or none makes progress."""
        loop = asyncio.get_running_loop()
        started = changed = loop.time()
        known = -1
        while loop.time() - started < _CROWD_SECONDS:
            if all(task.done() for task in self._tasks):
                return
            if self.moved != known:
                known, changed = self.moved, loop.time()
            elif loop.time() - changed >= _QUIET_SECONDS:
                return
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all callers and closes their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()


async def _ignore_loss(caller: Coroutine[Any, Any, None]) -> None:
    with contextlib.suppress(OSError):
        await caller


def _query(number: int, text: str) -> bytes:
    return f"QUERY q{number} {text}\r\n".encode()


def _long_read(number: int) -> bytes:
    """Returns a legal read of nearly 1 MiB.

    One character outside the basic plane makes a decoded text of four bytes a
    character.
    """
    wide = "\U0001f40c" if number % 2 else ""
    return _query(number, f"READ {wide}{'i' * _MESSAGE}")


class InputLimitsTest(unittest.IsolatedAsyncioTestCase):
    """One process, one group of databases, one crowd a test."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.group = line_group.LineGroup()
        await self.group.start()
        self.addAsyncCleanup(self.group.close)
        self.store = object_store.ObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        for database in self.group.databases.values():
            self.store.put("servers", database.name, _entry(database))
        self.store.put("config", "main", _configuration())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.proxy = proxies.Proxy(0, pathlib.Path(folder.name))
        limits = {
            "limits.memory_mb": str(_MEMORY_MB),
            "limits.max_fds": str(_MAX_FDS),
        }
        await self.proxy.prepare(self.store.port, [], "a", limits)
        self.addAsyncCleanup(self.proxy.close)
        await self.proxy.start()
        self.most_descriptors = 0
        watching = asyncio.create_task(self.watch())
        self.addCleanup(watching.cancel)
        self.crowd = _Crowd(self.proxy.front)
        self.addAsyncCleanup(self.crowd.close)
        await self.serve_ordinary_request(f"WRITE {_BIG_ITEM} start")

    async def watch(self) -> None:
        """Counts descriptors and forgets what the stand-ins recorded."""
        while True:
            if self.proxy.running:
                self.most_descriptors = max(
                    self.most_descriptors, self.descriptors()
                )
            for database in self.group.databases.values():
                database.ran.clear()
                database.values_of_runs.clear()
            await asyncio.sleep(0.05)

    def descriptors(self) -> int:
        """Returns the number of open descriptors of the process."""
        try:
            return len(os.listdir(f"/proc/{self.proxy.pid}/fd"))
        except OSError:
            return 0

    def peak_memory_mb(self) -> float:
        """Returns the peak resident set of the process in MB."""
        status = pathlib.Path(f"/proc/{self.proxy.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * _KIB / 1e6

    async def serve_ordinary_request(self, text: str) -> None:
        """Sends a request until it is answered; a refusal is sent again."""
        try:
            async with asyncio.timeout(_HANG_SECONDS):
                while not await self.try_request(text):
                    self.assertTrue(self.proxy.running, "the process ended")
                    await asyncio.sleep(0.2)
        except TimeoutError:
            self.fail("the process hangs: no ordinary request was answered")

    async def try_request(self, text: str) -> bool:
        """Sends a request on a new connection; returns whether it was run."""
        try:
            streams = await asyncio.open_connection(
                *self.proxy.front, limit=4 * _MIB
            )
        except OSError:
            return False
        client = line_cluster.LineClient(*streams)
        try:
            greeting = await client.send(f"CONNECT {_DATABASE} x")
            if greeting != ["READY I -"]:
                return False
            answer = await client.query(text)
        except OSError:
            return False
        finally:
            client.close()
        return len(answer) > 1 and not answer[0].startswith("ERROR")

    async def check(self) -> None:
        """Waits for the crowd, then checks the process and its limits."""
        await self.crowd.settle()
        self.assertTrue(self.proxy.running, "the process ended")
        await self.serve_ordinary_request("READ small")
        self.assertTrue(self.proxy.running, "the process ended")
        peak = self.peak_memory_mb()
        print(
            f"{self.id()}: peak {peak:.0f} MB, "
            f"{self.most_descriptors} descriptors"
        )
        self.assertLessEqual(peak, _MEMORY_MB)
        self.assertLessEqual(self.most_descriptors, _MAX_FDS)

    def crowd_of(
        self, size: int, caller: Callable[[int], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a number of callers that do the same."""
        self.crowd.start(*(caller(number) for number in range(size)))

    async def test_large_messages_in_one_piece(self) -> None:
        """Guards against memory for all messages that arrive at once."""

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            self.crowd.start(self.crowd.discard_all(sock))
            for index in range(4):
                await self.crowd.send(sock, _long_read(number + index))

        self.crowd_of(60, caller)
        await self.check()

    async def test_large_messages_in_small_pieces(self) -> None:
        """Guards against copying a message once for each of its pieces."""

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            self.crowd.start(self.crowd.discard_all(sock))
            message = _long_read(number)
            for start in range(0, len(message), 2_000):
                await self.crowd.send(sock, message[start : start + 2_000])
                await asyncio.sleep(0)

        self.crowd_of(60, caller)
        await self.check()

    async def test_messages_far_over_the_limit(self) -> None:
        """Guards against keeping a message of any size."""
        filler = b"x" * _MIB

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            await self.crowd.send(sock, b"QUERY q READ ")
            for _ in range(64):
                await self.crowd.send(sock, filler)
            await self.crowd.send(sock, b"\r\n")

        self.crowd_of(40, caller)
        await self.check()

    async def test_large_messages_pipelined_without_reading(self) -> None:
        """Guards against queueing messages without a limit of their size."""

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            for index in range(40):
                await self.crowd.send(sock, _long_read(index))

        self.crowd_of(20, caller)
        await self.check()

    async def test_small_messages_pipelined_without_reading(self) -> None:
        """Guards against decoded messages that take more than their bytes."""
        await self.serve_ordinary_request(
            f"WRITE {_BIG_ITEM} {'v' * 100 * _KIB}"
        )
        requests = b"".join(
            _query(number, f"READ {_BIG_ITEM}") for number in range(50_000)
        )

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session(_WINDOW)
            await self.crowd.send(sock, requests)

        self.crowd_of(60, caller)
        await self.check()

    async def test_slow_senders(self) -> None:
        """Guards against incomplete messages that grow without a limit."""
        message = _long_read(0)

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            await self.crowd.send(sock, message[: 900 * _KIB])
            for _ in range(200):
                await self.crowd.send(sock, b"i")
                await asyncio.sleep(0.1)

        self.crowd_of(140, caller)
        await self.check()

    async def test_slow_readers(self) -> None:
        """Guards against answers that wait for callers without a limit."""
        await self.serve_ordinary_request(
            f"WRITE {_BIG_ITEM} {'v' * 900 * _KIB}"
        )

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session(_WINDOW)
            for index in range(8):
                await self.crowd.send(sock, _query(index, f"READ {_BIG_ITEM}"))
            for _ in range(200):
                await self.crowd.receive(sock, 1_000)
                await asyncio.sleep(0.1)

        self.crowd_of(140, caller)
        await self.check()

    async def test_senders_that_stop_half_way(self) -> None:
        """Guards against keeping incomplete messages for ever."""
        message = _long_read(1)

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            await self.crowd.send(sock, message[: 1_000 * _KIB])

        self.crowd_of(140, caller)
        await self.check()

    # Guards against lines without CR LF that are kept for ever.
    async def test_senders_that_end_their_lines_with_lf_alone(self) -> None:
        lines = b"QUERY q READ small\n" * 3_000

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            self.crowd.start(self.crowd.discard_all(sock))
            for _ in range(30):
                await self.crowd.send(sock, lines)

        self.crowd_of(140, caller)
        await self.check()

    async def test_idle_connections_without_a_session(self) -> None:
        """Guards against connections that use up all descriptors."""

        async def caller(number: int) -> None:
            await self.crowd.connect()

        self.crowd_of(700, caller)
        await self.check()

    async def test_idle_connections_to_the_readiness_check(self) -> None:
        """Guards against HTTP connections that use up all descriptors."""
        crowd = _Crowd(self.proxy.readiness)
        self.addAsyncCleanup(crowd.close)
        header = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nX: "

        async def caller(number: int) -> None:
            sock = await crowd.connect()
            await crowd.send(sock, header + b"y" * 4_000)

        crowd.start(*(caller(number) for number in range(700)))
        await crowd.settle()
        await self.check()

    async def test_many_session_values(self) -> None:
        """Guards against session values without a limit."""

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            self.crowd.start(self.crowd.discard_all(sock))
            for index in range(1_000):
                text = f"SET name{index} {'v' * 32 * _KIB}"
                await self.crowd.send(sock, _query(index, text))

        self.crowd_of(8, caller)
        await self.check()

    async def test_many_prepared_statements(self) -> None:
        """Guards against prepared statements without a limit."""

        async def caller(number: int) -> None:
            sock = await self.crowd.open_session()
            self.crowd.start(self.crowd.discard_all(sock))
            for index in range(1_000):
                text = f"PREPARE name{index} READ READ {'v' * 32 * _KIB}"
                await self.crowd.send(sock, _query(index, text))

        self.crowd_of(8, caller)
        await self.check()

    async def test_connections_that_are_reset(self) -> None:
        """Guards against a reset in the middle of a message or an answer."""
        message = _long_read(1)

        async def caller(number: int) -> None:
            for _ in range(10):
                sock = await self.crowd.open_session()
                await self.crowd.send(sock, _query(1, f"READ {_BIG_ITEM}"))
                await self.crowd.send(sock, message[: number * 5_000])
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.close()

        self.crowd_of(60, caller)
        await self.check()

    async def test_no_descriptor_is_left(self) -> None:
        """Guards against a listener that spins or stops without descriptors.

        The system's limit is lower here than the one in the settings file.
        """
        assert self.proxy.pid is not None, "setUp starts the process"
        limit = self.descriptors() + 20
        resource.prlimit(self.proxy.pid, resource.RLIMIT_NOFILE, (limit, limit))

        async def caller(number: int) -> None:
            await self.crowd.connect()

        self.crowd_of(100, caller)
        await self.check()


def _entry(database: line_group.LineDatabase) -> dict[str, object]:
    member = database.member()
    return {
        "service": "ledger",
        "address": f"{member.host}:{member.port}",
        "zone": "a",
        "slots": 2,
        "state": "ready",
        "db_role": "primary" if member.leads else "replica",
        "born": 1,
    }


if __name__ == "__main__":
    unittest.main()
