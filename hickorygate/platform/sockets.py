"""Socket options of all connections that speak the line protocol."""

from __future__ import annotations

import datetime
import socket
import struct
from typing import Any

__all__ = ["discard_on_close", "limit_silence", "open_discarding"]

_DISCARD = struct.pack("ii", 1, 0)
"""The option's structure: linger, for no time."""

_UNACKNOWLEDGED_LIMIT = datetime.timedelta(seconds=3)
"""After which the kernel gives a connection up; a database drops a caller
that it can't reach after the same time."""

_KEEPALIVE_IDLE_SECONDS = 2
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 3


def limit_silence(sock: socket.socket) -> None:
    """Makes the kernel end a connection whose other end is gone."""
    milliseconds = int(_UNACKNOWLEDGED_LIMIT.total_seconds() * 1_000)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, milliseconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def discard_on_close(sock: socket.socket) -> None:
    """Makes a close reset the connection and discard what is unsent.

    Otherwise the kernel goes on to deliver it, and a request that was given
    up may arrive when a partition heals.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD)


def open_discarding(info: tuple[Any, ...]) -> socket.socket:
    """Makes a socket for an address as `getaddrinfo` describes it."""
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    discard_on_close(sock)
    return sock
