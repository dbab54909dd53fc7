"""A proxy process and the relays on its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import os
import pathlib
import signal
import sys

from hickorygate.testing import relay as relays
from soak import plan

__all__ = ["GRACE_SECONDS", "Proxy"]

GRACE_SECONDS = 4
"""Time from SIGTERM until the process must have ended."""

_ROOT = pathlib.Path(__file__).parent.parent


_FRONT_PORT, _READY_PORT = 8784, 8785
"""Ports outside the kernel's range of ephemeral ports.

Outgoing connections, whose ports the kernel chooses, therefore never occupy
these ports.
"""


def _own_host(number: int) -> str:
    """Returns a loopback address for one proxy of this run.

    The address is derived from the process id, so that runs at the same time
    use different addresses.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{1 + number}"


class Proxy:
    """A proxy process that can be stopped and started again.

    Attributes:
      name: name of the instance.
      host: loopback address of this proxy alone.
      incarnation: number of times that the process was started.
      databases: relay to each database, by the port of the database.
      store: relay to the store.
      callers: relay from the callers.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f"proxy-{number}"
        self.incarnation = 0
        self.databases: dict[int, relays.FaultRelay] = {}
        self._folder = folder
        self.host = _own_host(number)
        self.callers = relays.FaultRelay(self.host, _FRONT_PORT)
        self.store = relays.FaultRelay("127.0.0.1", 0)
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        process = self._process
        return process is not None and process.returncode is None

    @property
    def front(self) -> tuple[str, int]:
        """Address that callers connect to, without the relay."""
        return self.host, _FRONT_PORT

    @property
    def readiness(self) -> tuple[str, int]:
        """Address of the readiness check."""
        return self.host, _READY_PORT

    @property
    def pid(self) -> int | None:
        """Process id of the newest process; None before the first start."""
        return self._process.pid if self._process else None

    def __repr__(self) -> str:
        return f"Proxy({self.name!r}, {self.incarnation=})"

    async def prepare(
        self,
        store_port: int,
        database_ports: list[int],
        zone: str,
        options: Mapping[str, str] | None = None,
    ) -> None:
        """Starts the relays and writes the settings file.

        Args:
          store_port: port of the store.
          database_ports: port of each database.
          zone: availability zone of the proxy.
          options: further lines of the settings file, by key.
        """
        self.store = relays.FaultRelay("127.0.0.1", store_port)
        self.databases = {
            port: relays.FaultRelay("127.0.0.1", port)
            for port in database_ports
        }
        for relay in (self.store, self.callers, *self.databases.values()):
            await relay.start()
        settings = {
            "node_name": self.name,
            "zone": zone,
            "listen.front": f"{self.host}:{_FRONT_PORT}",
            "listen.ready": f"{self.host}:{_READY_PORT}",
            "platform.address": f"127.0.0.1:{self.store.port}",
            "cloud_api.address": f"127.0.0.1:{self.store.port}",
            "bounds.grace_s": str(GRACE_SECONDS),
            **(options or {}),
        }
        lines = [f"{key}={value}\n" for key, value in settings.items()]
        self._path("conf").write_text("".join(lines))

    async def start(self) -> None:
        """Starts a process, unless one runs or is being started."""
        async with self._starting:
            if not self.running:
                self._process = await self._launch()
                self.incarnation += 1

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.running:
            assert self._process is not None, "a running proxy has a process"
            self._process.send_signal(number)

    async def wait_ended(self, limit: float) -> bool:
        """Waits until the process ends.

        Args:
          limit: longest wait in seconds.

        Returns:
          Whether the process ended in time.
        """
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(limit):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Kills the process and stops the relays."""
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

    def relays_to(self, peer: plan.Peer) -> list[relays.FaultRelay]:
        """Returns the relays to one kind of peer."""
        match peer:
            case plan.Peer.CALLERS:
                return [self.callers]
            case plan.Peer.STORE:
                return [self.store]
        return list(self.databases.values())

    def _path(self, ending: str) -> pathlib.Path:
        return self._folder / f"{self.name}.{ending}"
