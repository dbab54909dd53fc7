"""Compares ways to divide the rate limit of a workspace among proxies.

25 proxies serve a workspace whose callers use three of them, unevenly, and
send 62% of its limit. For 10 s the callers send 7.5 times as much; later most
of them move to another proxy; the busiest proxy for the workspace is killed
and restarted. Time is simulated; the shares that proxies lend to each other
are decided by the real code.

    python -m benchmarks.rate_limits --seed=1
"""

from __future__ import annotations

import abc
import argparse
import collections
import dataclasses
import random

from hickorygate.core import rate_limit
from hickorygate.proxies import link_state
from properties import limit_simulation

_PROXIES = tuple(f"p{number}" for number in range(25))
_RATE = 20.0
_BURST = 20.0
_USED = 0.62
_SECONDS = 70.0
_STEP = 0.05
_WINDOW = 5.0
_LOUD = (20.0, 30.0)
_LOUD_FACTOR = 7.5
_MOVE = 40.0
_KILL, _RESTART = 55.0, 58.0
_RECOVERY = 5.0
"""Seconds after the loud time in which nothing is owed: the burst is used."""

_CALLERS = (("p0", 0.6), ("p1", 0.3), ("p2", 0.1))
_MOVED_CALLERS = (("p0", 0.05), ("p1", 0.3), ("p2", 0.1), ("p3", 0.55))
_SLACK = 16.0
"""Slack of the bound that the policies without candidates add to the burst; a
bucket adds the other 4 operations itself."""

_STORE_INTERVAL = 8.0
_STORE_LEASE = 16.0
"""Seconds between two updates of a lease in the store, and of its validity."""

_HEADROOM = 1.5
"""Share that a proxy leases from the store, relative to its demand."""


class _Policy(abc.ABC):
    """A way to divide the limit."""

    @abc.abstractmethod
    def advance(self, now: float) -> None:
        """Advances the time."""

    @abc.abstractmethod
    def busiest(self) -> str:
        """Returns the proxy whose loss matters most."""

    @abc.abstractmethod
    def kill(self, name: str) -> None:
        """Ends the process of a proxy."""

    @abc.abstractmethod
    def restart(self, name: str) -> None:
        """Starts the process of a proxy again."""

    @abc.abstractmethod
    def admit(self, gateway: str) -> bool:
        """Returns whether an operation of a caller runs."""


class _FixedShares(_Policy):
    """Each proxy may use an even share for its own callers."""

    def __init__(self) -> None:
        self.shares = dict.fromkeys(_PROXIES, 1 / len(_PROXIES))
        self.buckets = {name: self._bucket() for name in _PROXIES}
        self.dead: set[str] = set()

    def _bucket(self) -> rate_limit.TokenBucket:
        limit = rate_limit.RateLimit(_RATE, _BURST + _SLACK)
        return rate_limit.TokenBucket(limit)

    def advance(self, now: float) -> None:
        for name, bucket in self.buckets.items():
            bucket.refill(self.shares[name], self.shares[name] * _STEP)

    def busiest(self) -> str:
        return "p3"

    def kill(self, name: str) -> None:
        self.dead.add(name)

    def restart(self, name: str) -> None:
        self.dead.discard(name)
        self.buckets[name] = self._bucket()

    def admit(self, gateway: str) -> bool:
        if gateway in self.dead:
            gateway = "p4"  # The callers connect to another proxy.
        return self.buckets[gateway].try_take()


class _StoreLeases(_FixedShares):
    """Each proxy leases a share from the store, in proportion to its demand."""

    def __init__(self) -> None:
        super().__init__()
        self.demand: collections.Counter[str] = collections.Counter()
        self.ends = dict.fromkeys(_PROXIES, _STORE_LEASE)
        self.next_update = {
            name: _STORE_INTERVAL * number / len(_PROXIES)
            for number, name in enumerate(_PROXIES)
        }

    def advance(self, now: float) -> None:
        for name in _PROXIES:
            if now >= self.ends[name]:
                self.shares[name] = 0.0
            if name not in self.dead and now >= self.next_update[name]:
                self.next_update[name] = now + _STORE_INTERVAL
                self._update(name, now)
        super().advance(now)

    def _update(self, name: str, now: float) -> None:
        demand = self.demand.pop(name, 0) / _STORE_INTERVAL
        wanted = max(_HEADROOM * demand / _RATE, 0.1 / len(_PROXIES))
        taken = sum(self.shares.values()) - self.shares[name]
        self.shares[name] = min(wanted, max(0.0, 1 - taken))
        self.ends[name] = now + _STORE_LEASE

    def admit(self, gateway: str) -> bool:
        self.demand["p4" if gateway in self.dead else gateway] += 1
        return super().admit(gateway)


