"""Acknowledged writes survive faults of proxies, databases and the network.

The decision code of two or three proxies runs against a group of three or
five databases. Packets are lost, delayed, repeated and reordered, proxies are
paused, databases crash, return or lose their logs, and replication is cut.
The tests guard against a lost acknowledged write, against two primaries in
one term, and against a group that doesn't recover once the faults end.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from properties import group_simulation

_STEPS = 1_500
_RECOVERY_ROUNDS = 400
_RECOVERY_MILLISECONDS = 20


class _RandomRun:
    """A random run of a simulated group, drawn from one seed.

    Attributes:
      writes: number of writes that were attempted.
      faults: actions that cause or end a fault; repeated ones are more likely.
      fault_interval: a step of the fault kind injects a fault with the
        probability 1 / fault_interval.
    """

    def __init__(self, seed: int, databases: int) -> None:
        self.random = random.Random(seed)
        self.simulation = group_simulation.GroupSimulation(
            databases, self.random.choice((2, 3))
        )
        self.writes = 0
        self.faults = (
            self.drop,
            self.drop,
            self.duplicate,
            self.duplicate,
            self.pause,
            self.resume,
            self.resume,
            self.crash,
            self.restart,
            self.restart,
            self.cut,
            self.restore_links,
            self.lose_log,
        )
        self.fault_interval = self.random.choice((1, 3, 10))

    def step(self) -> None:
        """Performs one random action."""
        kind = self.random.randrange(12)
        if kind < 6:
            self.deliver()
        elif kind < 8:
            self.simulation.advance(self.random.randrange(30))
        elif kind < 9:
            self.probe()
        elif kind < 10:
            self.write()
        elif kind < 11:
            self.replicate()
        elif self.random.randrange(self.fault_interval) == 0:
            self.random.choice(self.faults)()

    def any_proxy(self) -> group_simulation.Proxy:
        return self.random.choice(list(self.simulation.proxies.values()))

    def any_database(self) -> str:
        return self.random.choice(list(self.simulation.logs))

    def pop_packet(self) -> group_simulation.Packet | None:
        """Removes and returns a packet, but no reply to a paused proxy."""
        ready = [
            index
            for index, packet in enumerate(self.simulation.packets)
            if not (packet.replied and self.paused(packet))
        ]
        if not ready:
            return None
        return self.simulation.packets.pop(self.random.choice(ready))

    def paused(self, packet: group_simulation.Packet) -> bool:
        return self.simulation.proxies[packet.proxy].paused

    def deliver(self) -> None:
        packet = self.pop_packet()
        if packet is not None:
            self.simulation.deliver(packet)

    def drop(self) -> None:
        packet = self.pop_packet()
        if packet is not None and not self.paused(packet):
            self.simulation.lose(packet)

    def duplicate(self) -> None:
        if self.simulation.packets:
            packet = self.random.choice(self.simulation.packets)
            if not isinstance(packet.request, group_simulation.Write):
                self.simulation.packets.append(packet)

    def probe(self) -> None:
        proxy = self.any_proxy()
        if not proxy.paused and len(self.simulation.packets) < 60:
            proxy.probe()

    def write(self) -> None:
        self.writes += 1
        proxy = self.any_proxy()
        if not proxy.paused:
            proxy.write(f"w{self.writes}")

    def replicate(self) -> None:
        most = self.random.choice((1, 3, None))
        for name in self.simulation.logs:
            self.simulation.replicate(name, most)

    def pause(self) -> None:
        self.any_proxy().paused = True

    def resume(self) -> None:
        self.any_proxy().paused = False

    def crash(self) -> None:
        if len(self.simulation.down) + 1 < self.simulation.group.majority:
            self.simulation.crash(self.any_database())

    def restart(self) -> None:
        self.simulation.down.discard(self.any_database())

    def cut(self) -> None:
        pair = frozenset((self.any_database(), self.any_database()))
        self.simulation.cut_links.add(pair)

    def restore_links(self) -> None:
        self.simulation.cut_links.clear()

    def lose_log(self) -> None:
        """Makes one database lose its log and its fencing state.

        At most one database is without its log at a time, and none is down
        then.
        """
        logs = self.simulation.logs.values()
        if all(log.log_term > 0 for log in logs) and not self.simulation.down:
            name = self.any_database()
            self.simulation.crash(name)
            self.simulation.logs[name].reset("again")
            self.simulation.down.discard(name)

    def end_faults(self) -> None:
        """Restarts databases, restores links and resumes proxies."""
        self.simulation.down.clear()
        self.simulation.cut_links.clear()
        for proxy in self.simulation.proxies.values():
            proxy.paused = False

    def exchange_all(self) -> None:
        """Delivers all packets in order, replicates, and advances the clock."""
        for proxy in self.simulation.proxies.values():
            proxy.probe()
        packets, self.simulation.packets = self.simulation.packets, []
        for packet in packets:
            self.simulation.deliver(packet)
        for name in self.simulation.logs:
            self.simulation.replicate(name, None)
        self.simulation.advance(_RECOVERY_MILLISECONDS)


class FailoverProperty(unittest.TestCase):
    """Runs the simulation's assertions, and checks that the group recovers."""

    @hypothesis.seed(
        14867185204083732826225440206281881909597234619337312304208658237439391141023422804044153421591669165428764137992253
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32), databases=strategies.just(3)
    )
    @hypothesis.settings(max_examples=150)
    def test_acknowledged_writes_survive_in_a_group_of_three(
        self, seed: int, databases: int
    ) -> None:
        self.check(seed, databases)

    @hypothesis.seed(
        38377804635873994972815474632228058930872811895565384466611372077381607480232408200127037131057762512379662991900448
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32), databases=strategies.just(5)
    )
    @hypothesis.settings(max_examples=60)
    def test_acknowledged_writes_survive_in_a_group_of_five(
        self, seed: int, databases: int
    ) -> None:
        self.check(seed, databases)

    def check(self, seed: int, databases: int) -> None:
        run = _RandomRun(seed, databases)
        for _ in range(_STEPS):
            run.step()
        run.end_faults()
        before = len(run.simulation.acknowledged)
        for _ in range(_RECOVERY_ROUNDS):
            run.exchange_all()
            run.write()
            if len(run.simulation.acknowledged) > before:
                return
        self.fail("no write was acknowledged after the faults ended")
