"""Tests that a message of a peer counts once, for its own request.

Scripted peers repeat, delay and reorder their messages: a proxy at either end
of a link, on virtual time, and a MySQL upstream.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import random
import unittest

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position
from hickorygate.core import reply as replies
from hickorygate.core import settings as core_settings
from hickorygate.core import sheet
from hickorygate.proxies import link_state
from hickorygate.proxies import statement_codec
from hickorygate.proxies import statement_link
from hickorygate.proxies import statement_messages as messages
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time
from hickorygate.upstreams import connection as connections

_SERVICE = "ledger"
_START = messages.TransactionStart
_ANSWERED = messages.Verdict.ANSWERED
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_SETTLED = 3.0
"""Seconds after which a statement that was sent has been answered."""

_LIMIT = datetime.timedelta(seconds=1)
_ODD = (
    "a\r\nQUERY 1 COMMIT",
    "a\nb",
    "a\rb",
    "\r\n",
    "",
    " ",
    "a\x00b",
    "\udc80\udcff",
    "\xe9\u2028\x85\U0001f600",
    "\x93\xc0\xc1",
)
"""Texts with characters that mean something in some encoding."""


def _statement(number: int, text: str = "WRITE x 1") -> messages.RunStatement:
    return messages.RunStatement(
        number=number,
        transaction=0,
        start=_START.CONTINUES,
        request_id=f"r{number}",
        operation=operations.Write(text),
        prepared=None,
        values={},
        floor=None,
        database=line_cluster.PRIMARY_DB,
        service=_SERVICE,
        workspace="",
        version=0,
        time_left_ms=2_000,
    )


def _packet(sequence: int, payload: bytes) -> bytes:
    """Returns a packet of a MySQL server."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


def _ok(sequence: int, rows: int) -> bytes:
    """Returns a packet for a statement that changed a number of rows."""
    return _packet(sequence, b"\x00" + bytes((rows, 0)) + b"\x02\x00\x00\x00")


def _greeting() -> bytes:
    version = b"\x0a8.0.0\x00" + (1).to_bytes(4, "little")
    capabilities = b"\xff\xf7\x21\x02\x00\xff\x81\x15"
    salt = b"12345678\x00", bytes(10) + b"123456789012\x00"
    plugin = b"mysql_native_password\x00"
    return _packet(0, version + salt[0] + capabilities + salt[1] + plugin)


