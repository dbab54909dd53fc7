"""Tests that texts of callers reach the log and the caller as one line."""

from __future__ import annotations

import asyncio

import logbook
import orjson

from hickorygate.operators import event_log
from hickorygate.testing import clock
from hickorygate.testing import line_cluster
from hickorygate.testing import virtual_time

_ODD = b'a\x00\x1b[2J\r"\\\xff\xed\xa0\x80'.decode(errors="surrogateescape")


class _Lines(logbook.Handler):
    """A handler that keeps the lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.lines.append(record.message)


class OddCallerTextsTest(virtual_time.VirtualTimeTestCase):
    """A caller at one proxy that sends bytes that aren't text."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                clock=virtual_time.LoopClock(asyncio.get_running_loop())
            )
        )
        self.port = self.cluster.proxies[0].server.port

    async def connect(self, database: str, user: str) -> list[str]:
        """Opens the session `self.client` and returns the answer."""
        streams = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(streams[1].close)
        self.client = line_cluster.LineClient(*streams)
        return await self.client.send(f"CONNECT {database} {user}")

    def lines(self) -> list[dict[str, object]]:
        """Returns the decoded lines of the log, each checked to be one."""
        handler = _Lines()
        log = event_log.EventLog("p", clock.FakeClock(), handler)
        for recorded in self.cluster.proxies[0].journal.events:
            log.record(recorded.event)
        for line in handler.lines:
            self.assertTrue(line.isprintable(), line)
            self.assertEqual(line.encode().decode(), line)
        return [orjson.loads(line) for line in handler.lines]

    async def test_request_ids_and_statements(self) -> None:
        # Guards against an event whose line can't be encoded, which would end
        # the request, and against a second line in the log.
        await self.connect(line_cluster.PRIMARY_DB, "x")
        for text in (f"READ {_ODD}", f"{_ODD} x", f"EXECUTE {_ODD} x"):
            answer = await self.client.send(f"QUERY {_ODD} {text}")
            self.assertTrue(answer[-1].startswith("READY"), answer)
        found = [
            line["request"]
            for line in self.lines()
            if line["event"] == "RequestEnded"
        ]
        shown = _ODD.encode(errors="backslashreplace").decode()
        self.assertEqual(found, [shown] * 3)

    async def test_names_of_databases_and_users(self) -> None:
        answer = await self.connect(_ODD, "x")
        self.assertEqual(len(answer), 1)
        self.assertTrue(answer[0].startswith("ERROR UNKNDB"), answer)
        answer = await self.connect(line_cluster.PRIMARY_DB, _ODD)
        self.assertEqual(answer, ["READY I -"])
        answer = await self.client.query("READ x")
        self.assertEqual(answer[0], "ROW -")
        self.lines()

    async def test_messages_that_are_not_understood(self) -> None:
        await self.connect(line_cluster.PRIMARY_DB, "x")
        await self.client.send(_ODD)
        found = [line["event"] for line in self.lines()]
        self.assertIn("MessagesRejected", found)
