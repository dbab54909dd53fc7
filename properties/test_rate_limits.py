"""The rate limit of a workspace holds over all proxies, whatever fails.

In any window of 5 s at most rate x 5 s + burst + 20 operations of a workspace
are admitted (the bound on those that run is a tenth higher), while proxies are
partitioned, suspended, killed, restarted, added and removed. Without faults a
workspace gets its whole rate, also if all its callers use one proxy.
"""

from __future__ import annotations

import datetime
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hickorygate.core import limit_share
from hickorygate.proxies import link_state
import properties
from properties import limit_simulation

assert properties.__doc__, "the import loads the Hypothesis profile"

_NAMES = tuple("abcdefgh")
_RATE = 200.0
_BURST = 20.0
"""A small burst and a high rate, so that one second in which a share is used
twice exceeds the bound."""

_SEED = 41
_SETTINGS = hypothesis.settings(max_examples=60, stateful_step_count=50)
_MUTANT_SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=50,
    phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False,
)

_names = strategies.sampled_from(_NAMES)
_qualities = strategies.sampled_from(tuple(link_state.LinkQuality))


class LimitMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the simulation checks each window."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = limit_simulation.LimitedFleet(_SEED, _RATE, _BURST)

    @stateful.initialize(count=strategies.integers(1, 5))
    def found(self, count: int) -> None:
        for name in _NAMES[:count]:
            self.fleet.start(name)
            self.fleet.run(0.2)
        self.fleet.run(8)

    @stateful.invariant()
    def a_moment_passes(self) -> None:
        self.fleet.run(0.2)

    @stateful.rule(seconds=strategies.sampled_from((0.3, 0.7, 1.1, 3.0, 12.0)))
    def run_load(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @stateful.rule(one=_names, other=_names)
    def partition(self, one: str, other: str) -> None:
        if one != other:
            self.fleet.cut(one, other)

    @stateful.rule(name=_names)
    def isolate(self, name: str) -> None:
        for other in _NAMES:
            if other != name:
                self.fleet.cut(name, other)

    @stateful.rule()
    def heal(self) -> None:
        self.fleet.heal()
        for proxy in self.fleet.proxies.values():
            proxy.store_cut = False
            proxy.links.doubts.clear()

    @stateful.rule(one=_names, other=_names, quality=_qualities)
    def doubt(
        self, one: str, other: str, quality: link_state.LinkQuality
    ) -> None:
        if one in self.fleet.proxies:
            self.fleet.proxies[one].links.doubts[other] = quality

    @stateful.rule(name=_names)
    def suspend(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.proxies[name].suspended = True

    @stateful.rule(name=_names)
    def resume(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.proxies[name].suspended = False

    @stateful.rule(name=_names)
    def cut_from_store(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.proxies[name].store_cut = True

    @stateful.rule(name=_names)
    def kill(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.kill(name)

    @stateful.rule(name=_names)
    def restart_or_join(self, name: str) -> None:
        if name not in self.fleet.proxies:
            self.fleet.start(name)

    @stateful.rule(name=_names)
    def kill_and_restart(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.kill(name)
            self.fleet.start(name)

    @stateful.rule(name=_names)
    def leave(self, name: str) -> None:
        if name in self.fleet.proxies:
            self.fleet.leave(name)

    @stateful.rule(factor=strategies.sampled_from((0.2, 0.5, 1.0)))
    def change_limit(self, factor: float) -> None:
        self.fleet.set_limit(_RATE * factor, _BURST * factor)


@hypothesis.seed(8_1_2026)
class RateLimitProperty(LimitMachine.TestCase):
    """No window contains more operations than the bound allows."""

    settings = _SETTINGS


def _never_expires() -> mock._patch[datetime.timedelta]:
    """Returns a patch by which a server uses a share without end."""
    return mock.patch.object(
        limit_share, "LEASE_OF_SERVER", datetime.timedelta(hours=1)
    )


def _forgets_leases() -> mock._patch[int]:
    """Returns a patch by which a holder forgets running leases."""
    return mock.patch.object(limit_share.LentRights, "_running", lambda *_: ())


def _lends_to_both() -> mock._patch[object]:
    """Returns a patch by which a holder lends to two servers."""

    def share(
        lending: limit_share.Lending, holder: str, server: str, workspace: str
    ) -> float:
        view = lending.view
        if server not in view.fleet.candidates(workspace, view.absent)[:2]:
            return 0.0
        return view.fleet.share(holder, workspace)

    return mock.patch.object(limit_share.Lending, "share", share)


def _start_fleet(proxies: int) -> limit_simulation.LimitedFleet:
    """Returns a fleet without load whose proxies use their shares."""
    fleet = limit_simulation.LimitedFleet(_SEED, _RATE, _BURST)
    fleet.gateways = frozenset()
    for number in range(proxies):
        fleet.start(f"p{number}")
    fleet.run(6)
    return fleet


def _server(fleet: limit_simulation.LimitedFleet) -> str:
    """Returns the proxy that serves the workspace for all gateways."""
    views = {p.limits.lent.view for p in fleet.proxies.values()}
    chosen = {v.server("", limit_simulation.WORKSPACE) for v in views if v}
    assert len(chosen) == 1, chosen
    return chosen.pop()


def _isolate_server() -> None:
    """Cuts the server off from all gateways while it is used as before."""
    fleet = _start_fleet(8)
    fleet.gateways = None
    fleet.run(6)
    server = _server(fleet)
    for name in fleet.proxies:
        if name != server:
            fleet.cut(name, server)
    fleet.run(6)


class MutantsTest(unittest.TestCase):
    """The property notices the faults that it is there for."""

    def assert_caught(self, patch: mock._patch[object]) -> None:
        with patch, self.assertRaises(AssertionError):
            machine = hypothesis.seed(8_1_2026)(LimitMachine)
            stateful.run_state_machine_as_test(
                machine, settings=_MUTANT_SETTINGS
            )

    def test_share_that_never_expires(self) -> None:
        self.assert_caught(_never_expires())

    def test_share_counted_at_both_servers(self) -> None:
        self.assert_caught(_lends_to_both())

    def test_share_lent_again_while_its_lease_runs(self) -> None:
        # Random faults rarely move all shares at once, so they are chosen.
        with _forgets_leases(), self.assertRaises(AssertionError):
            _isolate_server()
        _isolate_server()


class WholeRateTest(unittest.TestCase):
    """Without faults a workspace gets its rate wherever its callers are."""

    def assert_whole_rate(self, proxies: int, seconds: float = 0) -> None:
        """Checks the rate of a workspace whose callers use one proxy.

        Args:
          proxies: number of proxies.
          seconds: time from the first operations to the measurement.
        """
        fleet = _start_fleet(proxies)
        fleet.gateways = frozenset({_server(fleet)})
        fleet.run(seconds + 3)
        rate = fleet.admitted_since(fleet.now - 3) / 3
        self.assertGreaterEqual(rate, 0.9 * _RATE)

    def test_one_proxy(self) -> None:
        self.assert_whole_rate(1)

    def test_five_proxies(self) -> None:
        self.assert_whole_rate(5)

    def test_more_proxies_than_holders(self) -> None:
        self.assert_whole_rate(36, seconds=3)

    def test_whole_rate_three_seconds_after_a_server_was_killed(self) -> None:
        fleet = _start_fleet(25)
        killed = _server(fleet)
        fleet.kill(killed)
        for proxy in fleet.proxies.values():
            proxy.links.doubts[killed] = link_state.LinkQuality.UNUSABLE
        fleet.run(0.35)
        fleet.gateways = frozenset({_server(fleet)})
        fleet.run(2.65)
        fleet.run(3)
        rate = fleet.admitted_since(fleet.now - 3) / 3
        self.assertGreaterEqual(rate, 0.9 * _RATE)
