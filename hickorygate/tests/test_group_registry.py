"""Tests which groups a proxy monitors, and the cost of discovery changes.

Guards against excessive load on a platform with many more groups than the
callers of a proxy use, and with entries that change continuously.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import unittest

import expression

from hickorygate.core import access_policy
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.proxies import serving_plan
from hickorygate.store import registration
from hickorygate.testing import clock
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_registry
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_lease

_MANY = 200
_UNUSED = datetime.timedelta(seconds=30)


class _Connector:
    """A connector that always fails and records the requested services."""

    def __init__(self) -> None:
        self.asked: set[str] = set()

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: str = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        self.asked.add(member.service)
        return expression.Error(errors.ConnectFailed(member.id, "nobody"))


class _Clock(clock.FakeClock):
    """A clock that does not advance during a sleep."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(0.001)


def _service(number: int) -> str:
    return f"service-{number}"


def _member(number: int, **changed: object) -> members.Member:
    values = {
        "id": f"db-{number}",
        "born": 1,
        "service": _service(number),
        "host": "127.0.0.1",
        "port": 1,
        "zone": "a",
        "slots": 2,
        "leaving": False,
        "leads": True,
        **changed,
    }
    return members.Member(**values)  # type: ignore[arg-type]


def _catalog(
    version: int, count: int, connections: int = 20
) -> catalog.Catalog:
    terms = {
        _service(n): catalog.ServiceSettings(_service(n), connections, 1)
        for n in range(count)
    }
    idle = datetime.timedelta(seconds=3)
    access = access_policy.OpenAccess()
    return catalog.Catalog(version, {}, terms, idle, access)


