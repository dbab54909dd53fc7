"""Tests the MySQL server: bad input, disconnects, drain and back-pressure."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import datetime
import unittest

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import server
from hickorygate.callers import stream
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.testing import raw_client
from hickorygate.upstreams import answer

_TIMEOUT = datetime.timedelta(seconds=10)
_CONNECTIONS = 100
_COLUMN = answer.Column("a", 253, 45)
_ROW = "x" * 1_000
_ROWS = 40_000
_SOCKET_BYTES = 16 * 1_048_576
"""Upper bound of what the kernel buffers between two local sockets."""


async def _lose_one_cancellation() -> None:
    """Waits for ever; discards the first cancellation, as libraries can."""
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await asyncio.Event().wait()


class _Handler:
    """A handler whose answer depends on the text of the statement."""

    def __init__(self, test: _ServerCase) -> None:
        self._test = test
        self.autocommit = True
        self.in_transaction = False
        test.handlers.append(self)
        self.closed = asyncio.Event()
        self.produced = 0
        self.attributes: Mapping[str, str] = {}

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        return expression.Ok(None)

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        if self._test.login_fault is not None:
            raise self._test.login_fault
        return expression.Ok(None)

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handlers.AnswerResult:
        self.attributes = attributes
        match sql:
            case "wait":
                self._test.waiting.set()
                await self._test.proceed.wait()
            case "lose cancellation":
                self._test.waiting.set()
                await _lose_one_cancellation()
            case "begin":
                self.in_transaction = True
            case "commit":
                self.in_transaction = False
            case "rows":
                table = answer.ResultSet(0, (_COLUMN,), self._rows())
                return expression.Ok(table)
            case "fault":
                raise ZeroDivisionError
        return expression.Ok(answer.EMPTY_ANSWER)

    async def select_schema(
        self, schema: types.SchemaName
    ) -> handlers.AnswerResult:
        return expression.Ok(answer.EMPTY_ANSWER)

    async def reset(self) -> None:
        self.in_transaction = False

    async def close(self) -> None:
        self.closed.set()

    async def _rows(self) -> AsyncIterator[types.Row]:
        for _ in range(_ROWS):
            self.produced += 1
            yield (_ROW,)


class _ServerCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server with the test's handler."""

    async def asyncSetUp(self) -> None:
        self.handlers: list[_Handler] = []
        self.login_fault: Exception | None = None
        self.waiting = asyncio.Event()
        self.proceed = asyncio.Event()
        self.server = server.Server(
            lambda: _Handler(self),
            {"vet": ""},
            statement_limit=1_000,
            connection_limit=_CONNECTIONS,
        )
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def log_in(self) -> raw_client.RawClient:
        client = await raw_client.log_in(self.server.port, "vet")
        self.addAsyncCleanup(client.close)
        return client

    async def assert_answers_ping(self, client: raw_client.RawClient) -> None:
        client.send(b"\x0e")
        self.assertEqual((await client.read())[:1], b"\x00")


class QueryAttributeTest(_ServerCase):
    """Query attributes that a client sends along with a statement."""

    async def test_attribute_reaches_the_handler(self) -> None:
        client = await raw_client.log_in(
            self.server.port, "vet", attributes=True
        )
        self.addAsyncCleanup(client.close)
        client.query_with_attribute("begin", "hickorygate_rank", "urgent")
        self.assertEqual((await client.read())[:1], b"\x00")
        (handler,) = self.handlers
        self.assertEqual(handler.attributes, {"hickorygate_rank": "urgent"})
        self.assertTrue(handler.in_transaction)


class PipelinedCommandsTest(_ServerCase):
    """Commands that are sent before the earlier ones are answered."""

    # Guards against an answer that goes to another command of the caller.
    async def test_answers_come_in_the_order_of_the_commands(self) -> None:
        client = await self.log_in()
        client.query("wait")
        await self.waiting.wait()
        client.send(b"\x99")
        client.query("begin")
        client.query("x" * 2_000)
        client.send(b"\x0e")
        self.proceed.set()
        heads = [(await client.read())[:1] for _ in range(5)]
        self.assertEqual(heads, [b"\x00", b"\xff", b"\x00", b"\xff", b"\x00"])
        (handler,) = self.handlers
        self.assertTrue(handler.in_transaction)

    # Guards against a command that is made of the rest of another one.
    async def test_a_command_in_pieces_is_one_command(self) -> None:
        client = await self.log_in()
        statement = b"\x03begin"
        packet = len(statement).to_bytes(3, "little") + b"\x00" + statement
        for number in range(len(packet)):
            client.send_bytes(packet[number : number + 1])
            await asyncio.sleep(0)
        self.assertEqual((await client.read())[:1], b"\x00")
        await self.assert_answers_ping(client)
        (handler,) = self.handlers
        self.assertTrue(handler.in_transaction)


