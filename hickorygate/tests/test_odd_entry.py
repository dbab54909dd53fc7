"""Tests a group with an entry that names no usable database.

The pattern: another writer puts an entry of the service into the list. Nothing
can be connected to at its address. The entry counts for nothing, and where it
gets through the decoder, it counts as one silent database and no more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import random
from typing import Any

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.platform import database
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member as members


class _FailingConnector(model_group.ModelConnector):
    """Fails unexpectedly when it is to connect to one database."""

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: str = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        if member.id == "odd":
            raise UnicodeError("label empty or too long")
        return await super().open(member, on_connect, workspace)


class _GroupWithOddEntry(model_group.ModelGroup):
    """A group whose list has one entry more."""

    def members(self) -> tuple[members.Member, ...]:
        odd = members.Member("odd", 1, "s", "??", 1, "a", 3, False, False)
        return (*super().members(), odd)

    def connector(self, proxy: str) -> model_group.ModelConnector:
        return _FailingConnector(self, proxy)


class OddEntryTest(virtual_time.VirtualTimeTestCase):
    """Three proxies, three sound databases and an odd entry."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.reported: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.reported.append(context)
        )
        self.fleet = model_fleet.ModelFleet(3, group_type=_GroupWithOddEntry)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), datetime.timedelta())
        await asyncio.sleep(1)

    async def test_an_error_counts_as_silence_and_is_reported(self) -> None:
        # An error in a call ends it as one without an answer; a takeover would
        # never ask the database again otherwise.
        monitor = self.fleet.proxies[0].monitor
        self.assertTrue(monitor.prober.is_lost("odd"))
        self.assertTrue(self.reported)

    async def test_a_primary_is_known_beside_the_entry(self) -> None:
        leader = self.fleet.proxies[0].monitor.leader
        self.assertEqual(leader and leader.member, "a")


class UnusableAddressTest(virtual_time.VirtualTimeTestCase):
    """The connector of the users' platform."""

    async def test_an_unusable_address_is_a_failed_connection(self) -> None:
        # Guards against review/9: the error of such an address ended the task
        # that connected.
        journal = events.Timeline(
            "p", events.HybridLogicalClock(clocks.SystemClock())
        )
        connector = database.DatabaseConnector(journal)
        for host, port in (("\ufffd.example", 80), ("a" * 70, 80)):
            with self.subTest(host):
                odd = members.Member(
                    "odd", 1, "s", host, port, "a", 3, False, False
                )
                opened = await connector.open(odd, lambda: None)
                self.assertIsInstance(opened.error, errors.ConnectFailed)
