"""Tests which proxies a plan chooses.

Guards against proxies that send the statements of one workspace or service to
different servers, which would need more connections than there are.
"""

from __future__ import annotations

import collections
import datetime
import unittest

from hickorygate.core import access_policy
from hickorygate.core import catalog
from hickorygate.core import fleet_view
from hickorygate.core import workspace
from hickorygate.proxies import serving_plan
from hickorygate.store import registration

_IDLE = datetime.timedelta(seconds=3)
_SERVICE = "ledger"


def _catalog(connections: int, workspaces: int = 0) -> catalog.Catalog:
    settings = catalog.ServiceSettings(_SERVICE, connections, 1)
    names = [f"w{number}" for number in range(workspaces)]
    found = {name: workspace.Workspace(name) for name in names}
    access = access_policy.OpenAccess()
    return catalog.Catalog(1, {}, {_SERVICE: settings}, _IDLE, access, found)


def _fleet(count: int) -> dict[str, registration.RegisteredProxy]:
    """Returns proxies in three zones; each sixth one has twice the capacity."""
    return {
        f"proxy-{number}": registration.RegisteredProxy(
            f"10.0.0.1:{7_000 + number}",
            "abc"[number % 3],
            2.0 if number % 6 == 0 else 1.0,
            1,
        )
        for number in range(count)
    }


def _plan(
    name: str,
    fleet: dict[str, registration.RegisteredProxy],
    settings: catalog.Catalog,
) -> serving_plan.ServingPlan:
    plan = serving_plan.ServingPlan(name, fleet[name].zone)
    plan.set_catalog(settings)
    plan.set_proxies(fleet)
    return plan


class WorkspacePlanTest(unittest.TestCase):
    """The plan of a configuration with workspaces."""

    def test_all_proxies_have_the_same_order(self) -> None:
        fleet, settings = _fleet(25), _catalog(71, 20)
        plans = [_plan(name, fleet, settings) for name in fleet]
        for name in settings.workspaces:
            orders = {p.candidates(_SERVICE, name) for p in plans}
            self.assertEqual(len(orders), 1)
            self.assertEqual(len(set(orders.pop())), fleet_view.CANDIDATES)

    def test_each_part_of_a_partitioned_fleet_holds_a_candidate(self) -> None:
        # A workspace without a candidate in its part was served by each gateway
        # with 1/25 of the limit, so nearly all its operations were rejected.
        fleet, settings = _fleet(25), _catalog(71, 200)
        plan = _plan("proxy-1", fleet, settings)
        part = {f"proxy-{number}" for number in range(1, 10)}
        for name in settings.workspaces:
            self.assertTrue(part & set(plan.candidates(_SERVICE, name)), name)

    def test_a_new_proxy_moves_few_workspaces(self) -> None:
        settings = _catalog(71, 600)
        before = _plan("proxy-0", _fleet(25), settings)
        after = _plan("proxy-0", _fleet(26), settings)
        moved = 0
        for name in settings.workspaces:
            first = before.candidates(_SERVICE, name)[0]
            now = after.candidates(_SERVICE, name)[0]
            moved += first != now
            self.assertIn(now, (first, "proxy-25"))
        # The new proxy's even share is 600 / 26, or 23.
        self.assertLess(moved, 46)

    def test_a_larger_proxy_serves_more_workspaces(self) -> None:
        settings = _catalog(71, 3_000)
        plan = _plan("proxy-1", _fleet(12), settings)
        served = collections.Counter(
            plan.candidates(_SERVICE, name)[0] for name in settings.workspaces
        )
        large = served["proxy-0"] + served["proxy-6"]
        # Two proxies with twice the capacity of the ten others.
        self.assertAlmostEqual(large / 3_000, 4 / 14, delta=0.04)

    def test_a_larger_proxy_has_a_larger_share_of_the_databases(self) -> None:
        # With an even share, a proxy that served a seventh of the statements
        # had one of them in flight at a database of five slots.
        settings = _catalog(71, 20)
        small = _plan("proxy-1", _fleet(12), settings)
        large = _plan("proxy-0", _fleet(12), settings)
        self.assertEqual(small.sharers(_SERVICE), 12)
        self.assertEqual(large.sharers(_SERVICE), 7)

    def test_all_proxies_monitor_the_groups(self) -> None:
        plan = _plan("proxy-0", _fleet(25), _catalog(71, 20))
        self.assertEqual(plan.servers(_SERVICE), 25)
        self.assertTrue(plan.serves(_SERVICE))


class ServicePlanTest(unittest.TestCase):
    """The plan of a configuration without workspaces."""

    def test_enough_connections_need_no_plan(self) -> None:
        plan = _plan("proxy-0", _fleet(20), _catalog(20))
        self.assertEqual(plan.candidates(_SERVICE, ""), ())
        self.assertEqual(plan.servers(_SERVICE), 20)

    def test_two_proxies_of_each_zone_serve_a_service(self) -> None:
        fleet = _fleet(77)
        plans = [_plan(name, fleet, _catalog(53)) for name in fleet]
        names = {plan.server_names(_SERVICE) for plan in plans}
        self.assertEqual(len(names), 1)
        zones = [fleet[name].zone for name in names.pop()]
        self.assertEqual(sorted(zones), list("aabbcc"))
        self.assertEqual(sum(plan.serves(_SERVICE) for plan in plans), 6)

    def test_candidates_of_the_own_zone_come_first(self) -> None:
        fleet = _fleet(77)
        firsts = collections.Counter()
        for name in fleet:
            plan = _plan(name, fleet, _catalog(53))
            found = plan.candidates(_SERVICE, "")
            zones = [fleet[candidate].zone for candidate in found]
            own = fleet[name].zone
            self.assertEqual(zones[:2], [own, own])
            self.assertEqual(len(set(zones[1:4])), 3)
            # All servers, since there are too few connections for others.
            self.assertEqual(set(found), plan.server_names(_SERVICE))
            if name in plan.server_names(_SERVICE):
                self.assertEqual(found[0], name)
            firsts[found[0]] += 1
        # Both servers of a zone are the first choice of some proxies.
        self.assertEqual(len(firsts), 6)

    def test_proxies_of_an_older_build_serve_nothing(self) -> None:
        fleet = _fleet(30)
        for number in range(1, 30):
            fleet[f"proxy-{number}"] = registration.RegisteredProxy(revision=1)
        plan = _plan("proxy-0", fleet, _catalog(10))
        self.assertEqual(plan.candidates(_SERVICE, ""), ("proxy-0",))
        nobody = dict.fromkeys(fleet, registration.RegisteredProxy(revision=1))
        plan.set_proxies(nobody)
        self.assertEqual(plan.candidates(_SERVICE, ""), ())
        self.assertTrue(plan.serves(_SERVICE))


if __name__ == "__main__":
    unittest.main()