class BadInputTest(_ServerCase):
    """Malformed packets, unsupported commands and oversized statements."""

    async def test_malformed_packet_ends_only_its_own_connection(self) -> None:
        other = await self.log_in()
        for name, data in {
            "cut short": b"\x0a\x00\x00\x00\x03SEL",
            "wrong sequence": b"\x01\x00\x00\x07\x0e",
            "empty": b"\x00\x00\x00\x00",
            "cut body": b"\x03\x00\x00\x00\x17\x01\x00",
        }.items():
            with self.subTest(name):
                client = await self.log_in()
                client.send_bytes(data)
                if name == "cut short":
                    await client.close()
                async with asyncio.timeout(_TIMEOUT.total_seconds()):
                    await client.read_to_end()
                await self.assert_answers_ping(other)

    async def test_truncated_login_is_refused_and_closed(self) -> None:
        for size in range(0, 36, 5):
            with self.subTest(size):
                client = await raw_client.connect(self.server.port)
                await client.read()
                client.send(b"\x01\x82\x00\x00" + b"a" * size, sequence=1)
                async with asyncio.timeout(_TIMEOUT.total_seconds()):
                    self.assertEqual(await client.read_error_code(), 1835)
                    await client.read_to_end()
                await client.close()

    async def test_unexpected_error_in_a_login_is_not_called_a_timeout(
        self,
    ) -> None:
        for fault, text in (
            (ZeroDivisionError(), b"ZeroDivisionError"),
            (TimeoutError(), b"no login in time"),
        ):
            with self.subTest(fault):
                self.login_fault = fault
                client = await raw_client.connect(self.server.port)
                self.addAsyncCleanup(client.close)
                await client.read()
                client.send(raw_client.login_packet("vet"), sequence=1)
                async with asyncio.timeout(_TIMEOUT.total_seconds()):
                    self.assertIn(text, await client.read())
        self.login_fault = None
        await self.assert_answers_ping(await self.log_in())

    async def test_refused_command_keeps_the_connection(self) -> None:
        client = await self.log_in()
        for payload, code in (
            (b"\x03" + b"x" * 2_000, 1153),
            (b"\x1d", 1047),
            (b"\x17\x09\x00\x00\x00\x00\x01\x00\x00\x00", 1243),
            (b"\x1c\x09\x00\x00\x00\x01\x00\x00\x00", 1421),
            (b"\x03\xff\xfe", 1115),
        ):
            with self.subTest(code):
                client.send(payload)
                self.assertEqual(await client.read_error_code(), code)
                await self.assert_answers_ping(client)

    async def test_many_oversized_statements_are_refused(self) -> None:
        client = await self.log_in()
        for _ in range(1_500):
            client.query("x" * 1_001)
            self.assertEqual(await client.read_error_code(), 1153)
        await self.assert_answers_ping(client)

    async def test_internal_error_is_sent_and_ends_the_connection(self) -> None:
        client = await self.log_in()
        client.query("fault")
        self.assertEqual(await client.read_error_code(), 1105)
        self.assertEqual(await client.read(), b"")


class CallerTest(_ServerCase):
    """Callers that disconnect or read slowly."""

    async def test_disconnect_cancels_the_statement(self) -> None:
        client = await self.log_in()
        client.query("wait")
        await self.waiting.wait()
        await client.close()
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            await self.handlers[0].closed.wait()

    async def test_connections_beyond_the_limit_get_an_error(self) -> None:
        clients = [await self.log_in() for _ in range(_CONNECTIONS)]
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        refusal = await reader.read()
        self.assertEqual(refusal[4:7], b"\xff\x10\x04")
        self.assertEqual(len(refusal), 4 + refusal[0])
        await self.assert_answers_ping(clients[-1])

    async def test_slow_caller_pauses_the_rows(self) -> None:
        client = await self.log_in()
        client.query("rows")
        produced = -1
        while produced != self.handlers[0].produced:
            produced = self.handlers[0].produced
            await asyncio.sleep(0.05)
        buffered = produced * len(_ROW)
        self.assertLess(buffered, _SOCKET_BYTES + 4 * stream.BUFFER_BYTES)
        received = 0
        while not (packet := await client.read()).startswith(b"\xfe"):
            received += packet == b"\xfc\xe8\x03" + _ROW.encode()
        received += await self.count_rows(client)
        self.assertEqual(received, _ROWS)

    async def count_rows(self, client: raw_client.RawClient) -> int:
        received = 0
        while not (await client.read()).startswith(b"\xfe"):
            received += 1
        return received


class DrainTest(_ServerCase):
    """A drain lets the work in progress finish, up to a time limit."""

    def drain(self, timeout: datetime.timedelta = _TIMEOUT) -> asyncio.Task:
        return asyncio.create_task(self.server.drain(timeout))

    async def test_idle_caller_gets_a_shutdown_error(self) -> None:
        client = await self.log_in()
        drained = self.drain()
        await asyncio.sleep(0)
        client.query("late")
        self.assertEqual(await client.read_error_code(), 1053)
        await client.close()
        await drained
        self.assertEqual(self.server.connections, 0)

    async def test_running_statement_is_answered_first(self) -> None:
        client = await self.log_in()
        client.query("wait")
        await self.waiting.wait()
        drained = self.drain()
        await asyncio.sleep(0)
        self.proceed.set()
        self.assertEqual((await client.read())[:1], b"\x00")
        self.assertEqual(await client.read_error_code(), 1053)
        await client.close()
        await drained

    async def test_open_transaction_may_finish(self) -> None:
        client = await self.log_in()
        client.query("begin")
        await client.read()
        drained = self.drain()
        for sql in ("insert", "commit"):
            client.query(sql)
            self.assertEqual((await client.read())[:1], b"\x00")
        self.assertEqual(await client.read_error_code(), 1053)
        await client.close()
        await drained

    async def test_timeout_closes_the_remaining_connections(self) -> None:
        client = await self.log_in()
        client.query("begin")
        await client.read()
        await self.drain(datetime.timedelta(milliseconds=20))
        self.assertEqual(await client.read(), b"")
        self.assertTrue(self.handlers[0].closed.is_set())

    async def test_drain_ends_although_a_statement_loses_its_cancellation(
        self,
    ) -> None:
        client = await self.log_in()
        client.query("lose cancellation")
        await self.waiting.wait()
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            await self.drain(datetime.timedelta(milliseconds=20))
        self.assertEqual(self.server.connections, 0)
