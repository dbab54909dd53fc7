"""One proxy as a process of its own, and the relays around it."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

from hickorygate.testing import relay as relays
from soak import plan

__all__ = ["GRACE_SECONDS", "Proxy"]

GRACE_SECONDS = 4
"""From SIGTERM until the process must have ended."""

_ROOT = pathlib.Path(__file__).parent.parent


_FRONT, _READY = 8784, 8785
"""Ports outside the range from which the kernel takes those of others."""


def _own_host(number: int) -> str:
    """Returns a loopback address that no other run uses."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{1 + number}"


class Proxy:
    """A process that can be started again.

    Attributes:
      name: of the instance.
      host: its own loopback address.
      incarnation: how often it was started.
      databases: relays by the port of the database behind them.
      store: relay to the store.
      callers: relay from callers.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f"proxy-{number}"
        self.incarnation = 0
        self.databases: dict[int, relays.Relay] = {}
        self._folder = folder
        self.host = _own_host(number)
        self.callers = relays.Relay(self.host, _FRONT)
        self.store = relays.Relay("127.0.0.1", 0)
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether its process lives."""
        process = self._process
        return process is not None and process.returncode is None

    @property
    def pid(self) -> int | None:
        """Id of its process; None before the first start."""
        return self._process.pid if self._process else None

    def __repr__(self) -> str:
        return f"Proxy({self.name!r}, {self.incarnation=})"

    async def prepare(
        self, store_port: int, database_ports: list[int], zone: str
    ) -> None:
        """Starts the relays and writes the settings."""
        self.store = relays.Relay("127.0.0.1", store_port)
        self.databases = {
            port: relays.Relay("127.0.0.1", port) for port in database_ports
        }
        for relay in (self.store, self.callers, *self.databases.values()):
            await relay.start()
        settings = {
            "node_name": self.name,
            "zone": zone,
            "listen.front": f"{self.host}:{_FRONT}",
            "listen.ready": f"{self.host}:{_READY}",
            "platform.address": f"127.0.0.1:{self.store.port}",
            "cloud_api.address": f"127.0.0.1:{self.store.port}",
            "bounds.grace_s": str(GRACE_SECONDS),
        }
        lines = [f"{key}={value}\n" for key, value in settings.items()]
        self._path("conf").write_text("".join(lines))

    async def start(self) -> None:
        """Starts a process, unless one lives or is being started."""
        async with self._starting:
            if not self.running:
                self._process = await self._launch()
                self.incarnation += 1

    def send(self, number: signal.Signals) -> None:
        """Signals the process, if it lives."""
        if self.running:
            assert self._process is not None, "it lives"
            self._process.send_signal(number)

    async def ended(self, limit: float) -> bool:
        """Waits for the end of the process; tells whether it came."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(limit):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Ends the process and the relays."""
        async with self._starting:
            self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        for relay in (self.store, self.callers, *self.databases.values()):
            await relay.stop()

    async def _launch(self) -> asyncio.subprocess.Process:
        environment = {
            **os.environ,
            "HICKORYGATE_CONFIG": str(self._path("conf")),
        }
        with self._path("log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hickorygate.platform",
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def links(self, peer: plan.Peer) -> list[relays.Relay]:
        """Returns its connections to one kind of peer."""
        match peer:
            case plan.Peer.CALLERS:
                return [self.callers]
            case plan.Peer.STORE:
                return [self.store]
        return list(self.databases.values())

    def _path(self, ending: str) -> pathlib.Path:
        return self._folder / f"{self.name}.{ending}"
