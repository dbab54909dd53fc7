"""The link to the other proxies: awaits packets, carries out decisions."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import datetime
import functools
import random
from typing import Protocol
import zlib

import expression
import logbook

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import document as document_lib
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.proxies import codec
from hickorygate.proxies import documents as documents_lib
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages
from hickorygate.proxies import reports
from hickorygate.proxies import sockets as sockets_lib
from hickorygate.store import watch

__all__ = ["DocumentHolder", "Mesh"]

_MILLISECOND = datetime.timedelta(milliseconds=1)
_NEVER_MS = 2**31
"""Age of the store's last answer while no proxy has had one."""
_GOODBYE_TIME = datetime.timedelta(milliseconds=50)
"""For the last packets to leave."""
_STORE_AGE_LIMIT = datetime.timedelta(seconds=45)
"""Two waits of a relay's watch, and time for the news to spread."""

_log = logbook.Logger(__name__)


class DocumentHolder(Protocol):
    """Who keeps the documents in force."""

    def document(self, kind: document_lib.DocumentKind) -> str:
        """Returns the text of a document that is held."""

    async def take_document(
        self,
        kind: document_lib.DocumentKind,
        candidate: document_lib.Candidate,
    ) -> None:
        """Takes a document that another proxy passed on."""


class Mesh:
    """Links this proxy to the others."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        holder: DocumentHolder,
        clock: clocks.Clock,
        stamps: events.StampClock,
        time_line: events.TimeLine,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._clock = clock
        self._stamps = stamps
        self._time_line = time_line
        self._generator = generator
        self._sockets = sockets_lib.Sockets(settings.peers)
        self._subscribers = reports.Subscribers()
        self._counts: collections.Counter[str] = collections.Counter()
        self._store_reached: datetime.datetime | None = None
        self._sheets: dict[types.ProxyName, types.SheetVersion] = {}
        self._background = background.Background()
        self._join("unbound:0", "unbound:0")

    @property
    def address(self) -> members.Address:
        """Where the other proxies reach this one."""
        return self._membership.me.address

    @property
    def membership(self) -> memberships.Membership:
        """The other proxies."""
        return self._membership

    @property
    def subscribers(self) -> reports.Subscribers:
        """Who takes the reports of other proxies."""
        return self._subscribers

    @property
    def counts(self) -> collections.Counter[str]:
        """Packets and bytes sent and received, packets dropped and refused."""
        return self._counts

    @property
    def role(self) -> watch.Role:
        """What this proxy is to the others."""
        return watch.Role(
            relay=self._membership.is_relay,
            hears_relay=self.store_age < _STORE_AGE_LIMIT,
        )

    @property
    def open_links(self) -> int:
        """Outgoing connections."""
        return self._sockets.open_count

    @property
    def store_age(self) -> datetime.timedelta:
        """Since any proxy heard of reached the store, as far as is known."""
        if self._store_reached is None:
            return _NEVER_MS * _MILLISECOND
        return self._clock.now() - self._store_reached

    def __repr__(self) -> str:
        return f"Mesh({self.address!r}, {self._membership!r})"

    async def start(self, admin: members.Address) -> None:
        """Begins to listen and to look for the others.

        Args:
          admin: where operators reach this process; told to the others.
        """
        self._join(self._sockets.bind(), admin)
        self._background.start(self._receive())
        self._background.start(self._tick())

    async def close(self) -> None:
        """Tells the others, stops, and drops what is unsent."""
        started = self._background.running
        await self._background.close()
        if started:
            self._perform_all(self._membership.leave())
            await self._clock.sleep(_GOODBYE_TIME)
        self._sockets.close()

    def sheet_of(self, name: types.ProxyName) -> types.SheetVersion:
        """Returns the sheet that a live proxy was last heard to hold."""
        return self._sheets.get(name, 0)

    def reach_store(self) -> None:
        """Notes that this proxy had an answer of the store."""
        self._store_reached = self._clock.now()

    def hold(self, kind: document_lib.DocumentKind, version: int) -> None:
        """Notes a document now in force, and announces it to a few."""
        self._perform_all(self._documents.hold(kind, version))

    def reject(self, kind: document_lib.DocumentKind, version: int) -> None:
        """Notes a version that was of no use here."""
        self._documents.reject(kind, version, self._clock.now())

    def publish(
        self,
        report: messages.Report,
        receivers: Iterable[types.ProxyName] | None = None,
    ) -> None:
        """Sends a report once, without a promise that it arrives.

        Args:
          report: what to tell.
          receivers: names of live proxies; all if None.
        """
        wanted = None if receivers is None else frozenset(receivers)
        for member in self._membership.members:
            if wanted is None or member.name in wanted:
                self.send(effects.Send(member.address, report, member.name))

    def send(self, effect: effects.Send) -> None:
        """Packs and queues one message."""
        packet = codec.Packet(self._header(), effect.message)
        data = codec.pack(packet)
        if self._sockets.send(effect.address, effect.name, data):
            self._counts["packets_sent"] += 1
            self._counts["bytes_sent"] += len(data)
        else:
            self._counts["packets_dropped"] += 1

    def close_link(self, address: members.Address) -> None:
        """Closes the connection to an address."""
        self._sockets.close_link(address)

    def join(self, member: members.Member) -> None:
        """Records a proxy that became live."""
        self._time_line.record(events.PeerJoined(member.name))

    def lose(self, member: members.Member) -> None:
        """Records a proxy that is no longer live."""
        self._sockets.close_link(member.address)
        self._sheets.pop(member.name, None)
        self._time_line.record(events.PeerLost(member.name))

    def send_document(
        self, kind: document_lib.DocumentKind, receiver: members.Member
    ) -> None:
        """Sends a document that another proxy asked for."""
        version = self._documents.versions.of(kind)
        if not version:
            return
        data = zlib.compress(self._holder.document(kind).encode())
        copy = messages.DocumentCopy(kind, version, data)
        self.send(effects.Send(receiver.address, copy, receiver.name))

    async def take_document(
        self, copy: messages.DocumentCopy, sender: members.Member
    ) -> None:
        """Takes a document that another proxy sent."""
        match _decompressed(copy.data):
            case expression.Result(tag="ok", ok=text):
                candidate = document_lib.Candidate(
                    copy.version, text, sender.name
                )
                await self._holder.take_document(copy.document, candidate)
            case expression.Result(tag="error", error=failure):
                self._refuse(failure)

    def deliver(self, report: messages.Report, sender: members.Member) -> None:
        """Hands a report to who takes its type."""
        self._subscribers.deliver(report, sender)

    def _join(self, address: members.Address, admin: members.Address) -> None:
        """Makes the decisions anew, under the addresses of this process."""
        me = members.Member(
            name=self._settings.name,
            address=address,
            admin=admin,
            zone=self._settings.zone,
            incarnation=int(self._clock.now().timestamp() * 1_000),
        )
        self._membership = memberships.Membership(
            me, self._settings.peers, self._generator
        )
        self._documents = documents_lib.Documents(self._membership)

    def _header(self) -> messages.Header:
        stamp = self._stamps.next()
        return messages.Header(
            sender=self._membership.me,
            wall=stamp.wall,
            count=stamp.count,
            versions=self._documents.versions,
            digest=self._membership.digest,
            store_age_ms=max(0, self.store_age // _MILLISECOND),
        )

    async def _tick(self) -> None:
        while True:
            event = memberships.Tick()
            now = self._clock.now()
            self._perform_all(self._membership.handle(event, now))
            await self._clock.sleep(self._settings.peers.heartbeat)

    async def _receive(self) -> None:
        while True:
            arrival = await self._sockets.receive()
            self._counts["packets_received"] += 1
            self._counts["bytes_received"] += len(arrival.data)
            match self._admit(arrival):
                case expression.Result(tag="ok", ok=packet):
                    await self._take(packet)
                case expression.Result(tag="error", error=failure):
                    self._refuse(failure)

    def _admit(self, arrival: sockets_lib.Arrival) -> codec.PacketResult:
        """Decodes a packet and checks that its sender is who it says."""
        result = codec.unpack(arrival.data)
        if result.is_error():
            return result
        sender = result.ok.header.sender
        me = self._membership.me
        if sender.name == me.name:
            reason = f"{sender.address} uses this proxy's name {me.name!r}"
            return expression.Error(errors.BadPeerMessage(reason))
        curve = self._settings.peers.curve
        if curve and curve.public_keys.get(sender.name) != arrival.key:
            reason = f"the key is not that of {sender.name!r}"
            return expression.Error(errors.BadPeerMessage(reason))
        return result

    async def _take(self, packet: codec.Packet) -> None:
        header = packet.header
        now = self._clock.now()
        self._stamps.see(events.Stamp(header.wall, header.count))
        self._note_store(header, now)
        self._sheets[header.sender.name] = header.versions.sheet
        event = memberships.Received(packet)
        self._perform_all(self._membership.handle(event, now))
        self._perform_all(self._documents.hear(header, now))
        await _take(packet.message, self, header.sender)

    def _note_store(
        self, header: messages.Header, now: datetime.datetime
    ) -> None:
        if header.store_age_ms >= _NEVER_MS:
            return
        reached = now - header.store_age_ms * _MILLISECOND
        if self._store_reached is None or reached > self._store_reached:
            self._store_reached = reached

    def _refuse(self, failure: errors.Failure) -> None:
        self._counts["packets_refused"] += 1
        _log.warning(failure.message)

    def _perform_all(self, found: Iterable[effects.Effect]) -> None:
        for effect in found:
            _perform(effect, self)


def _decompressed(
    data: bytes,
) -> expression.Result[str, errors.BadPeerMessage]:
    """Decompresses up to the limit of a packet."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, codec.PACKET_LIMIT)
        if decompressor.unconsumed_tail:
            reason = f"a document over {codec.PACKET_LIMIT} bytes"
            return expression.Error(errors.BadPeerMessage(reason))
        return expression.Ok(text.decode())
    except (zlib.error, UnicodeDecodeError) as error:
        return expression.Error(errors.BadPeerMessage(str(error)))


@functools.singledispatch
def _perform(effect: effects.Effect, mesh: Mesh) -> None:
    raise TypeError(f"no way to perform {effect!r}; register one")


@_perform.register
def _(effect: effects.Send, mesh: Mesh) -> None:
    mesh.send(effect)


@_perform.register
def _(effect: effects.Closed, mesh: Mesh) -> None:
    mesh.close_link(effect.address)


@_perform.register
def _(effect: effects.Joined, mesh: Mesh) -> None:
    mesh.join(effect.member)


@_perform.register
def _(effect: effects.Lost, mesh: Mesh) -> None:
    mesh.lose(effect.member)


@functools.singledispatch
async def _take(
    message: messages.Message, mesh: Mesh, sender: members.Member
) -> None:
    """Messages of membership were taken by its decisions."""


@_take.register
async def _(
    message: messages.DocumentWanted, mesh: Mesh, sender: members.Member
) -> None:
    mesh.send_document(message.document, sender)


@_take.register
async def _(
    message: messages.DocumentCopy, mesh: Mesh, sender: members.Member
) -> None:
    await mesh.take_document(message, sender)


@_take.register
async def _(
    message: messages.Report, mesh: Mesh, sender: members.Member
) -> None:
    mesh.deliver(message, sender)
