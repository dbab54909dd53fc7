"""Tests the limits of callers' connections with small limits."""

from __future__ import annotations

import asyncio
import datetime

from hickorygate.core import memory_budget
from hickorygate.core import platform_events
from hickorygate.platform import line_server
from hickorygate.platform import settings
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time

_CONNECTIONS = 3
_TOTAL = 2_000_000
_MIB = 1_048_576


class _ListenerTestCase(virtual_time.VirtualTimeTestCase):
    """A listener with small limits before three stand-in databases."""

    work = line_group.Capacity()
    connections = _CONNECTIONS

    async def asyncSetUp(self) -> None:  # noqa: N802
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(clock=clock, work=self.work)
        )
        self.server = line_server.LineServer(
            self.cluster.proxies[0].context,
            memory_budget.BufferLimits(_TOTAL, self.connections),
        )
        await self.server.start(settings.Address("127.0.0.1", 0))
        self.addCleanup(self.server.stop_listening)

    def expire_in(self, seconds: float) -> None:
        """Applies the time limits as of a later time."""
        now = self.cluster.proxies[0].context.clock.now()
        for caller in self.server.callers:
            caller.expire(now + datetime.timedelta(seconds=seconds))

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        streams = await asyncio.open_connection(
            "127.0.0.1", self.server.port, limit=4 * _MIB
        )
        self.addCleanup(streams[1].close)
        return streams

    async def open_session(self) -> line_cluster.LineClient:
        client = line_cluster.LineClient(*await self.connect())
        self.assertEqual(
            await client.send(f"CONNECT {line_cluster.PRIMARY_DB} x"),
            ["READY I -"],
        )
        return client

    def causes(self, kind: type) -> list[str]:
        """Returns the causes that the events of a kind name."""
        recorded = self.cluster.proxies[0].journal.events
        return [e.event.cause for e in recorded if isinstance(e.event, kind)]


