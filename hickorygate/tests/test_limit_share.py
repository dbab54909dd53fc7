"""Tests of shares of rate limits that proxies lend to each other.

They guard against a share that two proxies use at the same time, and against
shares that are lost while nothing has failed.
"""

from __future__ import annotations

import unittest

from hickorygate.core import fleet_view
from hickorygate.core import limit_share
from hickorygate.testing import clock

_START = clock.at(0)
_NAMES = ("a", "b", "c", "d")
_GATEWAY = "d"
"""A proxy that can't serve others, so it is no candidate."""

_FLEET = fleet_view.Fleet({"a": 1.0, "b": 1.0, "c": 1.0, _GATEWAY: 0.0})
_FIRST, _SECOND, _THIRD = _FLEET.candidates("w")
_ALL_USABLE = fleet_view.FleetView(_FLEET)
_FIRST_LOST = fleet_view.FleetView(_FLEET, unusable=frozenset({_FIRST}))


def _holder(name: str) -> limit_share.LentRights:
    rights = limit_share.LentRights(name, _START - limit_share.LEASE)
    rights.set_active(True)
    rights.set_view(_ALL_USABLE)
    return rights


class LentRightsTest(unittest.TestCase):
    """What a gateway lends to whom."""

    def setUp(self) -> None:
        self.rights = _holder(_GATEWAY)

    def lent_to(self, server: str, seconds: float) -> float:
        lending = self.rights.answer(server, clock.at(seconds))
        if lending is None:
            return 0.0
        return lending.share(_GATEWAY, server, "w")

    def test_share_goes_to_the_first_candidate_only(self) -> None:
        self.assertEqual(self.lent_to(_FIRST, 0), 0.25)
        self.assertEqual(self.lent_to(_SECOND, 0), 0)
        self.assertEqual(self.lent_to(_GATEWAY, 0), 0)

    def test_share_moves_a_lease_after_the_last_answer(self) -> None:
        self.lent_to(_FIRST, 0.5)
        self.rights.set_view(_FIRST_LOST)
        self.assertEqual(self.lent_to(_SECOND, 1.5), 0)
        self.assertEqual(self.lent_to(_SECOND, 1.6), 0.25)

    def test_share_moves_at_once_if_the_server_never_had_it(self) -> None:
        self.rights.set_view(_FIRST_LOST)
        self.assertEqual(self.lent_to(_SECOND, 0), 0.25)

    def test_share_moves_at_once_after_a_graceful_stop(self) -> None:
        self.lent_to(_FIRST, 0.5)
        self.rights.take_back(_FIRST)
        self.rights.set_view(_FIRST_LOST)
        self.assertEqual(self.lent_to(_SECOND, 0.6), 0.25)

    def test_share_moves_once_the_server_knows_the_new_view(self) -> None:
        self.rights.answer(_FIRST, clock.at(0.5), 10)
        self.rights.set_view(_FIRST_LOST)
        self.rights.note_received(_FIRST, 10)
        self.assertEqual(self.lent_to(_SECOND, 0.6), 0)
        self.rights.answer(_FIRST, clock.at(0.7), 11)
        self.rights.note_received(_FIRST, 11)
        self.assertEqual(self.lent_to(_SECOND, 0.8), 0.25)

    def test_share_waits_for_all_former_servers(self) -> None:
        self.lent_to(_FIRST, 0.0)
        self.rights.set_view(_FIRST_LOST)
        self.lent_to(_SECOND, 1.1)
        self.rights.set_view(_ALL_USABLE)
        self.assertEqual(self.lent_to(_FIRST, 2.1), 0)
        self.assertEqual(self.lent_to(_FIRST, 2.2), 0.25)

    def test_gateway_uses_the_share_itself_if_no_candidate_is_usable(
        self,
    ) -> None:
        self.rights.set_view(
            fleet_view.FleetView(
                _FLEET, unusable=frozenset(_NAMES) - {_GATEWAY}
            )
        )
        self.assertEqual(self.lent_to(_GATEWAY, 0), 0.25)

    def test_nothing_is_lent_before_a_former_process_is_forgotten(self) -> None:
        self.rights = limit_share.LentRights(_GATEWAY, _START)
        self.rights.set_active(True)
        self.rights.set_view(_ALL_USABLE)
        self.assertEqual(self.lent_to(_FIRST, 0.9), 0)
        self.assertEqual(self.lent_to(_FIRST, 1), 0.25)

    def test_nothing_is_lent_while_others_do_not_count_the_holder(self) -> None:
        self.rights.set_active(False)
        self.assertEqual(self.lent_to(_FIRST, 20), 0)

    def test_slow_proxies_are_used_if_no_other_candidate_can_be(self) -> None:
        slow = frozenset({_FIRST})
        self.rights.set_view(fleet_view.FleetView(_FLEET, slow=slow))
        self.assertEqual(self.lent_to(_SECOND, 0), 0.25)
        others = frozenset({_SECOND, _THIRD})
        view = fleet_view.FleetView(_FLEET, slow=slow, unusable=others)
        self.rights.set_view(view)
        self.assertEqual(self.lent_to(_FIRST, 2), 0.25)

    def test_frequent_changes_of_the_view_stop_the_lending(self) -> None:
        for change in range(6):
            self.lent_to(_FIRST, 0.1 * change)
            unusable = frozenset({_SECOND} if change % 2 else ())
            self.rights.set_view(
                fleet_view.FleetView(_FLEET, unusable=unusable)
            )
            self.lent_to(_FIRST, 0.1 * change)
            self.rights.set_view(_FIRST_LOST)
        self.assertIsNone(self.rights.answer(_SECOND, clock.at(0.6)))
        self.assertEqual(self.lent_to(_SECOND, 2.0), 0.25)


