"""Tests of the event loop whose time advances only while no I/O is ready."""

from __future__ import annotations

import asyncio
import datetime
import time
import unittest

from hickorygate.testing import virtual_time


async def _sleep_an_hour() -> datetime.timedelta:
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    started = clock.now()
    await clock.sleep(datetime.timedelta(hours=1))
    return clock.now() - started


async def _echo_beside_a_timer() -> tuple[bytes, float]:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.read(10))
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    timer = asyncio.create_task(asyncio.sleep(3_600))
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"hello")
    received = await reader.read(10)
    elapsed = asyncio.get_running_loop().time()
    timer.cancel()
    writer.close()
    server.close()
    return received, elapsed


class VirtualTimeTest(unittest.TestCase):
    """Sockets are real, and sleeping takes no real time."""

    def test_sleeping_takes_no_real_time(self) -> None:
        started = time.monotonic()
        slept = virtual_time.run(_sleep_an_hour())
        self.assertEqual(slept, datetime.timedelta(hours=1))
        self.assertLess(time.monotonic() - started, 10)

    def test_time_does_not_advance_during_delivery(self) -> None:
        received, elapsed = virtual_time.run(_echo_beside_a_timer())
        self.assertEqual(received, b"hello")
        self.assertLess(elapsed, 3_600)


if __name__ == "__main__":
    unittest.main()
