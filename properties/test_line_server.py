"""Malformed input from one caller of the line protocol affects no other one.

Random lines and bytes are sent on one connection, before and after a session
is open. No exception may reach the event loop, and a session that is open
besides is served on.
"""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.testing import line_cluster
import properties as properties

_TIMEOUT_SECONDS = 10
_LINE = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.sampled_from(
        [
            b"CONNECT primary-db x",
            b"CONNECT own-db x",
            b"CONNECT \xff x",
            b"QUERY 1 READ 1",
            b"QUERY \xff\xfe READ 1",
            b"QUERY 2 WRITE 1 \x00\xff",
            b"QUERY 3 BEGIN",
            b"QUERY 4 BEGIN READ",
            b"QUERY 5 COMMIT",
            b"QUERY 6 ROLLBACK",
            b"QUERY 7 PREPARE a READ 1",
            b"QUERY 8 EXECUTE a 1",
            b"QUERY 9 SET \xff 1",
            b"QUERY - STATUS",
            b"QUERY - PAUSE 9",
            b"QUERY",
            b"READY I -",
        ]
    ),
)


class LineServerProperty(unittest.TestCase):
    """Sends random lines on one connection to a proxy before a group."""

    def setUp(self) -> None:
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.errors: list[dict[str, Any]] = []
        self.runner.run(self.start())

    def tearDown(self) -> None:
        self.runner.run(self.cluster.__aexit__(None, None, None))

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        self.cluster = line_cluster.LineCluster()
        await self.cluster.__aenter__()
        self.proxy = self.cluster.proxies[0]
        self.other = await self.cluster.connect(line_cluster.OWN_WRITES_DB)

    async def disturb(self, lines: list[bytes], cut: int) -> list[str]:
        """Sends lines in two parts; returns what another caller reads."""
        _, writer = await asyncio.open_connection(
            "127.0.0.1", self.proxy.server.port
        )
        data = b"\r\n".join(lines) + b"\r\n"
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            for part in (data[:cut], data[cut:]):
                writer.write(part)
                await asyncio.sleep(0.001)
            answer = await self.other.query("READ 1")
            writer.close()
            while len(self.proxy.server.callers) > 1:
                await asyncio.sleep(0.001)
        return answer

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        strategies.lists(_LINE, max_size=6), strategies.integers(0, 100)
    )
    def test_other_callers_are_served(
        self, lines: list[bytes], cut: int
    ) -> None:
        answer = self.runner.run(self.disturb(lines, cut))
        self.assertEqual(answer[-1].split(" ")[:2], ["READY", "I"])
        self.assertTrue(answer[0].startswith(("ROW", "COMPLETE")), answer)
        self.assertEqual(self.errors, [])


if __name__ == "__main__":
    unittest.main()