class RightsReceivedTest(unittest.TestCase):
    """What a server may use."""

    def setUp(self) -> None:
        self.holder = _holder(_GATEWAY)
        self.received = limit_share.RightsReceived(_FIRST)

    def renew(self, asked: float, answered: float, arrived: float) -> None:
        lending = self.holder.answer(_FIRST, clock.at(answered))
        self.received.record(
            _GATEWAY, lending, clock.at(asked), clock.at(arrived)
        )

    def share(self, since: float, now: float) -> tuple[float, float]:
        return self.received.share("w", clock.at(since), clock.at(now))

    def test_lease_ends_a_second_after_the_request(self) -> None:
        self.renew(0.0, 0.5, 0.6)
        self.assertEqual(self.share(0.6, 0.9)[0], 0.25)
        self.assertEqual(self.share(0.6, 1.0)[0], 0)

    def test_late_answer_grants_nothing(self) -> None:
        # The answer waited while this proxy was suspended.
        self.renew(0.0, 0.1, 5.0)
        self.assertEqual(self.share(0.0, 5.0)[0], 0)

    def test_renewed_lease_accrues_without_a_gap(self) -> None:
        for step in range(10):
            at = 0.3 * step
            self.renew(at, at, at)
        share, seconds = self.share(0.0, 2.8)
        self.assertEqual(share, 0.25)
        self.assertAlmostEqual(seconds, 0.7)

    def test_time_before_a_gap_does_not_count(self) -> None:
        self.renew(0.0, 0.0, 0.0)
        self.renew(2.0, 2.0, 2.0)
        _, seconds = self.share(0.0, 2.4)
        self.assertAlmostEqual(seconds, 0.1)

    def test_change_of_another_proxy_causes_no_gap(self) -> None:
        self.renew(0.0, 0.0, 0.0)
        self.holder.set_view(
            fleet_view.FleetView(_FLEET, unusable=frozenset({_THIRD}))
        )
        self.renew(0.3, 0.3, 0.3)
        share, seconds = self.share(0.0, 0.8)
        self.assertEqual(share, 0.25)
        self.assertAlmostEqual(seconds, 0.2)

    def test_share_that_moved_away_is_not_used(self) -> None:
        self.renew(0.0, 0.0, 0.0)
        self.holder.set_view(_FIRST_LOST)
        self.renew(0.3, 0.3, 0.3)
        self.assertEqual(self.share(0.0, 0.4)[0], 0)

    def test_own_share_needs_no_renewal(self) -> None:
        own = _holder(_FIRST)
        lending = own.answer(_FIRST, _START)
        self.received.record(_FIRST, lending, _START, _START)
        self.assertEqual(self.share(0.0, 60.0), (0.25, 15.0))


class HoldersTest(unittest.TestCase):
    """The shares of a workspace's holders add up to its limit."""

    def test_shares_add_up(self) -> None:
        for proxies in (1, 2, 25, 32, 33, 750):
            names = [f"p{n}" for n in range(proxies)]
            fleet = fleet_view.Fleet(dict.fromkeys(names, 1.0))
            total = sum(fleet.share(name, "w") for name in names)
            self.assertAlmostEqual(total, 1.0)
            holders = sum(fleet.share(name, "w") > 0 for name in names)
            self.assertEqual(holders, min(proxies, fleet_view.MAX_HOLDERS))

    def test_capacity_decides_how_many_workspaces_a_proxy_serves(self) -> None:
        fleet = fleet_view.Fleet({"small": 0.5, "large": 2.0})
        first = [fleet.candidates(f"w{n}")[0] for n in range(1_000)]
        self.assertAlmostEqual(first.count("large") / 1_000, 0.8, delta=0.05)
