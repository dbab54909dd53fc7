"""Tests that messages of callers that aren't understood leave a trace."""

from __future__ import annotations

import asyncio
import types

from hickorygate.core import platform_events
from hickorygate.operators import line_class
from hickorygate.operators import proxy_metrics
from hickorygate.operators import severity
from hickorygate.platform import line_server
from hickorygate.platform import settings
from hickorygate.testing import line_cluster
from hickorygate.testing import virtual_time

_INTERVAL_SECONDS = 10
_SESSION = "not a message, in a session"
_NO_SESSION = "not a message, before a session"


class RejectedMessagesTest(virtual_time.VirtualTimeTestCase):
    """A listener before stand-in databases."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(clock=clock)
        )
        self.server = line_server.LineServer(self.cluster.proxies[0].context)
        await self.server.start(settings.Address("127.0.0.1", 0))
        self.addCleanup(self.server.stop_listening)

    async def connect(self) -> line_cluster.LineClient:
        streams = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(streams[1].close)
        return line_cluster.LineClient(*streams)

    async def open_session(self) -> line_cluster.LineClient:
        client = await self.connect()
        await client.send(f"CONNECT {line_cluster.PRIMARY_DB} x")
        return client

    def recorded(self) -> list[tuple[str, int]]:
        return [
            (entry.event.cause, entry.event.count)
            for entry in self.cluster.proxies[0].journal.events
            if isinstance(entry.event, platform_events.MessagesRejected)
        ]

    def metrics(self) -> str:
        fleet = types.SimpleNamespace(groups={}, version=1)
        return proxy_metrics.render(
            proxy_metrics.EventStatistics(),
            fleet,
            0,
            0,
            types.SimpleNamespace(links={}, lost=0),
            types.SimpleNamespace(served={}, links=()),
            types.SimpleNamespace(largest_usage=dict),
            self.server.usage,
        ).decode()

    async def test_the_first_of_an_interval_is_reported_with_a_count(
        self,
    ) -> None:
        # Guards against issue 49: the rest of a message that ended too early
        # was answered as "not a message" and left no trace.
        client = await self.open_session()
        for _ in range(4):
            answer = await client.send("the rest of a text")
            self.assertTrue(answer[0].startswith("ERROR MALFORMED"), answer)
        self.assertEqual(self.recorded(), [(_SESSION, 1)])
        await asyncio.sleep(_INTERVAL_SECONDS)
        await client.send(f"CONNECT {line_cluster.PRIMARY_DB} x")
        self.assertEqual(self.recorded(), [(_SESSION, 1), (_SESSION, 4)])

    async def test_a_message_before_a_session_is_told_apart(self) -> None:
        await (await self.connect()).send("GET / HTTP/1.1")
        self.assertEqual(self.recorded(), [(_NO_SESSION, 1)])

    async def test_the_metrics_count_all_messages(self) -> None:
        client = await self.open_session()
        for _ in range(3):
            await client.send("the rest of a text")
        await (await self.connect()).send("GET / HTTP/1.1")
        text = self.metrics()
        name = "hickorygate_messages_rejected_total"
        self.assertIn(f'{name}{{cause="session"}} 3', text)
        self.assertIn(f'{name}{{cause="no_session"}} 1', text)

    async def test_messages_that_are_understood_are_not_counted(self) -> None:
        client = await self.open_session()
        await client.query("READ x")
        await client.query("no statement at all")
        self.assertEqual(self.recorded(), [])
        self.assertEqual(self.server.usage.messages, {})

    async def test_the_line_is_a_warning_of_a_connection(self) -> None:
        event = platform_events.MessagesRejected(_SESSION, 1)
        self.assertIs(severity.severity(event), severity.Severity.WARNING)
        self.assertIs(line_class.line_class(event), line_class.LineClass.FAILED)
