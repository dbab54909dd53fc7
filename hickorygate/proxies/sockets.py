"""ZMQ sockets to and from the other proxies.

One socket receives all packets. Packets are sent over one socket per
receiver, of which a bounded number is open. Sends never block: packets for a
slow or unreachable receiver are dropped and don't delay other receivers.
"""

from __future__ import annotations

import collections
import dataclasses

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from hickorygate.core import settings as settings_lib
from hickorygate.proxies import codec
from hickorygate.proxies import member

__all__ = ["ReceivedFrame", "Sockets"]

_MAX_OUTGOING_CONNECTIONS = 64
"""Maximum number of open outgoing connections.

Beyond it, the least recently used connection is closed.
"""
_SEND_QUEUE_PACKETS = 64
"""Maximum number of queued packets per outgoing connection."""
_RECEIVE_QUEUE_PACKETS = 1_024
"""Maximum number of queued incoming packets per connection."""
_RECONNECT_MS = 100
_MAX_RECONNECT_MS = 2_000
_HANDSHAKE_TIMEOUT_MS = 2_000
_CURVE_DOMAIN = "*"
"""All ZAP domains."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A received packet before decoding.

    Attributes:
      data: bytes of the packet.
      key: public key of the sender in Z85; None without encryption.
    """

    data: bytes
    key: str | None


class _KeyAllowlist:
    """Allowlist of the public keys that may connect."""

    def __init__(self, curve: settings_lib.CurveSettings) -> None:
        keys = curve.public_keys.values()
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a key may connect; called by pyzmq's authenticator.

        Args:
          domain: ZAP domain, which is ignored.
          key: public key in Z85.
        """
        return key in self._keys


class Sockets:
    """All sockets between one proxy and the others."""

    __slots__ = (
        "_authenticator",
        "_context",
        "_inbox",
        "_outboxes",
        "_settings",
    )

    def __init__(self, settings: settings_lib.PeerSettings) -> None:
        """Creates the object; `bind` opens the receiving socket.

        Args:
          settings: addresses and keys of the links between proxies.
        """
        self._settings = settings
        self._context = zmq.Context()
        self._inbox: zmq.asyncio.Socket | None = None
        self._outboxes: collections.OrderedDict[member.Address, zmq.Socket] = (
            collections.OrderedDict()
        )
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    @property
    def open_connection_count(self) -> int:
        """Number of open outgoing sockets."""
        return len(self._outboxes)

    def __repr__(self) -> str:
        return f"Sockets(open={len(self._outboxes)})"

    def bind(self) -> member.Address:
        """Opens the receiving socket and returns its `host:port`."""
        inbox = zmq.asyncio.Socket(self._context, zmq.PULL)
        inbox.setsockopt(zmq.RCVHWM, _RECEIVE_QUEUE_PACKETS)
        inbox.setsockopt(zmq.MAXMSGSIZE, codec.MAX_PACKET_BYTES)
        self._inbox = inbox
        if self._settings.curve is not None:
            self._enable_curve(inbox, self._settings.curve)
        inbox.bind(f"tcp://{self._settings.host}:{self._settings.port or '*'}")
        endpoint = inbox.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    async def receive(self) -> ReceivedFrame:
        """Waits for a packet and returns it."""
        assert self._inbox is not None, (
            "the receiving socket is not bound; call bind() first"
        )
        frame = await self._inbox.recv(copy=False)
        key = frame.get("User-Id") if self._settings.curve else None
        return ReceivedFrame(frame.bytes, key)

    def send(self, address: member.Address, name: str, data: bytes) -> bool:
        """Queues a packet without blocking.

        A connection accepts no more packets if its queue is full, or if the
        receiver refused its key. Such a connection is closed, so that the
        next packet opens a new one.

        Args:
          address: `host:port` of the receiver.
          name: name of the receiver, which selects its public key.
          data: bytes of the packet.

        Returns:
          False if the packet was dropped.
        """
        outbox = self._outbox(address, name)
        if outbox is None:
            return False
        try:
            outbox.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.close_connection(address)
            return False
        return True

    def close_connection(self, address: member.Address) -> None:
        """Closes the connection to an address and drops its queued packets."""
        outbox = self._outboxes.pop(address, None)
        if outbox is not None:
            outbox.close(linger=0)

    def close(self) -> None:
        """Closes all sockets and drops all queued packets."""
        if self._authenticator is not None:
            self._authenticator.stop()
        for outbox in self._outboxes.values():
            outbox.close(linger=0)
        self._outboxes.clear()
        if self._inbox is not None:
            self._inbox.close(linger=0)
        self._context.term()

    def _outbox(self, address: member.Address, name: str) -> zmq.Socket | None:
        """Returns the open socket to an address, or opens one.

        Returns:
          The socket; None if the address is unusable, or if encryption is on
          and the receiver's key is unknown.
        """
        outbox = self._outboxes.get(address)
        if outbox is not None:
            self._outboxes.move_to_end(address)
            return outbox
        outbox = self._connect(address, name)
        if outbox is not None:
            self._outboxes[address] = outbox
        while len(self._outboxes) > _MAX_OUTGOING_CONNECTIONS:
            _, least_recent = self._outboxes.popitem(last=False)
            least_recent.close(linger=0)
        return outbox

    def _connect(self, address: member.Address, name: str) -> zmq.Socket | None:
        curve = self._settings.curve
        if curve is not None and name not in curve.public_keys:
            return None
        outbox = self._context.socket(zmq.PUSH)
        outbox.setsockopt(zmq.LINGER, 0)
        outbox.setsockopt(zmq.SNDHWM, _SEND_QUEUE_PACKETS)
        outbox.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        outbox.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_MS)
        outbox.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
        if curve is not None:
            _set_curve_keys(outbox, curve)
            outbox.curve_serverkey = curve.public_keys[name].encode()
        try:
            outbox.connect(f"tcp://{address}")
        except zmq.ZMQError:
            outbox.close(linger=0)
            return None
        return outbox

    def _enable_curve(
        self, inbox: zmq.asyncio.Socket, curve: settings_lib.CurveSettings
    ) -> None:
        """Encrypts the inbox and rejects senders with unknown keys."""
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            _CURVE_DOMAIN, _KeyAllowlist(curve)
        )
        self._authenticator = authenticator
        _set_curve_keys(inbox, curve)
        inbox.curve_server = True


def _set_curve_keys(
    socket: zmq.Socket, curve: settings_lib.CurveSettings
) -> None:
    secret = curve.secret_key.get_secret_value().encode()
    socket.curve_secretkey = secret
    socket.curve_publickey = zmq.curve_public(secret)
