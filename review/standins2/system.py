"""A small deployment on loopback addresses: proxies as separate processes.

Databases, store and promotion call are the project's own stand-ins. A database
that restarts resumes replication, as the users' protocol says of `PAUSE`.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
from typing import Any

from hickorygate.testing import line_group
from hickorygate.testing import line_log
from hickorygate.testing import object_store
from hickorygate.testing import relay as relays

__all__ = ["Client", "Group", "Proxy", "Record", "Run", "System", "free_ports"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""Root of the repository, where the proxies are started."""

HEARTBEAT_SECONDS = 1.2
"""Interval at which a database writes its entry."""

_MISSED_HEARTBEATS = 3
"""Number of intervals of silence after which an entry is removed."""

_READY_TIMEOUT_SECONDS = 20

_PORTS = (20_000, 30_000)
_given_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns TCP ports of 127.0.0.1 that are free now.

    They lie below the ports that the kernel gives to outgoing connections and
    to listeners on port 0, so no relay takes one before its process starts.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*_PORTS)
        if port in _given_ports or not _is_free(port):
            continue
        _given_ports.add(port)
        found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Record:
    """Writes what happened to a file, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        elapsed = time.monotonic() - self._began
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a database ran.

    Attributes:
      at: time on the monotonic clock, in seconds.
      database: name of the database.
      request: id that the caller assigned.
      text: text of the request.
    """

    at: float
    database: str
    request: str
    text: str


class Group(line_group.LineGroup):
    """A group whose databases can be restarted.

    Attributes:
      births: number of the current process of each database.
      runs: requests of callers that databases ran, in their order.
    """

    def __init__(self, service: str, promotion_delay_seconds: float) -> None:
        super().__init__(
            service,
            names=["db-a", "db-b", "db-c"],
            lag=datetime.timedelta(milliseconds=60),
            promotion_delay=datetime.timedelta(seconds=promotion_delay_seconds),
            demotion_delay=datetime.timedelta(seconds=1),
        )
        self.births = collections.Counter(list(self.databases))
        self.runs: list[Run] = []
        for database in self.databases.values():
            self._watch(database)

    async def replace(self, name: str, successor: str) -> None:
        """Replaces a database by a new one with the same address and log."""
        await super().replace(name, successor)
        self.births[successor] += 1
        self._watch(self.databases[successor])

    async def add(self, name: str) -> line_group.LineDatabase:
        """Starts a new replica with the log that the primary has now."""
        primary = self.primary
        database = line_group.LineDatabase(name, self, line_log.Role.REPLICA)
        database.log.commits = list(primary.log.commits)
        database.log.term = primary.log.term
        database.log.apply()
        await database.start()
        self.births[name] += 1
        self._watch(database)
        self.databases[name] = database
        return database

    def leave(self, name: str) -> None:
        """Ends a database; its log is gone with it."""
        self.databases.pop(name).crash()

    def _watch(self, database: line_group.LineDatabase) -> None:
        """Notes when the database runs a request of a caller."""
        record_run = database.record_run

        def note(request: str, text: str, values: dict[str, str]) -> None:
            self.runs.append(
                Run(time.monotonic(), database.name, request, text)
            )
            record_run(request, text, values)

        database.record_run = note  # type: ignore[method-assign]

    async def restart(self, name: str, keeps_log: bool) -> None:
        """Starts a database that has crashed.

        Args:
          name: name of the database.
          keeps_log: whether it still has its log. Otherwise it starts again
            under its id and knows nothing of before.
        """
        database = self.databases[name]
        database.log.paused_for = 0
        if not keeps_log:
            database.log = line_log.LineLog(name, line_log.Role.REPLICA)
        self.births[name] += 1
        await database.start()


