"""Socket options of all connections that speak the line protocol."""

from __future__ import annotations

import datetime
import socket

__all__ = ["limit_silence"]

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
