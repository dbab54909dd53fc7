"""Tests that the log tells the causes of a caller's wrong answer apart.

The steps are those of docs/OPERATIONS.md, "From a caller's wrong answer to its
cause". The proxy is real; the databases are stand-ins.
"""

from __future__ import annotations

import asyncio

import logbook
import orjson

from hickorygate.operators import event_log
from hickorygate.platform import database
from hickorygate.testing import clock
from hickorygate.testing import line_cluster
from hickorygate.testing import virtual_time
from hickorygate.upstreams import member as members

_CAUSES = ("MessagesRejected", "AnswerDiscarded", "RequestRetried")
_ANSWER_TO_NOTHING = b"COMPLETE -\r\nREADY I 1.0\r\n"
_PRIMARY = "a"
_PAUSE_SECONDS = 0.1


class _Lines(logbook.Handler):
    """A handler that keeps the decoded lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[dict[str, object]] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.lines.append(orjson.loads(record.message))


class WrongAnswerLinesTest(virtual_time.VirtualTimeTestCase):
    """Each cause leaves its own lines, and not those of the others."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                clock=virtual_time.LoopClock(asyncio.get_running_loop())
            )
        )
        self.client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await self.client.query("READ x")
        self.start = len(self.cluster.proxies[0].journal.events)

    def lines(self) -> list[dict[str, object]]:
        """Returns the lines of the log since the session was opened."""
        handler = _Lines()
        log = event_log.EventLog("p", clock.FakeClock(), handler)
        for recorded in self.cluster.proxies[0].journal.events[self.start :]:
            log.record(recorded.event)
        return handler.lines

    def named(self, event: str) -> list[dict[str, object]]:
        """Returns the lines about one event."""
        return [line for line in self.lines() if line["event"] == event]

    def causes(self) -> set[object]:
        """Returns which of the lines that name a cause there are."""
        found = {line["event"] for line in self.lines()}
        return found.intersection(_CAUSES)

    def ended(self, request: str) -> dict[str, object]:
        """Returns the line about a request."""
        (found,) = (
            line
            for line in self.named("RequestEnded")
            if line["request"] == request
        )
        return found

    async def connect_to(self, sent: bytes) -> None:
        """Connects to a database that sends something unasked."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readline()
            writer.write(b"READY I 1.0\r\n")
            await asyncio.sleep(_PAUSE_SECONDS)
            writer.write(sent)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        member = members.Member(
            "i-1", 1, "s", "127.0.0.1", port, "a", 2, False, True
        )
        connector = database.DatabaseConnector(self.cluster.proxies[0].journal)
        opened = await connector.open(member, lambda: None)
        self.assertTrue(opened.is_ok(), opened)
        self.addCleanup(opened.ok.close)
        await asyncio.sleep(2 * _PAUSE_SECONDS)

    async def test_a_message_that_ended_too_early(self) -> None:
        await self.client.send("QUERY aa WRITE x 1\r\nthe rest of its text")
        rejected = await self.client.receive()
        self.assertTrue(rejected[0].startswith("ERROR MALFORMED"), rejected)
        self.assertEqual(self.causes(), {"MessagesRejected"})
        (line,) = (
            line for line in self.lines() if line["event"] == "MessagesRejected"
        )
        self.assertEqual(line["cause"], "not a message, in a session")
        self.assertEqual(self.ended("aa")["outcome"], "ok")

    async def test_a_database_that_answers_out_of_turn(self) -> None:
        await self.connect_to(_ANSWER_TO_NOTHING)
        self.assertEqual(self.causes(), {"AnswerDiscarded"})
        (line,) = self.named("AnswerDiscarded")
        self.assertEqual(line["database"], "i-1")
        self.assertIn("an answer to nothing", str(line["reason"]))
        self.assertEqual(line["requests"], "")

    async def test_a_database_that_sends_no_message(self) -> None:
        await self.connect_to(b"HTTP/1.1 400 \xff\r\n")
        self.assertEqual(self.causes(), {"AnswerDiscarded"})
        (line,) = self.named("AnswerDiscarded")
        self.assertIn("unknown word b'HTTP/1.1'", str(line["reason"]))

    async def test_a_lost_connection(self) -> None:
        primary = self.cluster.group.databases[_PRIMARY]
        primary.faults.lose_answers = 1
        await self.client.send("QUERY aa WRITE x 1")
        self.assertEqual(self.causes(), set())
        line = self.ended("aa")
        self.assertEqual(line["outcome"], "unknown")
        self.assertEqual(line["served_by"], _PRIMARY)
        self.assertIn("closed by the database", str(line["detail"]))
        self.assertEqual(line["signature"], "")

    async def test_a_read_whose_connection_was_lost(self) -> None:
        primary = self.cluster.group.databases[_PRIMARY]
        primary.faults.lose_answers = 1
        answer = await self.client.send("QUERY aa READ x")
        self.assertEqual(answer[0], "ROW -")
        self.assertEqual(self.causes(), {"RequestRetried"})
        (line,) = self.named("RequestRetried")
        self.assertIn("closed by the database", str(line["reason"]))
        self.assertEqual(self.ended("aa")["outcome"], "ok")
