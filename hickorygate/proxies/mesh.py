"""I/O adapter of the links to the other proxies.

Receives packets, passes them to the decision code as events and carries out
the resulting effects.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import datetime
import functools
import random
from typing import Protocol
from typing import TypeAlias
import zlib

import expression
import logbook

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.proxies import codec
from hickorygate.proxies import document_dissemination
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages
from hickorygate.proxies import report_handlers
from hickorygate.proxies import sockets
from hickorygate.store import watch

__all__ = ["DocumentHolder", "Mesh"]

_MILLISECOND = datetime.timedelta(milliseconds=1)
_UNKNOWN_AGE_MS = 2**31
"""Value of `store_age_ms` which means that no answer of the store is known."""
_LEAVE_FLUSH_TIME = datetime.timedelta(milliseconds=50)
"""Time for the last packets to be sent before the sockets close."""
_MAX_CLOCK_LEAD = datetime.timedelta(days=1)
"""Time by which the clock of another proxy may be ahead. A packet from further
ahead is rejected, since timestamps are never issued below a received one."""

_STORE_AGE_LIMIT = datetime.timedelta(seconds=45)
"""Age of the store's last answer at which the store counts as unreachable.

From this age on, no relay is assumed to reach the store. The limit covers two
long polls of a relay's watch and the time for the answer's age to reach the
other proxies.
"""

_Order: TypeAlias = tuple[int, datetime.datetime, int]
"""What orders the packets of a sender: its incarnation and timestamp."""

_log = logbook.Logger(__name__)


class DocumentHolder(Protocol):
    """Component that stores the documents in force."""

    def document(self, kind: documents.DocumentKind) -> str:
        """Returns the text of the document in force; empty if there is none."""

    async def receive_document(
        self,
        kind: documents.DocumentKind,
        candidate: documents.ReceivedDocument,
    ) -> None:
        """Examines a document received from another proxy.

        Args:
          kind: kind of the document.
          candidate: received version of the document.
        """


class Mesh:
    """Links between this proxy and the others.

    Implements the effects of the membership and document decisions.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        holder: DocumentHolder,
        clock: clocks.Clock,
        stamps: events.HybridLogicalClock,
        timeline: events.Timeline,
        generator: random.Random,
    ) -> None:
        """Creates the links; `start` opens the sockets.

        Args:
          settings: settings of this proxy.
          holder: component that stores the documents in force.
          clock: source of the current time and of sleeps.
          stamps: source of the hybrid logical timestamps of messages.
          timeline: timeline that records joined and lost proxies.
          generator: source of randomness.
        """
        self._settings = settings
        self._holder = holder
        self._clock = clock
        self._stamps = stamps
        self._timeline = timeline
        self._generator = generator
        self._sockets = sockets.Sockets(settings.peers)
        self._subscribers = report_handlers.ReportHandlers()
        self._counts: collections.Counter[str] = collections.Counter()
        self._store_reached_at: datetime.datetime | None = None
        self._sheet_versions: dict[types.ProxyName, types.SheetVersion] = {}
        self._newest: dict[types.ProxyName, _Order] = {}
        self._background = background.BackgroundTasks()
        self._create_membership("unbound:0", "unbound:0")

    @property
    def address(self) -> members.Address:
        """`host:port` at which the other proxies reach this one."""
        return self._membership.me.address

    @property
    def membership(self) -> memberships.Membership:
        """Membership of the fleet."""
        return self._membership

    @property
    def report_handlers(self) -> report_handlers.ReportHandlers:
        """Registry of the handlers of other proxies' reports."""
        return self._subscribers

    @property
    def counts(self) -> collections.Counter[str]:
        """Counters: packets and bytes sent and received, drops, rejections."""
        return self._counts

    @property
    def role(self) -> watch.RelayRole:
        """Role of this proxy in watching the store."""
        return watch.RelayRole(
            relay=self._membership.is_relay,
            store_recently_reached=self.store_age < _STORE_AGE_LIMIT,
        )

    @property
    def open_connection_count(self) -> int:
        """Number of open outgoing connections."""
        return self._sockets.open_connection_count

    @property
    def store_age(self) -> datetime.timedelta:
        """Time since this or another proxy last reached the store.

        The value is based on received headers. It is 2**31 ms if no proxy is
        known to have reached the store.
        """
        if self._store_reached_at is None:
            return _UNKNOWN_AGE_MS * _MILLISECOND
        return self._clock.now() - self._store_reached_at

    def __repr__(self) -> str:
        return f"Mesh({self.address!r}, {self._membership!r})"

    async def start(self, admin: members.Address) -> None:
        """Starts to listen and to discover the other proxies.

        Args:
          admin: `host:port` where operators reach this process; sent to the
            other proxies.
        """
        self._create_membership(self._sockets.bind(), admin)
        self._background.keep(self._receive)
        self._background.keep(self._tick)

    async def close(self) -> None:
        """Stops and drops all unsent packets.

        A started link first announces the shutdown to a few proxies.
        """
        started = self._background.running
        await self._background.close()
        if started:
            self._perform_all(self._membership.leave())
            await self._clock.sleep(_LEAVE_FLUSH_TIME)
        self._sockets.close()

    def sheet_version_of(self, name: types.ProxyName) -> types.SheetVersion:
        """Returns the last reported sheet version of a live proxy.

        The result is 0 if the version is unknown.
        """
        return self._sheet_versions.get(name, 0)

    def record_store_contact(self) -> None:
        """Records that this proxy received an answer from the store."""
        self._store_reached_at = self._clock.now()

    def announce_version(
        self, kind: documents.DocumentKind, version: int
    ) -> None:
        """Records a document now in force and announces it to a few proxies."""
        self._perform_all(self._documents.announce_version(kind, version))

    def record_rejection(
        self, kind: documents.DocumentKind, version: int
    ) -> None:
        """Records a version that this proxy rejected."""
        self._documents.record_rejection(kind, version, self._clock.now())

    def publish(
        self,
        report: messages.Report,
        receivers: Iterable[types.ProxyName] | None = None,
    ) -> None:
        """Sends a report once, without a delivery guarantee.

        Args:
          report: report to send.
          receivers: names of the receivers; all live proxies if None.
        """
        selected = None if receivers is None else frozenset(receivers)
        for member in self._membership.members:
            if selected is None or member.name in selected:
                self.send(effects.Send(member.address, report, member.name))

    def send(self, effect: effects.Send) -> None:
        """Encodes and queues one message."""
        packet = codec.Packet(self._header(), effect.message)
        data = codec.pack(packet)
        if self._sockets.send(effect.address, effect.name, data):
            self._counts["packets_sent"] += 1
            self._counts["bytes_sent"] += len(data)
        else:
            self._counts["packets_dropped"] += 1

    def close_connection(self, address: members.Address) -> None:
        """Closes the connection to an address."""
        self._sockets.close_connection(address)

    def record_joined(self, member: members.Member) -> None:
        """Records in the timeline that a proxy became live."""
        self._timeline.record(events.PeerJoined(member.name))

    def record_lost(self, member: members.Member) -> None:
        """Closes the link to a lost proxy and records the loss."""
        self._sockets.close_connection(member.address)
        self._sheet_versions.pop(member.name, None)
        self._newest.pop(member.name, None)
        self._timeline.record(events.PeerLost(member.name))

    def send_document(
        self, kind: documents.DocumentKind, receiver: members.Member
    ) -> None:
        """Sends the document in force, if any, to a proxy that requested it."""
        version = self._documents.versions.version_of(kind)
        if not version:
            return
        data = zlib.compress(self._holder.document(kind).encode())
        copy = messages.DocumentCopy(kind, version, data)
        self.send(effects.Send(receiver.address, copy, receiver.name))

    async def receive_document(
        self, copy: messages.DocumentCopy, sender: members.Member
    ) -> None:
        """Decompresses a received document and passes it to the holder."""
        match _decompress(copy.data):
            case expression.Result(tag="ok", ok=text):
                candidate = documents.ReceivedDocument(
                    copy.version, text, sender.name
                )
                await self._holder.receive_document(copy.document, candidate)
            case expression.Result(tag="error", error=failure):
                self._reject_packet(failure)

    def deliver(self, report: messages.Report, sender: members.Member) -> None:
        """Passes a report to the handler registered for its type."""
        self._subscribers.deliver(report, sender)

    def _create_membership(
        self, address: members.Address, admin: members.Address
    ) -> None:
        """Creates the decision objects with the addresses of this process.

        Args:
          address: `host:port` for the other proxies.
          admin: `host:port` for operators.
        """
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
        self._documents = document_dissemination.DocumentDissemination(
            self._membership
        )

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
            match self._authenticate(arrival):
                case expression.Result(tag="ok", ok=packet):
                    await self._handle_packet(packet)
                case expression.Result(tag="error", error=failure):
                    self._reject_packet(failure)

    def _authenticate(
        self, arrival: sockets.ReceivedFrame
    ) -> codec.PacketResult:
        """Decodes a packet and verifies the identity of its sender.

        A packet is rejected if its sender uses this proxy's name, if the
        sender's clock is far ahead or, with encryption, if the key of the
        connection isn't that of the sender.
        """
        result = codec.unpack(arrival.data)
        if result.is_error():
            return result
        header = result.ok.header
        sender = header.sender
        if header.wall - self._clock.now() > _MAX_CLOCK_LEAD:
            reason = f"the clock of {sender.name!r} shows {header.wall}"
            return expression.Error(errors.BadPeerMessage(reason))
        me = self._membership.me
        if sender.name == me.name:
            reason = f"{sender.address} uses this proxy's name {me.name!r}"
            return expression.Error(errors.BadPeerMessage(reason))
        curve = self._settings.peers.curve
        if curve and curve.public_keys.get(sender.name) != arrival.key:
            reason = f"the key is not that of {sender.name!r}"
            return expression.Error(errors.BadPeerMessage(reason))
        return result

    async def _handle_packet(self, packet: codec.Packet) -> None:
        header = packet.header
        now = self._clock.now()
        self._stamps.observe(events.Timestamp(header.wall, header.count))
        known = self._newest.get(header.sender.name)
        is_newest = known is None or _order(header) > known
        if is_newest:
            self._update_store_reached(header, now)
        event = memberships.Received(packet)
        self._perform_all(self._membership.handle(event, now))
        if is_newest and self._membership.is_live(header.sender.name):
            self._newest[header.sender.name] = _order(header)
            self._sheet_versions[header.sender.name] = header.versions.sheet
        self._perform_all(self._documents.request_newer(header, now))
        await _handle_message(packet.message, self, header.sender)

    def _update_store_reached(
        self, header: messages.Header, now: datetime.datetime
    ) -> None:
        """Adopts the sender's time of the store's last answer if later."""
        if header.store_age_ms >= _UNKNOWN_AGE_MS:
            return
        reached = now - header.store_age_ms * _MILLISECOND
        if self._store_reached_at is None or reached > self._store_reached_at:
            self._store_reached_at = reached

    def _reject_packet(self, failure: errors.Failure) -> None:
        self._counts["packets_refused"] += 1
        _log.warning(failure.message)

    def _perform_all(self, found: Iterable[effects.Effect]) -> None:
        for effect in found:
            _perform(effect, self)


