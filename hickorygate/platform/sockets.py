"""Sets the options of sockets.

All connections detect an unreachable peer. Connections to the object store,
and connections to databases with outstanding requests, discard unsent data
when they close.
"""

from __future__ import annotations

import datetime
import socket
import struct
from typing import Any

__all__ = [
    "reset_on_close",
    "enable_dead_peer_detection",
    "open_reset_on_close",
]

_ZERO_LINGER = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER`: linger on close, for 0 seconds."""

_UNACKNOWLEDGED_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without acknowledgement after which the kernel closes a connection. A
database drops an unreachable caller after the same time."""

_KEEPALIVE_IDLE_SECONDS = 2
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 3


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel close a connection whose peer has become unreachable."""
    milliseconds = int(_UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1_000)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, milliseconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def reset_on_close(sock: socket.socket) -> None:
    """Makes closing the socket reset the connection and discard unsent data.

    Otherwise the kernel still tries to deliver the data, and an abandoned
    request may arrive when a network partition ends.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)


def open_reset_on_close(info: tuple[Any, ...]) -> socket.socket:
    """Creates a socket that discards unsent data when it closes.

    The kernel closes it if the peer becomes unreachable, also while a call
    waits for a response.

    Args:
      info: address in the form that `getaddrinfo` returns.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    reset_on_close(sock)
    enable_dead_peer_detection(sock)
    return sock
