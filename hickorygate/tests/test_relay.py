"""Tests of the relay's faults, and that other traffic is unaffected."""

from __future__ import annotations

import asyncio
import datetime
import unittest

from hickorygate.testing import relay

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SILENCE_SECONDS = 0.1
"""Seconds in which data that isn't held back nearly always arrives."""

_ARRIVAL_SECONDS = 10
"""Seconds in which data that isn't held back arrives on any machine."""


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A relay between a client and an echo server."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.relay = relay.FaultRelay("127.0.0.1", port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(100):
                writer.write(data)
        except ConnectionError:
            return
        writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        streams = await asyncio.open_connection("127.0.0.1", self.relay.port)
        self.addCleanup(streams[1].close)
        return streams

    async def receive(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(_ARRIVAL_SECONDS):
            return await reader.read(100)

    async def assert_silent(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_SILENCE_SECONDS):
                await reader.read(100)

    async def test_cut_holds_data_back_until_heal(self) -> None:
        for direction in (
            relay.Direction.THERE,
            relay.Direction.BACK,
            relay.Direction.BOTH,
        ):
            with self.subTest(direction=direction):
                reader, writer = await self.connect()
                self.relay.cut(direction)
                writer.write(b"a")
                await self.assert_silent(reader)
                self.relay.heal()
                self.assertEqual(await self.receive(reader), b"a")

    async def test_shorter_delay_keeps_the_order(self) -> None:
        reader, writer = await self.connect()
        self.relay.delay = 50 * _MILLISECOND
        writer.write(b"a")
        await asyncio.sleep(0.02)
        self.relay.delay = datetime.timedelta()
        writer.write(b"b")
        self.assertEqual(await reader.readexactly(2), b"ab")

    async def test_a_silenced_connection_never_answers_and_new_ones_do(
        self,
    ) -> None:
        reader, writer = await self.connect()
        writer.write(b"a")
        self.assertEqual(await self.receive(reader), b"a")
        self.relay.blackhole()
        writer.write(b"b")
        await self.assert_silent(reader)
        reader, writer = await self.connect()
        writer.write(b"c")
        self.assertEqual(await self.receive(reader), b"c")

    async def test_a_reset_ends_open_connections_only(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"a")
        await self.receive(reader)
        self.relay.reset()
        with self.assertRaises(ConnectionResetError):
            await reader.read(100)
        reader, writer = await self.connect()
        writer.write(b"b")
        self.assertEqual(await self.receive(reader), b"b")

    async def test_new_connections_are_reset_while_refusing(self) -> None:
        self.relay.reset_new_connections = True
        with self.assertRaises(ConnectionError):
            reader, writer = await self.connect()
            writer.write(b"a")
            if not await reader.read(100):
                raise ConnectionResetError


if __name__ == "__main__":
    unittest.main()