class Proxy:
    """One proxy process, with a relay to each database.

    Attributes:
      name: name of its instance.
      front: port that callers connect to.
      databases: relay to each database, by the port of the database.
      store_port: port at which it reaches the store and the promotion call.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.front, self.ready, self.metrics = free_ports(3)
        self.databases: dict[int, relays.FaultRelay] = {}
        self.store_port = 0
        self._zone = zone
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, store_port: int, ports: list[int]) -> None:
        """Starts the relays and the process."""
        self.store_port = store_port
        for port in ports:
            await self.reach(port)
        self._write_settings(first_start=True)
        await self.launch()

    def _write_settings(self, first_start: bool) -> None:
        settings = {
            "node_name": self.name,
            "zone": self._zone,
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "platform.address": f"127.0.0.1:{self.store_port}",
            "cloud_api.address": f"127.0.0.1:{self.store_port}",
            "bootstrap": "true" if first_start else "false",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "3000",
            "limits.memory_mb": "430",
            "limits.max_fds": "6300",
        }
        lines = [f"{key}={value}\n" for key, value in settings.items()]
        self._path("conf").write_text("".join(lines))

    def _path(self, ending: str) -> pathlib.Path:
        return self._folder / f"{self.name}.{ending}"

    async def restart(self) -> None:
        """Starts a new process after the former one was killed."""
        self._write_settings(first_start=False)
        await self.launch()

    async def launch(self) -> None:
        """Starts a process with the settings file as it is."""
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hickorygate.platform",
                f"--metrics_port={self.metrics}",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "HICKORYGATE_CONFIG": str(self._path("conf")),
                },
                stdout=log,
                stderr=log,
            )

    async def reach(self, port: int) -> None:
        """Starts the relay to a database."""
        relay = relays.FaultRelay("127.0.0.1", port)
        await relay.start()
        self.databases[port] = relay

    async def kill(self) -> None:
        """Kills the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def is_ready(self) -> bool:
        """Returns whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def close(self) -> None:
        """Kills the process and stops the relays."""
        await self.kill()
        for relay in self.databases.values():
            await relay.stop()

    def events(self) -> list[dict[str, Any]]:
        """Returns the events that the process logged so far."""
        found = []
        path = self._folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [event for event in found if isinstance(event, dict)]


class System:
    """Proxies, one group of three databases, the store.

    Attributes:
      group: the databases.
      store: the store, which also takes promotion orders.
      proxies: the proxy processes.
      unlisted: databases that can't reach the store, which removes their
        entries.
    """

    def __init__(
        self, folder: pathlib.Path, proxies: int, promotion_seconds: float
    ) -> None:
        self.group = Group("ledger", promotion_seconds)
        self.store = object_store.ObjectStore()
        self.proxies = [
            Proxy(f"front-{n + 1}", f"zone-{n % 3}", folder)
            for n in range(proxies)
        ]
        self.unlisted: set[str] = set()
        self._by_port: dict[int, Proxy] = {}
        self._heard: dict[str, float] = {}
        self._sequence = 0
        self._last: dict[str, dict[str, Any]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts everything and waits until all proxies are ready."""
        await self.group.start()
        await self.store.start()
        self.store.promote = lambda service, name: self.group.promote(name)
        self.store.content_view = self._view
        self._task = asyncio.create_task(self._report())
        self.store.put("config", "main", _configuration())
        ports = [d.port for d in self.group.databases.values()]
        for proxy in self.proxies:
            port = await self.store.listen()
            self._by_port[port] = proxy
            await proxy.start(port, ports)
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            for proxy in self.proxies:
                while not await proxy.is_ready():
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends everything."""
        if self._task is not None:
            self._task.cancel()
        for proxy in self.proxies:
            await proxy.close()
        await self.store.close()
        await self.group.close()

    async def add_database(self, name: str) -> None:
        """Starts a new replica that all proxies can reach."""
        database = await self.group.add(name)
        for proxy in self.proxies:
            await proxy.reach(database.port)
        self.report_now()

    def report_now(self) -> None:
        """Lets the databases write their entries at once."""
        self._report_once(asyncio.get_running_loop().time())

    def withdraw(self, name: str) -> None:
        """Removes the entry of a database that has left."""
        if self._last.pop(name, None) is not None:
            self.store.remove("servers", name)

    def _view(self, port: int, kind: str, stored: dict[str, Any]) -> Any:
        """Returns an object as a proxy sees it, with its relays' addresses."""
        proxy = self._by_port.get(port)
        spec = stored["spec"]
        if kind != "servers" or proxy is None or not isinstance(spec, dict):
            return spec
        own = int(spec["address"].rpartition(":")[2])
        return {**spec, "address": f"127.0.0.1:{proxy.databases[own].port}"}

    async def _report(self) -> None:
        while True:
            self._report_once(asyncio.get_running_loop().time())
            await asyncio.sleep(0.05)

    def _report_once(self, now: float) -> None:
        for name, database in self.group.databases.items():
            if not database.running or name in self.unlisted:
                continue
            content = self._content(name, database)
            changed = self._last.get(name) != content
            if changed or now - self._heard[name] >= HEARTBEAT_SECONDS:
                self._heard[name] = now
                self._last[name] = content
                self._sequence += 1
                entry = {**content, "seq_no": self._sequence}
                self.store.put("servers", name, entry)
        limit = _MISSED_HEARTBEATS * HEARTBEAT_SECONDS
        for name in [n for n in self._last if now - self._heard[n] > limit]:
            del self._last[name]
            self.store.remove("servers", name)

    def _content(
        self, name: str, database: line_group.LineDatabase
    ) -> dict[str, Any]:
        return {
            "service": self.group.service,
            "address": f"127.0.0.1:{database.port}",
            "zone": "zone-0",
            "version": "v1",
            "slots": 3,
            "state": "draining" if database.leaving else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if database.log.leads else "replica",
            "born": 1_700_000_000_000 + self.group.births[name],
        }


