"""Measures the memory of a proxy per idle caller.

    python -m benchmarks.idle_callers --callers 500,1000,1500,2000

The callers are plain sockets in the same process, logged in and idle. The
growth of the process per caller is therefore the proxy's state plus one socket
object.
"""

from __future__ import annotations

import asyncio
import datetime
import gc
import hashlib
import socket

from absl import app
from absl import flags
import psutil
import uvloop

from hickorygate.testing import cluster

_CALLERS = flags.DEFINE_list(
    "callers", ["500", "1000", "1500", "2000"], "Numbers of callers."
)
_READY_TIMEOUT = datetime.timedelta(seconds=30)
_CAPABILITIES = 0x0000_8209
"""Capability flags: protocol 4.1, schema at login, secure connection."""

_READ_LIMIT_BYTES = 4_096


def _scramble_password(password: str, nonce: bytes) -> bytes:
    """Returns the mysql_native_password response for a nonce."""
    hashed_once = hashlib.sha1(password.encode()).digest()
    hashed_twice = hashlib.sha1(hashed_once).digest()
    mask = hashlib.sha1(nonce + hashed_twice).digest()
    return bytes(a ^ b for a, b in zip(hashed_once, mask, strict=True))


def _parse_nonce(greeting: bytes) -> bytes:
    """Joins the two parts of the nonce in a server greeting."""
    start = greeting.index(b"\x00", 5) + 5
    second_start = start + 8 + 19
    return (
        greeting[start : start + 8] + greeting[second_start : second_start + 12]
    )


def _login_packet(nonce: bytes) -> bytes:
    payload = (
        _CAPABILITIES.to_bytes(4, "little")
        + (1 << 24).to_bytes(4, "little")
        + b"\x2d"
        + bytes(23)
        + cluster.USER.encode()
        + b"\x00\x14"
        + _scramble_password(cluster.PASSWORD, nonce)
        + b"alerts_1\x00"
    )
    return len(payload).to_bytes(3, "little") + b"\x01" + payload


async def _open_caller(port: int) -> socket.socket:
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setblocking(False)
    await loop.sock_connect(caller, ("127.0.0.1", port))
    greeting = await loop.sock_recv(caller, _READ_LIMIT_BYTES)
    await loop.sock_sendall(caller, _login_packet(_parse_nonce(greeting)))
    answer = await loop.sock_recv(caller, _READ_LIMIT_BYTES)
    assert answer[4] == 0, answer
    return caller


def _resident_bytes() -> int:
    gc.collect()
    return psutil.Process().memory_info().rss


async def _run() -> None:
    test_cluster = await cluster.start(proxies=1)
    await test_cluster.wait_until_ready(_READY_TIMEOUT)
    port = test_cluster.daemons[0].port
    callers = [await _open_caller(port)]
    bytes_before = _resident_bytes()
    for count in map(int, _CALLERS.value):
        while len(callers) < count:
            callers.append(await _open_caller(port))
        growth = _resident_bytes() - bytes_before
        print(f"callers={count} bytes_a_caller={growth // (count - 1)}")
    for caller in callers:
        caller.close()
    await test_cluster.stop()


def main(argv: list[str]) -> None:
    """Prints one line per number of callers."""
    del argv
    uvloop.run(_run())


if __name__ == "__main__":
    app.run(main)
