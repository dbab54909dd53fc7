"""Tests that the log names the answer that each request got."""

from __future__ import annotations

import asyncio
import dataclasses

import logbook
import orjson

from hickorygate.core import platform_events
from hickorygate.operators import event_log
from hickorygate.testing import clock
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time


class _Lines(logbook.Handler):
    """A handler that keeps the decoded lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[dict[str, object]] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.lines.append(orjson.loads(record.message))


class AnswerSignatureTest(virtual_time.VirtualTimeTestCase):
    """A caller at one proxy with three databases."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                clock=virtual_time.LoopClock(asyncio.get_running_loop())
            )
        )
        self.client = await self.cluster.connect(line_cluster.PRIMARY_DB)

    def lines(self) -> dict[str, dict[str, object]]:
        """Returns the lines about requests, by request id."""
        handler = _Lines()
        log = event_log.EventLog("p", clock.FakeClock(), handler)
        for recorded in self.cluster.proxies[0].journal.events:
            if isinstance(recorded.event, platform_events.RequestEnded):
                log.record(recorded.event)
        return {str(line["request"]): line for line in handler.lines}

    async def test_a_line_has_the_signature_that_the_caller_got(self) -> None:
        # Guards against issue 49: from two logs nobody could tell that a
        # caller had got the answer to another request.
        for number, text in enumerate(("READ x", "WRITE x 1", "READ x")):
            answer = await self.client.send(f"QUERY aa{number} {text}")
            line = self.lines()[f"aa{number}"]
            self.assertIn(f"COMPLETE {line['signature']}", answer)
            self.assertEqual(
                line["signature"],
                line_group.execution_digest(
                    str(line["served_by"]), f"aa{number}"
                ),
            )

    async def test_answers_without_a_signature_have_none_in_the_log(
        self,
    ) -> None:
        await self.client.send("QUERY aa SET name value")
        await self.client.send("QUERY bb no statement")
        found = self.lines()
        self.assertEqual(found["aa"]["signature"], "")
        self.assertEqual(found["bb"]["outcome"], "malformed")
        self.assertEqual(found["bb"]["signature"], "")

    async def test_bytes_that_are_not_utf_8_are_escaped(self) -> None:
        handler = _Lines()
        log = event_log.EventLog("p", clock.FakeClock(), handler)
        await self.client.send("QUERY aa READ x")
        (ended,) = (
            recorded.event
            for recorded in self.cluster.proxies[0].journal.events
            if isinstance(recorded.event, platform_events.RequestEnded)
        )
        self.assertIsInstance(ended.signature, bytes)
        for signature, shown in (
            (b"1.\xff\r\n", "1.\\xff\r\n"),
            (b"9" * 600, "9" * 512 + "..."),
        ):
            log.record(dataclasses.replace(ended, signature=signature))
            self.assertEqual(handler.lines[-1]["signature"], shown)
