"""Membership under faults of proxies and network.

The faults are packet loss, partitions, pauses, crashes and replacements.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.proxies import member as members
from properties import fleet as fleets

_SIZE = 6
_DETECTED = 8
"""Periods of 250 ms within which a dead proxy is removed: 2 s."""
_SETTLED = 120
"""Periods within which all views agree after the end of the faults."""
_proxy_names = strategies.integers(0, _SIZE - 1).map(lambda n: f"p{n}")
_actions = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["crash", "pause", "resume", "replace"]),
            _proxy_names,
        ),
        strategies.tuples(
            strategies.just("cut"),
            strategies.frozensets(_proxy_names, max_size=_SIZE - 1),
        ),
        strategies.tuples(strategies.just("lose"), strategies.floats(0, 0.4)),
        strategies.tuples(strategies.just("run"), strategies.integers(1, 40)),
    ),
    max_size=12,
)


def act(fleet: fleets.Fleet, kind: str, value: object) -> None:
    """Applies one generated action to a fleet.

    Args:
      fleet: fleet to change.
      kind: kind of the action.
      value: argument of the action.
    """
    match kind, value:
        case "crash", str(name):
            if name in fleet.nodes and len(fleet.nodes) > 2:
                fleet.crash(name)
        case (("pause" | "resume"), str(name)):
            if name in fleet.nodes:
                fleet.nodes[name].running = kind == "resume"
        case "replace", str(name):
            fleet.start(name)
        case "cut", frozenset() as names:
            fleet.cut = names
        case "lose", float(share):
            fleet.loss = share
        case "run", int(periods):
            fleet.run(periods)


def _views(fleet: fleets.Fleet) -> dict[str, set[str]]:
    """Returns the names recorded as alive, by the proxy that records them."""
    return {
        node.name: {
            member.name
            for member in node.membership.members
            if member.state is members.State.ALIVE
        }
        | {node.name}
        for node in fleet.nodes.values()
    }


class MembershipProperty(unittest.TestCase):
    """All proxies that can reach each other agree on the live members."""

    @hypothesis.seed(
        1491811933807060264620907229531718450299061331469223534005106098749946934163574449893494168179091168880315416925506
    )
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(_actions, strategies.integers(0, 2**32))
    def test_views_agree_once_faults_end(
        self, actions: list[tuple[str, object]], seed: int
    ) -> None:
        fleet = fleets.Fleet(_SIZE, random.Random(seed))
        fleet.run(20)
        for kind, value in actions:
            act(fleet, kind, value)
        fleet.heal()
        fleet.run(_SETTLED)
        everyone = set(fleet.nodes)
        for name, view in _views(fleet).items():
            self.assertEqual(view, everyone, f"as {name} sees it")

    @hypothesis.seed(
        21667739798127539291208721031833172436760419704898711699464051069793439894443028229715209948729283820542633507310884
    )
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.integers(2, 5), strategies.integers(0, 2**32))
    def test_dead_proxy_is_dropped_by_all_in_time(
        self, size: int, seed: int
    ) -> None:
        fleet = fleets.Fleet(size, random.Random(seed))
        fleet.run(30)
        fleet.crash("p0")
        fleet.run(_DETECTED)
        for node in fleet.nodes.values():
            self.assertNotIn("p0", node.membership.names)

    @hypothesis.seed(
        38405339717576425856077300595872053433350034377075555796297096237480896316876948128657263705251679936347510206077626
    )
    @hypothesis.settings(max_examples=10)
    @hypothesis.given(strategies.floats(0, 0.05), strategies.integers(0, 2**32))
    def test_live_proxy_is_not_lost_to_a_little_loss(
        self, loss: float, seed: int
    ) -> None:
        fleet = fleets.Fleet(_SIZE, random.Random(seed))
        fleet.run(30)
        fleet.loss = loss
        for _ in range(60):
            fleet.run(1)
            for node in fleet.nodes.values():
                self.assertEqual(len(node.membership.names), _SIZE)

    def test_two_proxies_that_lose_only_their_link_stay_members(
        self,
    ) -> None:
        fleet = fleets.Fleet(5, random.Random(1))
        fleet.run(30)
        fleet.blocked = frozenset({"p0", "p1"})
        for _ in range(100):
            fleet.run(1)
            for node in fleet.nodes.values():
                self.assertEqual(len(node.membership.names), 5)

    def test_traffic_per_proxy_does_not_grow_with_the_fleet(self) -> None:
        for size in (20, 50):
            with self.subTest(size):
                fleet = fleets.Fleet(size, random.Random(size))
                fleet.run(80)
                before = sum(n.sent for n in fleet.nodes.values())
                fleet.run(40)
                sent = sum(n.sent for n in fleet.nodes.values()) - before
                # One ping and one answer per period, and an occasional contact
                # to a seed or a dead proxy.
                self.assertLess(sent / size / 40, 2.5)
