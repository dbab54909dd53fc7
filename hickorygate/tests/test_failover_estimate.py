"""Tests waits for a new primary, connection shares and the proxy count."""

from __future__ import annotations

import dataclasses
import datetime
import unittest

from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.testing import clock
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import failover_estimate
from hickorygate.upstreams import proxy_count

_RANK = rank.Rank("0", 0, datetime.timedelta(milliseconds=200), 0.05)


def _wait(
    estimate: failover_estimate.FailoverEstimate, at: float
) -> datetime.datetime:
    """Returns until when a request that arrives at a time waits."""
    now = clock.at(at)
    return estimate.wait_deadline(_request(at), now, now)


def _request(at: float) -> request_context.RequestContext:
    return request_context.RequestContext(_RANK, clock.at(at), clock.at(at + 1))


class FailoverEstimateTest(unittest.TestCase):
    """Tests waits after failovers of two seconds."""

    def setUp(self) -> None:
        self.estimate = failover_estimate.FailoverEstimate(clock.at(-10))
        self.estimate.record_recovery(clock.at(-9.9))
        self.estimate.record_loss(clock.at(-9))
        self.estimate.record_recovery(clock.at(-6))
        self.estimate.record_loss(clock.at(0))

    def test_a_request_that_cannot_be_served_waits_briefly(self) -> None:
        until = _wait(self.estimate, 0.1)
        self.assertEqual(until, clock.at(0.14))

    def test_a_request_that_can_be_served_waits(self) -> None:
        until = _wait(self.estimate, 1.5)
        self.assertEqual(until, clock.at(2.25))

    def test_an_overdue_primary_is_waited_for_briefly(self) -> None:
        until = _wait(self.estimate, 5)
        self.assertEqual(until, clock.at(5.04))

    def test_an_overdue_primary_is_waited_for_by_those_who_can_wait(
        self,
    ) -> None:
        # The same outage, and requests that may take one and three seconds.
        now = clock.at(5)
        patient = dataclasses.replace(_request(5), deadline=clock.at(8))
        until = self.estimate.wait_deadline(patient, now, now)
        self.assertEqual(until, patient.deadline)
        self.assertEqual(_wait(self.estimate, 5), clock.at(5.04))

    def test_a_brief_wait_ends_although_rounds_go_on(self) -> None:
        began, now = clock.at(5), clock.at(5.03)
        until = self.estimate.wait_deadline(_request(5), began, now)
        self.assertEqual(until, clock.at(5.04))

    def test_the_failover_duration_is_learned(self) -> None:
        for at in (1, 11, 21, 31):
            self.estimate.record_recovery(clock.at(at))
            self.estimate.record_loss(clock.at(at + 9))
        until = _wait(self.estimate, 40.5)
        self.assertGreater(until, clock.at(41))
        self.assertLess(until, clock.at(41.5))


class DiscoveryTest(unittest.TestCase):
    """Tests waits of a proxy that has not known a primary yet."""

    def setUp(self) -> None:
        self.estimate = failover_estimate.FailoverEstimate(clock.at(0))

    def test_the_first_requests_wait_for_the_discovery(self) -> None:
        until = _wait(self.estimate, 0.1)
        self.assertEqual(until, clock.at(0.55))

    def test_requests_wait_if_the_search_may_end_in_time(self) -> None:
        until = _wait(self.estimate, 1)
        self.assertEqual(until, clock.at(2))

    def test_requests_wait_briefly_after_a_long_search(self) -> None:
        until = _wait(self.estimate, 3)
        self.assertEqual(until, clock.at(3.04))

    def test_the_discovery_does_not_count_as_a_failover(self) -> None:
        self.estimate.record_recovery(clock.at(0.01))
        self.estimate.record_loss(clock.at(1))
        until = _wait(self.estimate, 1.5)
        self.assertEqual(until, clock.at(2.25))


class ConnectionShareTest(unittest.TestCase):
    """Tests how uncoordinated proxies share a database's connections."""

    def test_the_limit_allows_connections_for_all_slots(self) -> None:
        self.assertEqual(
            connection_share.ConnectionShare(3, 22).limit(clock.at(0)), 5
        )
        self.assertEqual(
            connection_share.ConnectionShare(3, 2).limit(clock.at(0)), 2
        )

    def test_a_refusal_pauses_new_connections(self) -> None:
        share = connection_share.ConnectionShare(4, 47)
        share.set_limits(47, 25)
        self.assertEqual(share.limit(clock.at(0)), 3)
        share.record_refusal(1, clock.at(1))
        self.assertEqual(share.limit(clock.at(1.2)), 1)
        self.assertEqual(share.limit(clock.at(1.3)), 3)
        share.record_refusal(1, clock.at(1.3))
        self.assertEqual(share.limit(clock.at(1.7)), 1)

    def test_many_proxies_get_few_permits_each(self) -> None:
        self.assertEqual(connection_share.permits_per_proxy(2, 4), 2)
        self.assertEqual(connection_share.permits_per_proxy(3, 5), 3)
        self.assertEqual(connection_share.permits_per_proxy(4, 37), 1)

    def test_even_shares_stay_within_the_limit(self) -> None:
        for proxies in (1, 4, 25, 37):
            with self.subTest(proxies):
                share = connection_share.ConnectionShare(4, 47)
                share.set_limits(47, proxies)
                self.assertLessEqual(share.even_share * proxies, 47)


class ProxyCounterTest(unittest.TestCase):
    """Tests the count of the proxies that renew their objects."""

    def test_a_proxy_that_stops_renewing_is_gone(self) -> None:
        proxy_counter = proxy_count.ProxyCounter()
        for at in range(0, 48, 8):
            proxy_counter.update({"a": at, "b": 1}, clock.at(at))
        self.assertEqual(proxy_counter.gone(clock.at(41)), ("b",))
        self.assertEqual(proxy_counter.live(clock.at(41)), {"a"})

    def test_a_proxy_that_left_is_not_counted(self) -> None:
        proxy_counter = proxy_count.ProxyCounter()
        proxy_counter.update({"a": 1, "b": 1}, clock.at(0))
        proxy_counter.update({"a": 2}, clock.at(8))
        self.assertEqual(proxy_counter.live(clock.at(8)), {"a"})
