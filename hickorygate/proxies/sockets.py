"""ZMQ sockets to and from the other proxies.

One socket takes packets in; one a receiver sends them out, of which a
bounded number is open. Sends never wait: a receiver that doesn't take its
packets loses them, and holds up nobody else.
"""

from __future__ import annotations

import collections
import dataclasses

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from hickorygate.core import settings as settings_lib
from hickorygate.proxies import codec
from hickorygate.proxies import member as members

__all__ = ["Arrival", "Sockets"]

_OPEN_LIMIT = 64
"""Outgoing connections open at once; the one unused longest is closed."""
_QUEUED_PACKETS = 64
_INBOX_PACKETS = 1_024
_RECONNECT_MS = 100
_LONGEST_RECONNECT_MS = 2_000
_HANDSHAKE_MS = 2_000
_CURVE_DOMAIN = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A packet as it came.

    Attributes:
      data: bytes.
      key: the sender's public key; None on an open link.
    """

    data: bytes
    key: str | None


class _KeyRing:
    """Says which public keys may connect."""

    def __init__(self, curve: settings_lib.CurveSettings) -> None:
        keys = curve.public_keys.values()
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Answers pyzmq's authenticator; the key is in Z85."""
        return key in self._keys


class Sockets:
    """All sockets of one proxy."""

    __slots__ = (
        "_authenticator",
        "_context",
        "_inbox",
        "_outboxes",
        "_settings",
    )

    def __init__(self, settings: settings_lib.PeerSettings) -> None:
        self._settings = settings
        self._context = zmq.Context()
        self._inbox: zmq.asyncio.Socket | None = None
        self._outboxes: collections.OrderedDict[members.Address, zmq.Socket] = (
            collections.OrderedDict()
        )
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    @property
    def open_count(self) -> int:
        """Outgoing sockets."""
        return len(self._outboxes)

    def __repr__(self) -> str:
        return f"Sockets(open={len(self._outboxes)})"

    def bind(self) -> members.Address:
        """Begins to listen; returns the address to reach this proxy by."""
        inbox = zmq.asyncio.Socket(self._context, zmq.PULL)
        inbox.setsockopt(zmq.RCVHWM, _INBOX_PACKETS)
        inbox.setsockopt(zmq.MAXMSGSIZE, codec.PACKET_LIMIT)
        self._inbox = inbox
        if self._settings.curve is not None:
            self._guard(inbox, self._settings.curve)
        inbox.bind(f"tcp://{self._settings.host}:{self._settings.port or '*'}")
        endpoint = inbox.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    async def receive(self) -> Arrival:
        """Waits for a packet."""
        assert self._inbox is not None, "not bound; call bind()"
        frame = await self._inbox.recv(copy=False)
        key = frame.get("User-Id") if self._settings.curve else None
        return Arrival(frame.bytes, key)

    def send(self, address: members.Address, name: str, data: bytes) -> bool:
        """Queues a packet; False if it was dropped.

        A connection that takes no more, be it full or refused for its key,
        is closed, so that the next packet tries a new one.
        """
        outbox = self._outbox(address, name)
        if outbox is None:
            return False
        try:
            outbox.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.close_link(address)
            return False
        return True

    def close_link(self, address: members.Address) -> None:
        """Closes the connection to an address and drops what is queued."""
        outbox = self._outboxes.pop(address, None)
        if outbox is not None:
            outbox.close(linger=0)

    def close(self) -> None:
        """Closes all sockets and drops what is queued."""
        if self._authenticator is not None:
            self._authenticator.stop()
        for outbox in self._outboxes.values():
            outbox.close(linger=0)
        self._outboxes.clear()
        if self._inbox is not None:
            self._inbox.close(linger=0)
        self._context.term()

    def _outbox(self, address: members.Address, name: str) -> zmq.Socket | None:
        outbox = self._outboxes.get(address)
        if outbox is not None:
            self._outboxes.move_to_end(address)
            return outbox
        outbox = self._connect(address, name)
        if outbox is not None:
            self._outboxes[address] = outbox
        while len(self._outboxes) > _OPEN_LIMIT:
            _, oldest = self._outboxes.popitem(last=False)
            oldest.close(linger=0)
        return outbox

    def _connect(
        self, address: members.Address, name: str
    ) -> zmq.Socket | None:
        curve = self._settings.curve
        if curve is not None and name not in curve.public_keys:
            return None
        outbox = self._context.socket(zmq.PUSH)
        outbox.setsockopt(zmq.LINGER, 0)
        outbox.setsockopt(zmq.SNDHWM, _QUEUED_PACKETS)
        outbox.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        outbox.setsockopt(zmq.RECONNECT_IVL_MAX, _LONGEST_RECONNECT_MS)
        outbox.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_MS)
        if curve is not None:
            _add_keys(outbox, curve)
            outbox.curve_serverkey = curve.public_keys[name].encode()
        outbox.connect(f"tcp://{address}")
        return outbox

    def _guard(
        self, inbox: zmq.asyncio.Socket, curve: settings_lib.CurveSettings
    ) -> None:
        """Refuses unknown keys on the inbox."""
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(_CURVE_DOMAIN, _KeyRing(curve))
        self._authenticator = authenticator
        _add_keys(inbox, curve)
        inbox.curve_server = True


def _add_keys(socket: zmq.Socket, curve: settings_lib.CurveSettings) -> None:
    secret = curve.secret_key.get_secret_value().encode()
    socket.curve_secretkey = secret
    socket.curve_publickey = zmq.curve_public(secret)