class _LentShares(_Policy):
    """Holders lend their shares to the serving proxy; the real decisions."""

    def __init__(self, seed: int) -> None:
        self.fleet = limit_simulation.LimitedFleet(seed, _RATE, _BURST)
        self.fleet.gateways = frozenset()
        for name in _PROXIES:
            self.fleet.start(name)
        self.fleet.run(8)

    def advance(self, now: float) -> None:
        self.fleet.run(_STEP)

    def busiest(self) -> str:
        return self._server("p0")

    def kill(self, name: str) -> None:
        self.fleet.kill(name)
        for proxy in self.fleet.proxies.values():
            proxy.links.doubts[name] = link_state.LinkQuality.UNUSABLE

    def restart(self, name: str) -> None:
        self.fleet.start(name)
        for proxy in self.fleet.proxies.values():
            proxy.links.doubts.pop(name, None)

    def admit(self, gateway: str) -> bool:
        if gateway not in self.fleet.proxies:
            gateway = "p4"
        limits = self.fleet.proxies[self._server(gateway)].limits
        now = self.fleet.clock.now()
        return limits.admit(limit_simulation.WORKSPACE, now) is None

    def _server(self, gateway: str) -> str:
        proxy = self.fleet.proxies[gateway]
        proxy.exchange.tick()
        view = proxy.limits.lent.view
        assert view is not None, "the fleet has started"
        return view.server(gateway, limit_simulation.WORKSPACE)


@dataclasses.dataclass(slots=True)
class _Counts:
    """Operations of one run.

    Attributes:
      owed: operations of the times in which the workspace is below its limit.
      served: those of them that ran.
      greatest: greatest number that ran in a window.
    """

    owed: int = 0
    served: int = 0
    greatest: int = 0


def _is_owed(now: float) -> bool:
    return not _LOUD[0] <= now < _LOUD[1] + _RECOVERY


def _run(policy: _Policy, seed: int) -> _Counts:
    rng = random.Random(seed)
    counts = _Counts()
    window: collections.deque[float] = collections.deque()
    killed = ""
    for step in range(round(_SECONDS / _STEP)):
        now = step * _STEP
        policy.advance(now)
        if now >= _KILL and not killed:
            killed = policy.busiest()
            policy.kill(killed)
        if step == round(_RESTART / _STEP):
            policy.restart(killed)
        loud = _LOUD[0] <= now < _LOUD[1]
        rate = _USED * _RATE * (_LOUD_FACTOR if loud else 1)
        callers = _MOVED_CALLERS if now >= _MOVE else _CALLERS
        names, weights = zip(*callers, strict=True)
        while rng.random() < rate * _STEP / (1 + rate * _STEP):
            admitted = policy.admit(rng.choices(names, weights)[0])
            if _is_owed(now):
                counts.owed += 1
                counts.served += admitted
            if admitted:
                window.append(now)
        while window and window[0] < now - _WINDOW:
            window.popleft()
        counts.greatest = max(counts.greatest, len(window))
    return counts


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    bound = (_RATE * _WINDOW + _BURST) * 1.1 + 20
    print("| policy | owed operations served | greatest window |")
    print("|---|---|---|")
    for name, policy in (
        ("even shares, fixed", _FixedShares()),
        ("shares leased through the store", _StoreLeases()),
        ("shares lent between proxies", _LentShares(seed)),
    ):
        counts = _run(policy, seed)
        share = 100 * counts.served / counts.owed
        print(f"| {name} | {share:.1f}% | {counts.greatest} of {bound:.0f} |")


if __name__ == "__main__":
    main()