class CallerConnectionTest(_ListenerTestCase):
    """Limits of messages, answers, connections and sessions."""

    async def test_too_many_values_are_refused_and_the_session_goes_on(
        self,
    ) -> None:
        client = await self.open_session()
        for number in range(256):
            answer = await client.query(f"SET name{number} x")
            self.assertTrue(answer[0].startswith("COMPLETE"), answer)
        answer = await client.query("SET other x")
        self.assertTrue(answer[0].startswith("ERROR OVERSIZE"), answer)
        answer = await client.query("READ x")
        self.assertEqual(answer[0], "ROW -")

    async def test_too_many_prepared_statements_are_refused(self) -> None:
        client = await self.open_session()
        for number in range(1_024):
            await client.query(f"PREPARE p{number} READ READ x")
        answer = await client.query("PREPARE other READ READ x")
        self.assertTrue(answer[0].startswith("ERROR OVERSIZE"), answer)
        await client.query("DEALLOC p1")
        answer = await client.query("PREPARE other READ READ x")
        self.assertTrue(answer[0].startswith("COMPLETE"), answer)

    async def test_a_refused_value_aborts_the_transaction(self) -> None:
        client = await self.open_session()
        await client.query("BEGIN")
        answer = await client.query(f"SET name {'x' * (_MIB - 60)}")
        self.assertTrue(answer[0].startswith("ERROR OVERSIZE"), answer)
        self.assertTrue(answer[-1].startswith("READY E"), answer)

    async def test_connections_beyond_the_limit_are_told(self) -> None:
        opened = [await self.open_session() for _ in range(_CONNECTIONS)]
        reader, _ = await self.connect()
        self.assertTrue((await reader.read()).startswith(b"ERROR BUSY"))
        self.assertEqual(
            self.causes(platform_events.CallersRejected),
            ["too many connections"],
        )
        opened[0].close()
        await asyncio.sleep(0.1)
        await self.open_session()

    async def test_an_incomplete_message_is_given_up(self) -> None:
        reader, writer = await self.connect()
        writer.write(f"CONNECT {line_cluster.PRIMARY_DB} x\r\n".encode())
        await reader.readline()
        writer.write(b"QUERY 1 READ")
        await asyncio.sleep(0.1)
        for seconds in (0, 14):
            self.expire_in(seconds)
        writer.write(b"x")
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.server.callers), 1)
        self.expire_in(15)
        self.assertEqual(
            await reader.read(),
            b"ERROR MALFORMED a message was not completed in time; "
            b"CR LF ends a message\r\n",
        )
        self.assertEqual(
            self.causes(platform_events.CallersClosed),
            ["a message was not completed in time"],
        )

    # Guards against silence towards a caller whose messages never end.
    async def test_a_caller_that_ends_lines_with_lf_alone_is_told(self) -> None:
        reader, writer = await self.connect()
        writer.write(f"CONNECT {line_cluster.PRIMARY_DB} x\n".encode())
        await asyncio.sleep(0.1)
        self.expire_in(4.8)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.server.callers), 1)
        self.expire_in(5)
        self.assertEqual(
            await reader.readuntil(b"\r\n"),
            b"ERROR MALFORMED no session was opened in time; "
            b"CR LF ends a message\r\n",
        )
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(
            self.causes(platform_events.CallersClosed),
            ["no session was opened in time"],
        )

    # Guards against bytes without an end that are kept for ever.
    async def test_lines_that_end_with_lf_alone_reach_the_size_limit(
        self,
    ) -> None:
        reader, writer = await self.connect()
        writer.write(f"CONNECT {line_cluster.PRIMARY_DB} x\r\n".encode())
        await reader.readuntil(b"\r\n")
        writer.write(b"QUERY 1 WRITE x y\n" * (_MIB // 18 + 1))
        self.assertEqual(
            await reader.readuntil(b"\r\n"),
            b"ERROR OVERSIZE a message may have 1 MiB\r\n",
        )
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.cluster.group.primary.ran, [])

    # Guards against a limit that depends on how the bytes arrive.
    async def test_the_size_limit_of_a_message_is_exact(self) -> None:
        longest = b"QUERY 1 READ " + b"i" * (_MIB - 13)
        oversize = b"ERROR OVERSIZE a message may have 1 MiB\r\n"
        for excess in (0, 1):
            line = longest + b"i" * excess
            for pieces in (
                [line + b"\r\n"],
                [line, b"\r\n"],
                [line + b"\r", b"\n"],
                [line[:1_000_000], line[1_000_000:] + b"\r\n"],
            ):
                with self.subTest(excess, sizes=[len(p) for p in pieces]):
                    reader, writer = await self.connect()
                    name = line_cluster.PRIMARY_DB
                    writer.write(f"CONNECT {name} x\r\n".encode())
                    await reader.readuntil(b"\r\n")
                    for piece in pieces:
                        writer.write(piece)
                        await asyncio.sleep(0.1)
                    answer = await reader.readuntil(b"\r\n")
                    self.assertEqual(
                        answer, oversize if excess else b"ROW -\r\n"
                    )
                    writer.close()
                    await asyncio.sleep(0.1)

    # Guards against a malformed message that harms the next ones.
    async def test_a_malformed_message_is_answered_and_the_next_is_intact(
        self,
    ) -> None:
        for wrong in (
            b"\nQUERY 1 WRITE x forged",
            b"HELLO\nQUERY 1 WRITE x forged",
            b"\rQUERY 1 WRITE x forged",
            b"QUERY\n1 WRITE x forged",
            b"\0",
            b"",
            b"TERMINATE\n",
        ):
            with self.subTest(wrong):
                reader, writer = await self.connect()
                name = line_cluster.PRIMARY_DB
                writer.write(f"CONNECT {name} x\r\n".encode())
                await reader.readuntil(b"\r\n")
                writer.write(wrong + b"\r\nQUERY 2 READ x\r\n")
                self.assertEqual(
                    await reader.readuntil(b"\r\n"),
                    b"ERROR MALFORMED not a message\r\n",
                )
                ready = await reader.readuntil(b"\r\n")
                self.assertTrue(ready.startswith(b"READY I "), ready)
                self.assertEqual(await reader.readuntil(b"\r\n"), b"ROW -\r\n")
                writer.close()
                await asyncio.sleep(0.1)

    async def test_an_idle_session_stays_open(self) -> None:
        client = await self.open_session()
        for seconds in (0, 100):
            self.expire_in(seconds)
        self.assertEqual((await client.query("READ x"))[0], "ROW -")

    async def test_a_message_of_the_greatest_size_is_served(self) -> None:
        client = await self.open_session()
        item = "i" * (_MIB - 100)
        self.assertEqual((await client.query(f"READ {item}"))[0], "ROW -")
        self.assertEqual(self.server.usage.total, 0)

    async def test_pipelined_messages_are_answered_in_order(self) -> None:
        reader, writer = await self.connect()
        lines = [f"CONNECT {line_cluster.PRIMARY_DB} x"]
        lines += [f"QUERY {n} SET n{n % 50} x" for n in range(3_000)]
        lines += ["QUERY last READ x", "TERMINATE"]
        data = "".join(line + "\r\n" for line in lines).encode()
        for start in range(0, len(data), 7_001):
            writer.write(data[start : start + 7_001])
        received = (await reader.read()).decode().split("\r\n")
        self.assertEqual(received.count("COMPLETE -"), 3_000)
        self.assertEqual(received[-4], "ROW -")

    async def test_a_pipeline_lets_other_callers_run(self) -> None:
        """Guards against a pipeline that keeps the event loop to itself."""
        other = await self.open_session()
        reader, writer = await self.connect()
        lines = [f"CONNECT {line_cluster.PRIMARY_DB} x"]
        lines += [f"QUERY {n} SET name x" for n in range(3_000)]
        writer.write("".join(line + "\r\n" for line in lines).encode())
        await reader.readline()
        await other.query("SET name x")
        self.assertTrue(any(c.is_processing for c in self.server.callers))

    async def test_large_messages_of_several_callers_are_served(self) -> None:
        clients = [await self.open_session() for _ in range(_CONNECTIONS)]
        item = "i" * (_MIB - 100)
        answers = await asyncio.gather(
            *(client.query(f"READ {item}") for client in clients)
        )
        self.assertEqual([a[0] for a in answers], ["ROW -"] * _CONNECTIONS)


class OverloadTest(_ListenerTestCase):
    """Databases that run one statement at a time."""

    work = line_group.Capacity(1, datetime.timedelta(milliseconds=900))
    connections = 12

    async def test_a_rejected_pipeline_waits(self) -> None:
        """Guards against rejected requests that take every free place."""
        requests = [f"QUERY {n} READ x" for n in range(2_000)]
        lines = [f"CONNECT {line_cluster.PRIMARY_DB} x", *requests]
        data = "".join(line + "\r\n" for line in lines).encode()
        for _ in range(self.connections):
            _, writer = await self.connect()
            writer.write(data)
        await asyncio.sleep(4)
        details = [
            recorded.event.detail
            for recorded in self.cluster.proxies[0].journal.events
            if isinstance(recorded.event, platform_events.RequestEnded)
        ]
        self.assertIn("overloaded", " ".join(details))
        self.assertLess(len(details), 100)
