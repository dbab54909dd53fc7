"""Malformed input from one caller doesn't affect the other callers.

Random packets and bytes are sent before and after the login. The test guards
against input that stops the server or blocks its event loop.
"""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.callers import server
from hickorygate.core import clock
from hickorygate.testing import database as databases
from hickorygate.testing import raw_client
from hickorygate.testing import stand_in_handler
import properties as properties

_TIMEOUT_SECONDS = 10
_LIMIT = 1_000
_PAYLOAD = strategies.builds(
    lambda code, body: bytes((code,)) + body,
    strategies.sampled_from([*range(32), 255]),
    strategies.binary(max_size=60),
)
_PACKET = strategies.one_of(
    strategies.tuples(strategies.just("packet"), _PAYLOAD),
    strategies.tuples(strategies.just("bytes"), strategies.binary(max_size=60)),
)


class ServerProperty(unittest.TestCase):
    """Sends random packets and bytes on one connection."""

    def setUp(self) -> None:
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        group = databases.StandInGroup(clock.SystemClock())
        database = databases.StandInDatabase(
            "db", group, clock.SystemClock(), password=""
        )
        self.server = server.Server(
            lambda: stand_in_handler.StandInHandler(database),
            {"vet": ""},
            _LIMIT,
        )
        self.runner.run(self.server.start("127.0.0.1", 0))
        self.other_client = self.runner.run(self.log_in())

    def tearDown(self) -> None:
        self.runner.run(self.other_client.close())
        self.runner.run(self.server.close())

    async def log_in(self) -> raw_client.RawClient:
        return await raw_client.log_in(self.server.port, "vet")

    async def disturb(
        self, logged_in: bool, packets: list[tuple[str, bytes]]
    ) -> bytes:
        if logged_in:
            client = await self.log_in()
        else:
            client = await raw_client.connect(self.server.port)
        for kind, data in packets:
            if kind == "packet":
                client.send(data, sequence=int(not logged_in))
            else:
                client.send_bytes(data)
        await client.close()
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while self.server.connections > 1:
                await asyncio.sleep(0.001)
            self.other_client.send(b"\x0e")
            return await self.other_client.read()

    @hypothesis.seed(
        28035339845535041229717540110229152721952074236157671160353305257403663927332639983189347479063651664947505489514835
    )
    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        strategies.booleans(), strategies.lists(_PACKET, max_size=4)
    )
    def test_other_callers_are_served(
        self, logged_in: bool, packets: list[tuple[str, bytes]]
    ) -> None:
        answer = self.runner.run(self.disturb(logged_in, packets))
        self.assertEqual(answer[:1], b"\x00")
