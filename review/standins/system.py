"""Starts the platform's store, the databases and the proxies of a script."""

from __future__ import annotations

import asyncio
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

from hickorygate.testing import object_store
from review.standins import databases

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6
BEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * BEAT_SECONDS
"""Three check-in intervals of silence, after which an entry is removed."""

_TICK_SECONDS = 0.01
SERVICE = "cup-ledger"
ROUTES = {
    "refund": ("primary", 0, 0),
    "stock": ("bounded_staleness", 2, 1_500),
    "wash": ("read_your_writes", 1, 2_500),
}


class Record:
    """The record of a run: one line an event, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8", errors="replace")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes a line."""
        elapsed = time.monotonic() - self._began
        self._file.write(f"{elapsed:9.4f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def free_port(host: str) -> int:
    """Returns a TCP port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Proxy:
    """A proxy process, started with the command of the deploy file."""

    def __init__(self, number: int, folder: pathlib.Path, store: int) -> None:
        self.name = f"front-hobart-{number}"
        self.host = "127.0.0.1"
        self.front = free_port(self.host)
        self._folder = folder
        self._metrics = free_port(self.host)
        self._process: asyncio.subprocess.Process | None = None
        self.ready_port = free_port(self.host)
        self._settings = folder / f"{self.name}.conf"
        self._settings.write_text(
            f"node_name={self.name}\n"
            "zone=hobart\n"
            "region=tas\n"
            f"listen.front={self.host}:{self.front}\n"
            f"listen.ready={self.host}:{self.ready_port}\n"
            f"platform.address=127.0.0.1:{store}\n"
            f"cloud_api.address=127.0.0.1:{store}\n"
            f"heartbeat_ms={int(BEAT_SECONDS * 1_000)}\n"
            f"bounds.grace_s={GRACE_SECONDS}\n"
            "bounds.config_apply_ms=3000\n"
            "bounds.drain_ms=7000\n"
        )

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["proxy"]["run"])
        command = [
            f"--metrics_port={self._metrics}"
            if "metrics_port" in word
            else word
            for word in command
        ]
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HICKORYGATE_CONFIG": str(self._settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, limit: float = 20.0) -> bool:
        """Waits until the process reports that it is ready."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if await self._is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200" in status


class System:
    """A store, one group of databases and some proxies."""

    def __init__(
        self, record: Record, group: databases.Group, proxies: int
    ) -> None:
        self.record = record
        self.group = group
        self.store = object_store.ObjectStore()
        self.proxies: list[Proxy] = []
        self._count = proxies
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []
        self._last_beats: dict[str, float] = {}
        self._next_beats: dict[str, float] = {}
        self._listed: set[str] = set()

    async def start(self) -> bool:
        """Starts everything; returns whether the proxies became ready."""
        await self.group.start()
        await self.store.start()
        self.store.promote = self._promote
        self.store.put("config", "main", self.manifest())
        self.beat()
        folder = pathlib.Path(self._folder.name)
        self.proxies = [
            Proxy(number + 1, folder, self.store.port)
            for number in range(self._count)
        ]
        self._tasks.append(asyncio.create_task(self._beat_forever()))
        for proxy in self.proxies:
            await proxy.start()
        ready = [await proxy.wait_ready() for proxy in self.proxies]
        return all(ready)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxies:
            await proxy.end()
        await self.store.close()
        for database in self.group.databases.values():
            database.crash()
        self._folder.cleanup()

    def delay_beat(self, name: str, until: float) -> None:
        """Keeps a database's check-ins from the store until a time.

        Args:
          name: id of the database.
          until: time on the event loop's clock of its next check-in.
        """
        self._next_beats[name] = until

    def last_beat(self, name: str) -> float:
        """Returns the time of a database's last check-in."""
        return self._last_beats[name]

    def beat(self) -> None:
        """Writes the entries that are due and removes those that lapsed."""
        now = asyncio.get_running_loop().time()
        for name, database in self.group.databases.items():
            if database.running and now >= self._next_beats.get(name, now):
                self._last_beats[name] = now
                self._next_beats[name] = now + BEAT_SECONDS
                if name not in self._listed:
                    self.record(f"store: entry of {name} is there")
                self._listed.add(name)
                self.store.put("servers", name, database.entry())
            silent = now - self._last_beats.get(name, now)
            if name in self._listed and silent >= LAPSE_SECONDS:
                self.record(f"store: entry of {name} lapsed")
                self._listed.discard(name)
                self.store.remove("servers", name)

    def manifest(self, version: int = 7) -> dict[str, object]:
        """Returns the manifest."""
        routes = [
            {
                "name": f"r-{host}",
                "host": host,
                "type": kind,
                "timeout_ms": 1_200,
                "latency_goal_ms": 600,
                "priority": priority,
                "service": self.group.service,
                **({"max_staleness_ms": stale} if stale else {}),
            }
            for host, (kind, priority, stale) in ROUTES.items()
        ]
        service = {
            "name": self.group.service,
            "max_conns": 30,
            "sync_replicas": self.group.sync_replicas,
        }
        limits = {"tx_idle_ms": 3_000}
        return {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": limits,
        }

    def _promote(self, service: str, name: str) -> bool:
        self.record(f"POST /promotion {service} {name}")
        return self.group.promote(service, name)

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.beat()


class Caller:
    """A client session; sends a message and waits for its whole answer."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self.name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, proxy: Proxy, database: str) -> bool:
        """Opens a session; returns whether it was opened."""
        self._reader, self._writer = await asyncio.open_connection(
            proxy.host, proxy.front
        )
        self._writer.write(f"CONNECT {database} {self.name}\r\n".encode())
        lines = await self._read_answer()
        return bool(lines) and lines[-1].startswith("READY")

    async def query(self, request: str, text: str) -> list[str]:
        """Sends a statement; returns the lines of its answer, [] if cut."""
        assert self._writer is not None, "connect first"
        self._record(f"{self.name} sends {request} {text!r}")
        data = f"QUERY {request} {text}".encode("utf-8", "surrogateescape")
        self._writer.write(data + b"\r\n")
        lines = await self._read_answer()
        self._record(f"{self.name} gets {request} {lines}")
        return lines

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _read_answer(self) -> list[str]:
        assert self._reader is not None, "connect first"
        lines: list[str] = []
        while True:
            try:
                line = await self._reader.readuntil(b"\r\n")
            except (asyncio.IncompleteReadError, OSError):
                return []
            lines.append(line[:-2].decode("utf-8", "surrogateescape"))
            if lines[-1].startswith("READY"):
                return lines


def succeeded(lines: list[str]) -> bool:
    """Returns whether an answer reports a success."""
    return any(line.startswith("COMPLETE") for line in lines)


def run(main) -> int:  # noqa: ANN001
    """Runs a script; returns 2 if it couldn't run."""
    try:
        return asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return 2