class _Gateway:
    """A scripted gateway at the other end of a server's link."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._frames = statement_codec.FrameBuffer()

    def send(self, *sent: messages.LinkMessage) -> None:
        for message in sent:
            self._writer.write(statement_codec.encode(message))

    async def receive(
        self, count: int | None = None
    ) -> tuple[list[messages.LinkMessage], bool]:
        """Returns what arrives, and whether the link is closed.

        Args:
          count: number of messages to wait for; None waits for the close.
        """
        received: list[messages.LinkMessage] = []
        try:
            async with asyncio.timeout(_SETTLED):
                while count is None or len(received) < count:
                    data = await self._reader.read(65_536)
                    if not data:
                        return received, True
                    found = map(statement_codec.decode, self._frames.feed(data))
                    received += found
        except TimeoutError:
            pass
        except ConnectionError:
            return received, True
        return received, self._reader.at_eof()

    def close(self) -> None:
        self._writer.close()


class ServingEndTest(virtual_time.VirtualTimeTestCase):
    """Statements that come twice or out of order to a serving proxy."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                proxies=1,
                clock=virtual_time.LoopClock(asyncio.get_running_loop()),
                work=line_group.Capacity(),
            )
        )
        self.proxy = self.cluster.proxies[0]
        self.gateway = await self.connect()

    async def connect(self) -> _Gateway:
        """Returns a gateway whose link is accepted."""
        found = await asyncio.open_connection(
            "127.0.0.1", self.proxy.statements.port
        )
        gateway = _Gateway(*found)
        self.addCleanup(gateway.close)
        gateway.send(messages.Hello("gateway", self.proxy.name))
        self.assertEqual(
            await gateway.receive(1), ([messages.Welcome()], False)
        )
        return gateway

    def runs(self, text: str) -> int:
        """Returns how often the databases ran a statement."""
        databases = self.cluster.group.databases.values()
        ran = [found for database in databases for _, found in database.ran]
        return ran.count(text)

    # Guards against a write that takes effect twice.
    async def test_a_statement_that_comes_again_does_not_run_again(
        self,
    ) -> None:
        self.gateway.send(_statement(1))
        received, closed = await self.gateway.receive(1)
        self.assertEqual([m.number for m in received], [1])
        self.assertFalse(closed)
        self.gateway.send(_statement(1))
        received, closed = await self.gateway.receive()
        self.assertEqual((received, closed), ([], True))
        self.assertEqual(self.runs("WRITE x 1"), 1)

    async def test_a_statement_that_comes_twice_at_once_runs_once(self) -> None:
        self.gateway.send(_statement(1), _statement(1))
        received, closed = await self.gateway.receive()
        self.assertEqual((received, closed), ([], True))
        self.assertLessEqual(self.runs("WRITE x 1"), 1)

    # Guards against a statement whose gateway has given it up.
    async def test_an_older_statement_does_not_run(self) -> None:
        self.gateway.send(_statement(5))
        await self.gateway.receive(1)
        self.gateway.send(_statement(4, "WRITE y 2"))
        self.assertEqual(await self.gateway.receive(), ([], True))
        self.assertEqual(self.runs("WRITE y 2"), 0)

    # Guards against a transaction that opens again after its end.
    async def test_a_transactions_first_statement_does_not_open_it_again(
        self,
    ) -> None:
        first = dataclasses.replace(
            _statement(2), transaction=1, start=_START.READ_WRITE
        )
        self.gateway.send(first)
        received, _ = await self.gateway.receive(1)
        self.assertIs(received[0].state, _IN_TRANSACTION)
        self.gateway.send(messages.AbortTransaction(1), first)
        self.assertEqual(await self.gateway.receive(), ([], True))
        self.assertEqual(self.runs("WRITE x 1"), 1)
        (link,) = self.proxy.statements.links or (None,)
        self.assertIsNone(link)

    async def test_numbers_begin_anew_on_another_link(self) -> None:
        other = await self.connect()
        for gateway in (self.gateway, other):
            gateway.send(_statement(1))
            received, closed = await gateway.receive(1)
            self.assertEqual([m.number for m in received], [1])
            self.assertFalse(closed)

    async def test_a_recall_of_an_ended_statement_changes_nothing(self) -> None:
        self.gateway.send(_statement(1))
        await self.gateway.receive(1)
        recall = messages.RecallStatement(
            1, replies.RejectionReason.TIMED_OUT, "late"
        )
        self.gateway.send(recall, _statement(2, "WRITE y 2"))
        received, closed = await self.gateway.receive(1)
        self.assertEqual([m.number for m in received], [2])
        self.assertIs(received[0].verdict, _ANSWERED)
        self.assertFalse(closed)


class _Listener:
    """Ignores what happens to a link, except for versions."""

    def __init__(self) -> None:
        self.lost: list[str] = []

    def link_refused(self, server: str) -> None:
        pass

    def link_lost(self, server: str, reason: str, outstanding: int) -> None:
        self.lost.append(reason)

    def version_seen(self, version: int) -> None:
        pass

    def rights_received(self, server: str, message: messages.Rights) -> None:
        pass

    def server_leaving(self, server: str) -> None:
        pass


