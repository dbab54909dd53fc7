"""Tests of which proxies may use their shares of rate limits.

They guard against shares of proxies that count each other differently, which
could add up to more than the limit.
"""

from __future__ import annotations

import unittest

from hickorygate.core import fleet_view
from hickorygate.core import limit_membership
from hickorygate.testing import clock


def _digest(*names: str) -> str:
    return fleet_view.Fleet(dict.fromkeys(names, 1.0)).digest


def _listed(
    names: str, counted: str = "", active: bool = True
) -> dict[str, limit_membership.MemberObject]:
    """Returns objects of proxies that all count the same proxies.

    Args:
      names: names of the listed proxies, one letter each.
      counted: names of the proxies that they count; the listed ones if empty.
      active: whether they are active.
    """
    member = limit_membership.MemberObject(
        1.0, _digest(*(counted or names)), active
    )
    return dict.fromkeys(names, member)


class LimitMembershipTest(unittest.TestCase):
    """When proxy "a" may use its shares."""

    def setUp(self) -> None:
        self.membership = limit_membership.LimitMembership("a")
        self.membership.record_renewal(clock.at(0))

    def start(self, names: str) -> None:
        """Starts the proxy; these objects of former processes exist."""
        self.membership.record_start(_listed(names))
        self.membership.record_list(_listed(names), False, clock.at(0))

    def list(
        self, names: str, counted: str = "", at: float = 0.3, full: bool = True
    ) -> bool:
        """Records a list; returns whether the proxy may use its shares."""
        listed = _listed(names, counted)
        self.membership.record_list(listed, full, clock.at(at))
        return self.membership.may_use(clock.at(at))

    def test_single_proxy_becomes_active_at_its_first_list(self) -> None:
        self.start("")
        self.assertTrue(self.list("a"))

    def test_new_proxy_waits_until_all_others_count_it(self) -> None:
        self.start("bc")
        self.assertFalse(self.list("abc", counted="bc"))
        self.assertTrue(self.list("abc", counted="abc"))

    def test_one_other_proxy_that_does_not_count_it_is_enough(self) -> None:
        self.start("bc")
        listed = _listed("abc") | _listed("c", counted="bc")
        self.membership.record_list(listed, True, clock.at(1))
        self.assertFalse(self.membership.active)

    def test_restarted_proxy_is_active_at_once(self) -> None:
        # "c" has died and still tells what it counted long ago.
        self.start("abc")
        self.assertTrue(self.list("abc", counted="ab"))

    def test_outdated_list_makes_no_proxy_active(self) -> None:
        self.start("abc")
        self.assertFalse(self.list("abc", full=False))

    def test_proxy_whose_former_process_was_inactive_waits(self) -> None:
        self.membership.record_start(_listed("ab", active=False))
        self.assertFalse(self.list("ab", counted="b"))

    def test_missing_proxy_is_counted_for_a_while(self) -> None:
        self.start("ab")
        self.list("ab", at=1)
        self.list("a", at=20)
        self.assertEqual(len(self.membership.fleet), 2)
        self.list("a", at=27)
        self.assertEqual(len(self.membership.fleet), 1)

    def test_proxy_without_renewals_stops_before_others_forget_it(
        self,
    ) -> None:
        self.start("ab")
        self.list("ab")
        self.assertTrue(self.membership.may_use(clock.at(600)))
        self.assertFalse(self.membership.may_use(clock.at(720)))
        self.assertLess(720, limit_membership.REMOVAL_AGE.total_seconds())

    def test_proxy_that_others_may_have_forgotten_starts_anew(self) -> None:
        self.start("ab")
        self.list("ab")
        self.membership.record_renewal(clock.at(800))
        self.assertFalse(self.list("ab", counted="b", at=801))
        self.assertTrue(self.list("ab", counted="ab", at=802))