def _configuration() -> dict[str, Any]:
    kinds = {
        "strong": "primary",
        "bounded": "bounded_staleness",
        "own": "read_your_writes",
    }
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "path_prefix": "/",
            "type": kind,
            "timeout_ms": 1_000,
            "latency_goal_ms": 400,
            "priority": number,
            "service": "ledger",
            "max_attempts": 2,
            "max_staleness_ms": 1_500,
        }
        for number, (host, kind) in enumerate(kinds.items())
    ]
    service = {"name": "ledger", "max_conns": 30, "sync_replicas": 1}
    limits = {"tx_idle_ms": 3_000, "idle_timeout_ms": 15_000}
    return {
        "version": 7,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }


class Client:
    """A caller's session; it sends one message at a time.

    A message is the word, the fields and CR LF. It's written in one piece.
    """

    def __init__(
        self, record: Record, name: str, recorded: bool = True
    ) -> None:
        """Creates a client.

        Args:
          record: where to write what is sent and answered.
          name: name of the client in the record.
          recorded: whether to write that at all.
        """
        self._record = record
        self._name = name
        self._recorded = recorded
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int, database: str) -> bool:
        """Opens a session; returns whether it was accepted."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        self._writer.write(f"CONNECT {database} user\r\n".encode())
        lines = await self._read_until_ready()
        return bool(lines) and lines[-1].startswith("READY I")

    async def query(self, request: str, text: str) -> list[str]:
        """Sends one message and returns the lines up to READY."""
        assert self._writer is not None, "connect first"
        self._note(f"sends {request} {text!r}")
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = await self._read_until_ready()
        self._note(f"gets {request} {lines}")
        return lines

    async def unasked_lines(self, seconds: float) -> list[str]:
        """Returns the lines that arrive while no request is outstanding."""
        found = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while line := await self._read_line():
                    found.append(line)
                    self._note(f"gets unasked {line!r}")
        return found

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _read_until_ready(self) -> list[str]:
        found: list[str] = []
        while line := await self._read_line():
            found.append(line)
            if line.startswith("READY"):
                break
        return found

    async def _read_line(self) -> str:
        """Returns the next line without CR LF; empty at the end."""
        assert self._reader is not None, "connect first"
        try:
            line = await self._reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return ""
        return line[:-2].decode()

    def _note(self, text: str) -> None:
        if self._recorded:
            self._record.write(f"client {self._name} {text}")