class _RegistryTestCase(unittest.IsolatedAsyncioTestCase):
    """Tests a registry without a network."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.clock = _Clock()
        self.connector = _Connector()
        journal = events.Timeline("p", events.HybridLogicalClock(self.clock))
        store = line_cluster.MemoryStore(line_group.LineGroup())
        lease_state = lease_record.LeaseState("p", "p")
        lease = promotion_lease.PromotionLease(
            lease_state, store, self.clock, journal
        )
        self.lease = lease
        self.fleet = self.make_registry(journal)
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.start()

    def make_registry(
        self, journal: events.Journal
    ) -> group_registry.GroupRegistry:
        return group_registry.GroupRegistry(
            self.connector, self.lease, self.clock, journal
        )

    async def settle(self) -> None:
        await asyncio.sleep(0.05)


class GroupRegistryTest(_RegistryTestCase):
    """Tests the groups of a proxy that serves all services."""

    async def test_a_few_groups_are_all_monitored(self) -> None:
        self.fleet.apply(_catalog(1, 4))
        self.clock.advance(_UNUSED)
        await self.settle()
        self.assertEqual(len(self.fleet.groups), 4)

    async def test_of_many_groups_only_those_in_use_are_probed(self) -> None:
        self.fleet.replace_members([_member(n) for n in range(_MANY)])
        self.fleet.apply(_catalog(1, _MANY))
        self.assertEqual(dict(self.fleet.groups), {})
        self.assertIsNotNone(self.fleet.group(_service(7)))
        await self.settle()
        self.assertEqual(self.connector.asked, {_service(7)})
        self.assertTrue(self.fleet.complete)

    async def test_an_unused_group_is_closed_and_reopened_on_use(self) -> None:
        self.fleet.replace_members([_member(n) for n in range(_MANY)])
        self.fleet.apply(_catalog(1, _MANY))
        self.fleet.group(_service(7))
        self.clock.advance(_UNUSED)
        self.fleet.group(_service(8))
        await self.settle()
        self.assertEqual(set(self.fleet.groups), {_service(8)})
        again = self.fleet.group(_service(7))
        self.assertEqual(set(again.pools), {"db-7"})

    async def test_an_unused_group_is_probed_rarely(self) -> None:
        self.fleet.replace_members([_member(n) for n in range(_MANY)])
        self.fleet.apply(_catalog(1, _MANY))
        group = self.fleet.group(_service(7))
        await asyncio.sleep(0.3)
        in_use = group.rounds
        self.assertGreater(in_use, 2)
        self.clock.advance(datetime.timedelta(seconds=2))
        await asyncio.sleep(0.3)
        before = group.rounds
        await asyncio.sleep(0.3)
        self.assertLessEqual(group.rounds - before, 1)
        self.fleet.group(_service(7))
        await asyncio.sleep(0.3)
        self.assertGreater(group.rounds - before, 2)

    async def test_a_group_removed_from_the_configuration_is_closed(
        self,
    ) -> None:
        self.fleet.apply(_catalog(1, _MANY))
        self.fleet.group(_service(199))
        self.fleet.apply(_catalog(2, 100))
        self.assertIsNone(self.fleet.group(_service(199)))
        self.assertEqual(dict(self.fleet.groups), {})

    async def test_a_change_updates_only_the_affected_groups(self) -> None:
        self.fleet.replace_members([_member(n) for n in range(4)])
        self.fleet.apply(_catalog(1, 4))
        updated: list[str] = []
        for name, group in self.fleet.groups.items():
            group.set_members = lambda listed, known, of=name: updated.append(
                of
            )
        self.fleet.put_member(_member(2))
        self.assertEqual(updated, [])
        self.fleet.put_member(_member(2, leaving=True))
        self.assertEqual(updated, [_service(2)])
        self.fleet.put_member(_member(2, service=_service(3)))
        self.assertEqual(sorted(updated[1:]), [_service(2), _service(3)])
        self.fleet.remove_member("db-2")
        await self.settle()
        self.clock.advance(2 * members.ENTRY_RETENTION)
        await self.settle()
        self.assertEqual(updated[3:], [_service(3)])


class ServedGroupsTest(_RegistryTestCase):
    """Tests the groups of a proxy that serves some services only.

    A proxy that monitors a group which others serve takes connections from
    them.
    """

    def make_registry(
        self, journal: events.Journal, first_start: bool = False
    ) -> group_registry.GroupRegistry:
        self.plan = serving_plan.ServingPlan("p", "a")
        return group_registry.GroupRegistry(
            self.connector,
            self.lease,
            self.clock,
            journal,
            self.plan,
            first_start=first_start,
        )

    def count(self, proxies: int) -> None:
        """Makes further proxies known, all of the same zone."""
        names = ["p", *(f"q{number}" for number in range(proxies - 1))]
        found = {
            name: registration.RegisteredProxy("h:1", "a", 1.0, 1)
            for name in names
        }
        self.plan.set_proxies(found)
        for _ in range(2):
            self.fleet.set_proxies(frozenset(found))

    async def test_a_count_that_grows_opens_no_groups(self) -> None:
        # The first count of a fleet that starts shows a part of it.
        await self.fleet.close()
        self.fleet = self.make_registry(
            events.Timeline("p", events.HybridLogicalClock(self.clock)),
            first_start=True,
        )
        self.fleet.start()
        self.fleet.apply(_catalog(1, 12, connections=19))
        for count in (2, 7, 15):
            names = frozenset(f"q{number}" for number in range(count))
            self.fleet.set_proxies(names)
            await self.settle()
            self.assertEqual(dict(self.fleet.groups), {})
        self.count(20)
        served = {n for n in map(_service, range(12)) if self.plan.serves(n)}
        self.assertEqual(set(self.fleet.groups), served)

    async def test_a_restarted_proxy_opens_groups_with_its_first_count(
        self,
    ) -> None:
        # Waiting for a second count made all proxies ready later after a power
        # loss, also where the databases have enough connections.
        self.fleet.apply(_catalog(1, 4))
        self.assertEqual(dict(self.fleet.groups), {})
        self.fleet.set_proxies(frozenset({"p", "q0", "q1"}))
        self.assertEqual(len(self.fleet.groups), 4)

    async def test_a_group_in_use_is_probed_fully_before_the_count(
        self,
    ) -> None:
        # A silent primary was lost a second late: the group counted as served
        # by others until the proxies were counted.
        self.fleet.replace_members([_member(0)])
        self.fleet.apply(_catalog(1, 4))
        group = self.fleet.group(_service(0))
        self.clock.advance(datetime.timedelta(milliseconds=1_200))
        await self.settle()
        before = group.rounds
        await asyncio.sleep(0.3)
        self.assertGreater(group.rounds - before, 2)

    async def test_a_few_groups_are_all_monitored(self) -> None:
        # Before the first count it is unknown which ones this proxy serves.
        self.fleet.apply(_catalog(1, 4))
        self.assertEqual(dict(self.fleet.groups), {})
        self.assertFalse(self.fleet.complete)
        self.clock.advance(datetime.timedelta(seconds=2))
        await self.settle()
        self.assertEqual(len(self.fleet.groups), 4)

    async def test_only_served_groups_are_monitored(self) -> None:
        self.fleet.apply(_catalog(1, 12, connections=19))
        self.count(20)
        served = {n for n in map(_service, range(12)) if self.plan.serves(n)}
        self.assertLess(len(served), 6)
        self.assertEqual(set(self.fleet.groups), served)

    async def test_groups_that_others_turn_out_to_serve_are_closed(
        self,
    ) -> None:
        self.fleet.apply(_catalog(1, 12, connections=19))
        self.count(4)
        self.assertEqual(len(self.fleet.groups), 12)
        self.count(20)
        await self.settle()
        served = {n for n in map(_service, range(12)) if self.plan.serves(n)}
        self.assertEqual(set(self.fleet.groups), served)

    async def test_a_group_that_others_serve_is_monitored_on_use(self) -> None:
        self.fleet.apply(_catalog(1, 12, connections=19))
        self.count(20)
        name = next(
            n for n in map(_service, range(12)) if not self.plan.serves(n)
        )
        self.assertIsNotNone(self.fleet.group(name))
        await self.settle()
        self.assertIn(name, self.fleet.groups)
        self.clock.advance(_UNUSED)
        await self.settle()
        self.assertNotIn(name, self.fleet.groups)

    async def test_the_order_of_takeovers_is_among_servers(self) -> None:
        # A proxy whose turn is before the servers' delays a takeover.
        self.fleet.apply(_catalog(1, 12, connections=19))
        self.count(20)
        for name in map(_service, range(12)):
            order = self.lease.order(name)
            self.assertEqual(order.is_early, True)
            place = order.patience.total_seconds() - 1
            if self.plan.serves(name):
                self.assertLess(place, 2)
            else:
                self.assertEqual(place, 2)


if __name__ == "__main__":
    unittest.main()