class GatewayEndTest(virtual_time.VirtualTimeTestCase):
    """Replies that come twice, late or for nothing to a gateway."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.listener = _Listener()
        self.peers: list[_Gateway] = []
        self.server = await asyncio.start_server(
            lambda *found: self.peers.append(_Gateway(*found)), "127.0.0.1", 0
        )
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.link = statement_link.StatementLink(
            "gateway", "server", self.listener, self.clock
        )
        self.addCleanup(self.link.close)
        self.connection = await self.open()

    async def open(self) -> statement_link.StatementConnection:
        """Opens the link and accepts it at the other end."""
        opening = asyncio.create_task(self.link.ready(self.address))
        peers = len(self.peers)
        while len(self.peers) == peers:
            await asyncio.sleep(0.01)
        self.peers[-1].send(messages.Welcome())
        self.addCleanup(self.peers[-1].close)
        connection = await opening
        self.assertIsNotNone(connection)
        return connection

    def run_statement(
        self, seconds: float = 5.0
    ) -> tuple[int, asyncio.Future[statement_link.LinkReply]]:
        number = self.connection.next_number()
        deadline = self.clock.now() + datetime.timedelta(seconds=seconds)
        return number, self.connection.run(_statement(number), deadline, True)

    async def reply(self, *numbers: int, peer: int = -1) -> None:
        """Replies to statements; each reply's row names its number."""
        for number in numbers:
            self.peers[peer].send(
                messages.StatementReply(
                    number, _ANSWERED, rows=(b"%d" % number,)
                )
            )
        await asyncio.sleep(0.05)

    def assert_row(
        self, future: asyncio.Future[statement_link.LinkReply], number: int
    ) -> None:
        self.assertEqual(future.result().rows, (b"%d" % number,))

    async def test_a_second_reply_is_nobodys(self) -> None:
        first, answered = self.run_statement()
        await self.reply(first, first)
        self.assert_row(answered, first)
        second, waits = self.run_statement()
        await self.reply(first)
        self.assertFalse(waits.done())
        await self.reply(second)
        self.assert_row(waits, second)

    async def test_a_reply_to_a_later_number_is_nobodys(self) -> None:
        first, waits = self.run_statement()
        await self.reply(first + 1, first + 2)
        self.assertFalse(waits.done())
        second, later = self.run_statement()
        self.assertFalse(later.done())
        await self.reply(second, first)
        self.assert_row(waits, first)
        self.assert_row(later, second)

    async def test_a_reply_after_the_deadline_is_nobodys(self) -> None:
        first, overdue = self.run_statement(0.1)
        await asyncio.sleep(0.2)
        self.connection.check(self.clock.now(), datetime.timedelta())
        self.assertTrue(overdue.done())
        second, waits = self.run_statement()
        await self.reply(first)
        self.assertFalse(waits.done())
        await self.reply(second)
        self.assert_row(waits, second)

    async def test_a_reply_of_a_former_connection_is_nobodys(self) -> None:
        former, _ = self.run_statement()
        self.connection.close("cut")
        self.connection = await self.open()
        number, waits = self.run_statement()
        self.assertEqual(number, former)
        await self.reply(former, peer=0)
        self.assertFalse(waits.done())
        await self.reply(number)
        self.assert_row(waits, number)

    async def test_a_second_pong_says_nothing(self) -> None:
        state = link_state.LinkState()
        now = self.clock.now()
        state.opened(now)
        state.ping_sent(1, now)
        state.pong_received(1, now)
        state.ping_sent(2, now)
        state.pong_received(1, now + datetime.timedelta(seconds=9))
        self.assertIs(state.quality(now), link_state.LinkQuality.GOOD)