def _order(header: messages.Header) -> _Order:
    return header.sender.incarnation, header.wall, header.count


def _decompress(
    data: bytes,
) -> expression.Result[str, errors.BadPeerMessage]:
    """Decompresses a document of at most `codec.MAX_PACKET_BYTES` bytes."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, codec.MAX_PACKET_BYTES)
        if decompressor.unconsumed_tail:
            reason = f"a document over {codec.MAX_PACKET_BYTES} bytes"
            return expression.Error(errors.BadPeerMessage(reason))
        return expression.Ok(text.decode())
    except (zlib.error, UnicodeDecodeError) as error:
        return expression.Error(errors.BadPeerMessage(str(error)))


@functools.singledispatch
def _perform(effect: effects.Effect, mesh: Mesh) -> None:
    raise TypeError(f"no implementation of {effect!r} is registered")


@_perform.register
def _(effect: effects.Send, mesh: Mesh) -> None:
    mesh.send(effect)


@_perform.register
def _(effect: effects.CloseConnection, mesh: Mesh) -> None:
    mesh.close_connection(effect.address)


@_perform.register
def _(effect: effects.ReportJoined, mesh: Mesh) -> None:
    mesh.record_joined(effect.member)


@_perform.register
def _(effect: effects.ReportLost, mesh: Mesh) -> None:
    mesh.record_lost(effect.member)


@functools.singledispatch
async def _handle_message(
    message: messages.Message, mesh: Mesh, sender: members.Member
) -> None:
    """Ignores a message that the membership has already handled."""


@_handle_message.register
async def _(
    message: messages.DocumentRequest, mesh: Mesh, sender: members.Member
) -> None:
    mesh.send_document(message.document, sender)


@_handle_message.register
async def _(
    message: messages.DocumentCopy, mesh: Mesh, sender: members.Member
) -> None:
    await mesh.receive_document(message, sender)


@_handle_message.register
async def _(
    message: messages.Report, mesh: Mesh, sender: members.Member
) -> None:
    mesh.deliver(message, sender)
