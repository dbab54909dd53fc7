"""A small deployment on loopback addresses, for the scripts of this review.

The proxies are the project's own processes, started with the command of the
deploy file. The databases and the platform are the project's stand-ins.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime
import os
import pathlib
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any

from hickorygate.testing import line_group
from hickorygate.testing import line_session
from hickorygate.testing import object_store

__all__ = ["Client", "Deployment", "Record", "trouble_wanted"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_HEARTBEAT_SECONDS = 1.2
_SERVICE = "huvo11a"
_BORN = 1_700_000_000_000
_READY_SECONDS = 15.0

GRACE_SECONDS = 6
CONFIG_APPLY_SECONDS = 3.0


def trouble_wanted() -> bool:
    """Returns whether the script shall cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line with the time since the start."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Deployment:
    """Proxies, one database group and the platform.

    Attributes:
      group: the databases of the only service.
      reached: ids of the clients' requests that reached a database.
    """

    def __init__(
        self,
        proxies: int,
        record: Record,
        routes: Sequence[dict[str, Any]],
        work: line_group.Capacity,
        contracts: str = "base,drain,config,cost,recover,sql,platform",
    ) -> None:
        self._count = proxies
        self._record = record
        self._routes = routes
        self._contracts = contracts
        self._version = 4
        self._sequence = 0
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._ready: dict[int, tuple[str, int]] = {}
        self._front: dict[int, tuple[str, int]] = {}
        self._store = object_store.ObjectStore()
        self._beats: asyncio.Task[None] | None = None
        self.reached: set[str] = set()
        self.group = line_group.LineGroup(
            _SERVICE,
            names=("i-7f3a91c2", "i-0b6d12e4", "i-c25e88a1"),
            lag=datetime.timedelta(milliseconds=60),
            promotion_delay=datetime.timedelta(milliseconds=600),
            demotion_delay=datetime.timedelta(seconds=1),
            work=work,
        )

    async def start(self, tenants: list[dict[str, Any]] | None = None) -> None:
        """Starts the databases and the platform, and writes the settings."""
        self._watch_arrivals()
        await self.group.start()
        await self._store.start()
        self._store.promote = lambda _, name: self.group.promote(name)
        self.put_manifest(tenants)
        self._beats = asyncio.create_task(self._send_heartbeats())
        for number in range(self._count):
            self._write_settings(number)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if self._beats is not None:
            self._beats.cancel()
        await self._store.close()
        await self.group.close()
        self._folder.cleanup()

    def put_manifest(self, tenants: list[dict[str, Any]] | None) -> None:
        """Writes the next version of the manifest; the store acknowledges."""
        self._version += 3
        manifest: dict[str, Any] = {
            "version": self._version,
            "routes": [{**r, "service": _SERVICE} for r in self._routes],
            "services": [
                {
                    "name": _SERVICE,
                    "health_path": "/health",
                    "max_conns": 30,
                    "sync_replicas": 1,
                }
            ],
            "limits": {"idle_timeout_ms": 15_000, "tx_idle_ms": 3_000},
        }
        if tenants is not None:
            manifest["tenants"] = tenants
        self._store.put("config", "main", manifest)
        self._record.note(
            f"operator: manifest {self._version} acknowledged, tenants "
            f"{tenants!r}"
        )

    async def launch(self, number: int) -> asyncio.subprocess.Process:
        """Starts a proxy process as the deploy file says."""
        deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", self._folder.name),
            "PYTHONPATH": str(_ROOT / "target/deps"),
            "HICKORYGATE_CONFIG": str(self._settings(number)),
        }
        process = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=_ROOT,
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self._processes[number] = process
        self._record.note(f"front-{number}: process started")
        return process

    async def wait_until_ready(self, number: int) -> None:
        """Waits for a 200 of the readiness check.

        Raises:
          TimeoutError: the process doesn't become ready.
        """
        async with asyncio.timeout(_READY_SECONDS):
            while not await self._is_ready(number):
                await asyncio.sleep(0.05)
        self._record.note(f"front-{number}: ready")

    def send(self, number: int, what: signal.Signals) -> None:
        """Sends a signal to a proxy process that this script started."""
        process = self._processes[number]
        if process.returncode is None:
            process.send_signal(what)
            self._record.note(f"front-{number}: {what.name} sent")

    def change_settings(self, number: int, change: int) -> None:
        """Changes the settings file; the new key is one to be ignored."""
        path = self._settings(number)
        with path.open("a") as file:
            file.write(f"later.change={change}\n")
        self._record.note(f"front-{number}: settings file changed")

    def front(self, number: int) -> tuple[str, int]:
        """Returns the address that clients connect to."""
        return self._front[number]

    def _settings(self, number: int) -> pathlib.Path:
        return pathlib.Path(self._folder.name, f"{number}.conf")

    def _write_settings(self, number: int) -> None:
        """Writes the settings file of a machine with an address of its own."""
        host = f"127.{20 + os.getpid() % 200}.{1 + number}.1"
        self._front[number] = (host, _free_port(host))
        self._ready[number] = (host, _free_port(host))
        store = f"127.0.0.1:{self._store.port}"
        self._settings(number).write_text(
            f"node_name=front-{number}\nzone=zone-{number}\nip={host}\n"
            f"listen.front={host}:{self._front[number][1]}\n"
            f"listen.ready={host}:{self._ready[number][1]}\n"
            "port_range=7440,7455\nbootstrap=false\n"
            "limits.cpu_share=0.817\nlimits.cpu_cores=2\n"
            "limits.memory_mb=430\nlimits.max_fds=6450\n"
            f"contracts={self._contracts}\n"
            f"bounds.grace_s={GRACE_SECONDS}\n"
            f"bounds.config_apply_ms={int(CONFIG_APPLY_SECONDS * 1_000)}\n"
            f"platform.address={store}\ncloud_api.address={store}\n"
        )

    async def _is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._ready[number])
        except OSError:
            return False
        writer.write(
            b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def _send_heartbeats(self) -> None:
        """Writes the entries of the databases into the store."""
        while True:
            for database in self.group.databases.values():
                self._sequence += 1
                entry = {
                    "service": _SERVICE,
                    "address": f"127.0.0.1:{database.port}",
                    "zone": "zone-0",
                    "version": "v1",
                    "slots": self.group.work.slots,
                    "state": "draining" if database.leaving else "ready",
                    "cold_left_ms": 0,
                    "db_role": "primary" if database.log.leads else "replica",
                    "seq_no": self._sequence,
                    "born": _BORN,
                }
                self._store.put("servers", database.name, entry)
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    def _watch_arrivals(self) -> None:
        """Notes each request of a client that reaches a database."""
        receive = line_session.LineSession.data_received

        def note(session: line_session.LineSession, data: bytes) -> None:
            for line in data.split(b"\r\n"):
                word, _, rest = line.partition(b" ")
                name = rest.split(b" ")[0].decode(errors="replace")
                if (
                    word == b"QUERY"
                    and name != "-"
                    and name not in self.reached
                ):
                    self.reached.add(name)
                    self._record.note(f"database: request {name} arrives")
            receive(session, data)

        line_session.LineSession.data_received = note  # type: ignore[method-assign]


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Client:
    """A session of a client."""

    _sent = 0

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: Record,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._record = record

    @classmethod
    async def connect(
        cls, address: tuple[str, int], host: str, who: str, record: Record
    ) -> tuple[Client, list[str]]:
        """Opens a session; returns it with the lines of the answer."""
        client = cls(*await asyncio.open_connection(*address), record)
        client._writer.write(f"CONNECT {host} {who}\r\n".encode())
        answer = await client._receive()
        record.note(f"client {who}: CONNECT {host} -> {' | '.join(answer)}")
        return client, answer

    async def query(self, text: str) -> tuple[str, list[str]]:
        """Sends a statement; returns its id and the lines of the answer.

        The last line isn't READY if the connection ended before.
        """
        Client._sent += 1
        name = f"{Client._sent:016x}"
        self._writer.write(f"QUERY {name} {text}\r\n".encode())
        self._record.note(f"client: {name} {text} sent")
        answer = await self._receive()
        shown = " | ".join(answer) or "the connection ends without an answer"
        self._record.note(f"client: {name} -> {shown}")
        return name, answer

    def close(self) -> None:
        """Closes the session."""
        self._writer.close()

    async def _receive(self) -> list[str]:
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            try:
                line = await self._reader.readline()
            except OSError:
                break
            if not line:
                break
            lines.append(line.decode(errors="replace").removesuffix("\r\n"))
        return lines