class OddTextTest(unittest.TestCase):
    """Texts keep their place in the fields of a message."""

    def check(self, message: messages.LinkMessage) -> None:
        """Sends a message between two others, in pieces of any size."""
        sent = [messages.Ping(1), message, messages.Ping(2)]
        data = b"".join(map(statement_codec.encode, sent))
        for size in (1, 3, len(data)):
            frames = statement_codec.FrameBuffer()
            pieces = [data[n : n + size] for n in range(0, len(data), size)]
            received = [
                statement_codec.decode(payload)
                for piece in pieces
                for payload in frames.feed(piece)
            ]
            self.assertEqual(received, sent)

    def test_statements(self) -> None:
        generator = random.Random(49)
        for kind in (operations.Read, operations.Write, operations.Commit):
            for odd in _ODD:
                others = generator.choices(_ODD, k=6)
                self.check(
                    dataclasses.replace(
                        _statement(1),
                        request_id=others[0],
                        operation=kind(odd),
                        values={odd: others[1], others[2] + "x": odd},
                        database=others[3],
                        service=others[4],
                        workspace=others[5],
                    )
                )

    def test_executions(self) -> None:
        for name in _ODD:
            for arguments in _ODD:
                self.check(
                    dataclasses.replace(
                        _statement(1),
                        operation=operations.Execute(name, arguments),
                        prepared=operations.PreparedStatement(True, arguments),
                    )
                )

    def test_replies(self) -> None:
        raw = [odd.encode("utf-8", "surrogateescape") for odd in _ODD]
        for odd in _ODD:
            self.check(
                messages.StatementReply(
                    number=1,
                    verdict=messages.Verdict.REJECTED,
                    rows=tuple(raw),
                    signature=raw[0],
                    reason=replies.RejectionReason.FAILED,
                    detail=odd,
                    position=position.Position(1, 2),
                    served_by=odd,
                )
            )

    def test_other_messages(self) -> None:
        for odd in _ODD:
            self.check(messages.Hello(odd, odd))
            self.check(
                messages.RecallStatement(
                    1, replies.RejectionReason.TIMED_OUT, odd
                )
            )
            self.check(messages.RightsRequest(1, 2, (odd,)))
            self.check(
                messages.Rights(1, (), (messages.KnownFleet(odd, {odd: 1.0}),))
            )


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    """A MySQL upstream that sends answers nobody asked for.

    Its answer to a statement says as many changed rows as the statement has
    characters.
    """

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.writers: list[asyncio.StreamWriter] = []
        self.addAsyncCleanup(asyncio.sleep, 0.01)  # Ends the handlers.
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.connection = await self.open()

    async def open(self) -> connections.Connection:
        database = sheet.Database(
            name="a",
            host="127.0.0.1",
            port=self.server.sockets[0].getsockname()[1],
            zone="a",
            connections=1,
            slots=1,
        )
        opened = await connections.open_connection(
            database, core_settings.UpstreamSettings()
        )
        self.addCleanup(opened.ok.close)
        return opened.ok

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        self.addCleanup(writer.close)
        writer.write(_greeting())
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readexactly(4)
            await reader.readexactly(int.from_bytes(head[:3], "little"))
            writer.write(_ok(2, 0))
            while True:
                head = await reader.readexactly(4)
                size = int.from_bytes(head[:3], "little")
                await reader.readexactly(size)
                writer.write(_ok(1, size - 1))

    async def changed(self, sql: str) -> int | None:
        """Runs a statement; returns its changed rows, None for a failure."""
        ran = await self.connection.execute(sql, _LIMIT)
        return ran.ok.affected_rows if ran.is_ok() else None

    async def send_unasked(self, data: bytes) -> None:
        self.writers[-1].write(data)
        await asyncio.sleep(0.05)

    # Guards against a statement that gets an earlier statement's answer.
    async def test_a_second_answer_is_not_the_next_statements(self) -> None:
        self.assertEqual(await self.changed("long statement"), 14)
        await self.send_unasked(_ok(1, 14))
        for _ in range(2):
            self.assertIn(await self.changed("short"), (5, None))

    async def test_a_failure_that_comes_late_is_not_the_next_statements(
        self,
    ) -> None:
        self.assertEqual(await self.changed("long statement"), 14)
        await self.send_unasked(_packet(1, b"\xff\x48\x04#HY000late"))
        ran = await self.connection.execute("short", _LIMIT)
        self.assertTrue(ran.is_error())
        self.assertIs(ran.error.outcome, errors.Outcome.NOT_RUN)
        self.assertTrue(self.connection.closed)

    async def test_a_ping_takes_no_earlier_answer(self) -> None:
        await self.changed("long statement")
        await self.send_unasked(_ok(1, 14))
        self.assertTrue((await self.connection.ping(_LIMIT)).is_error())

    # Guards against the lending of a connection on which answers are shifted.
    async def test_a_connection_with_unread_data_is_not_reusable(self) -> None:
        await self.changed("long statement")
        self.assertTrue(self.connection.reusable)
        await self.send_unasked(_ok(1, 14))
        self.assertFalse(self.connection.reusable)

    async def test_an_answer_with_another_sequence_id_is_none(self) -> None:
        await self.changed("long statement")
        await self.send_unasked(_ok(2, 14))
        self.assertIn(await self.changed("short"), (5, None))
