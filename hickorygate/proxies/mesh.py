"""The pyzmq side: sends heartbeats, relays sheets."""

from __future__ import annotations

import asyncio
import functools
from typing import Protocol

import expression
import logbook
import zmq
import zmq.asyncio

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages

__all__ = ["Mesh", "SheetHolder"]

_log = logbook.Logger(__name__)


class SheetHolder(Protocol):
    """Who keeps the sheet in force."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force."""

    async def offer(
        self, text: str, version: types.SheetVersion, source: str
    ) -> None:
        """Takes a sheet if it is newer."""


class Mesh:
    """Links this proxy to the others."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        holder: SheetHolder,
        clock: clocks.Clock,
        stamps: events.StampClock,
        time_line: events.TimeLine,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._clock = clock
        self._stamps = stamps
        self._time_line = time_line
        self._membership = memberships.Membership(
            settings.peers.seeds, settings.peers.heartbeat
        )
        self._context = zmq.asyncio.Context()
        self._inbox = self._context.socket(zmq.PULL)
        self._outboxes: dict[str, zmq.asyncio.Socket] = {}
        self._address = ""
        self._admin = ""
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def address(self) -> str:
        """Where the other proxies reach this one."""
        return self._address

    @property
    def membership(self) -> memberships.Membership:
        """The other proxies."""
        return self._membership

    def __repr__(self) -> str:
        return f"Mesh({self._address!r}, {self._membership!r})"

    async def start(self, admin: str) -> None:
        """Begins to listen and to send heartbeats.

        Args:
          admin: where operators reach this process; told to the others.
        """
        self._admin = admin
        peers = self._settings.peers
        self._inbox.bind(f"tcp://{peers.host}:{peers.port or '*'}")
        endpoint = self._inbox.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._beat()),
        ]

    async def close(self) -> None:
        """Stops and drops what is unsent."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._context.destroy(linger=0)

    async def send(self, address: str, message: messages.Message) -> None:
        """Sends a message; one that can't be queued is dropped."""
        try:
            await self._outbox(address).send(
                messages.pack(message), zmq.NOBLOCK
            )
        except zmq.Again:
            _log.debug("queue to {} is full", address)

    async def offer_sheet(self, address: str) -> None:
        """Sends the sheet in force."""
        sheet = self._holder.sheet
        if sheet is not None:
            copy = messages.SheetCopy(
                sender=self._settings.name,
                version=sheet.version,
                text=sheet.text,
            )
            await self.send(address, copy)

    async def take_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Takes in another proxy's heartbeat."""
        if beat.sender == self._settings.name:
            return
        self._stamps.see(events.Stamp(beat.wall, beat.count))
        member = memberships.Member(
            name=beat.sender,
            address=beat.address,
            admin=beat.admin,
            zone=beat.zone,
            sheet=beat.sheet,
            heard=self._clock.now(),
        )
        if self._membership.hear(member, beat.known):
            self._time_line.record(events.PeerJoined(beat.sender))
        if beat.sheet > self._version():
            wanted = messages.SheetWanted(
                sender=self._settings.name, address=self._address
            )
            await self.send(beat.address, wanted)

    async def take_sheet(self, copy: messages.SheetCopy) -> None:
        """Takes in a sheet that another proxy passed on."""
        await self._holder.offer(copy.text, copy.version, copy.sender)

    def _version(self) -> types.SheetVersion:
        sheet = self._holder.sheet
        return sheet.version if sheet else 0

    def _outbox(self, address: str) -> zmq.asyncio.Socket:
        if address not in self._outboxes:
            socket = self._context.socket(zmq.PUSH)
            socket.connect(f"tcp://{address}")
            self._outboxes[address] = socket
        return self._outboxes[address]

    async def _receive(self) -> None:
        while True:
            packet = await self._inbox.recv()
            match messages.unpack(packet):
                case expression.Result(tag="ok", ok=message):
                    await _take(message, self)
                case expression.Result(tag="error", error=failure):
                    _log.warning(failure.message)

    async def _beat(self) -> None:
        while True:
            for name in self._membership.expire(self._clock.now()):
                self._time_line.record(events.PeerLost(name))
            beat = self._heartbeat()
            for address in self._membership.addresses - {self._address}:
                await self.send(address, beat)
            await self._clock.sleep(self._settings.peers.heartbeat)

    def _heartbeat(self) -> messages.Heartbeat:
        stamp = self._stamps.next()
        return messages.Heartbeat(
            sender=self._settings.name,
            address=self._address,
            admin=self._admin,
            zone=self._settings.zone,
            sheet=self._version(),
            wall=stamp.wall,
            count=stamp.count,
            known=tuple(m.address for m in self._membership.members),
        )


@functools.singledispatch
async def _take(message: messages.Message, mesh: Mesh) -> None:
    raise TypeError(f"no way to take {message!r}; register one")


@_take.register
async def _(message: messages.Heartbeat, mesh: Mesh) -> None:
    await mesh.take_heartbeat(message)


@_take.register
async def _(message: messages.SheetWanted, mesh: Mesh) -> None:
    await mesh.offer_sheet(message.address)


@_take.register
async def _(message: messages.SheetCopy, mesh: Mesh) -> None:
    await mesh.take_sheet(message)
