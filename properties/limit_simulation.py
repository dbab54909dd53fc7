"""Simulates proxies that share the rate limit of one workspace.

The decisions are the real ones; links, store and time are simulated. Messages
that can't be delivered wait, as on a TCP connection that was cut off.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random

from hickorygate.callers import workspace_limits
from hickorygate.core import events
from hickorygate.core import limit_membership
from hickorygate.core import workspace as workspaces
from hickorygate.proxies import link_state
from hickorygate.proxies import rights_exchange
from hickorygate.proxies import statement_messages as messages
from hickorygate.testing import clock as fake_clock

__all__ = ["LimitedFleet", "SimulatedProxy", "WORKSPACE"]

WORKSPACE = "w"
_STEP = 0.05
_TICK = 0.3
_WINDOW = 5.0
_COUNT = 8.0
_COUNTS_PER_RENEWAL = 2
_MAX_OUTDATED = 3.0
"""Age of a list that may be outdated, in seconds."""

_MAX_OFFERED = 40
"""Operations that are offered to a proxy in one step."""


@dataclasses.dataclass(slots=True)
class _Message:
    """A message under way.

    Attributes:
      sender: process that sent it.
      receiver: name of the proxy that gets it.
      content: the message.
      due: earliest time of its delivery, in seconds.
    """

    sender: SimulatedProxy
    receiver: str
    content: messages.RightsRequest | messages.Rights
    due: float


class _Links:
    """The links of one simulated proxy."""

    def __init__(self, proxy: SimulatedProxy) -> None:
        self._proxy = proxy
        self.doubts: dict[str, link_state.LinkQuality] = {}

    def listen_for_rights(self, listener: object) -> None:
        """Does nothing; the simulation delivers messages itself."""

    def quality(self, server: str) -> link_state.LinkQuality:
        """Returns how well a proxy can be used."""
        if self._proxy.fleet.is_cut(self._proxy.name, server):
            return link_state.LinkQuality.UNUSABLE
        return self.doubts.get(server, link_state.LinkQuality.GOOD)

    def request_rights(
        self, server: str, message: messages.RightsRequest
    ) -> bool:
        """Sends a request."""
        self._proxy.fleet.send(self._proxy, server, message)
        return True


class SimulatedProxy:
    """One process of a proxy.

    Attributes:
      name: name of the proxy.
      fleet: fleet that it belongs to.
      suspended: whether the process is suspended.
      store_cut: whether it can't reach the store.
      links: its links to other proxies.
      limits: its rate limits.
      membership: proxies that it counts.
      exchange: its exchange of shares.
    """

    def __init__(self, name: str, fleet: LimitedFleet) -> None:
        self.name = name
        self.fleet = fleet
        self.suspended = False
        self.store_cut = False
        self.links = _Links(self)
        self.limits = workspace_limits.WorkspaceLimits(
            name,
            lambda: fleet.workspaces,
            events.Timeline(name, events.HybridLogicalClock(fleet.clock)),
            fleet.rng,
            fleet.clock.now(),
        )
        self.membership = limit_membership.LimitMembership(name)
        self.exchange = rights_exchange.RightsExchange(
            name,
            self.links,  # type: ignore[arg-type]
            self.membership,
            self.limits,
            fleet.clock,
        )
        self._announced: object = None
        self._counts = 0
        self.membership.record_start(fleet.objects)
        self._list(complete=False)
        self._renew()
        self._next_count = fleet.now + 0.3
        self._next_tick = fleet.now + _TICK * fleet.rng.random()

    def __repr__(self) -> str:
        return f"SimulatedProxy({self.name!r})"

    def step(self) -> None:
        """Does the periodic work that is due."""
        now = self.fleet.now
        if now >= self._next_tick:
            self._next_tick = now + _TICK
            self.exchange.tick()
        if now >= self._next_count:
            self._count(now)

    def offer(self) -> int:
        """Offers many operations; returns how many are admitted."""
        now = self.fleet.clock.now()
        for admitted in range(_MAX_OFFERED):
            if self.limits.admit(WORKSPACE, now) is not None:
                return admitted
        return _MAX_OFFERED

    def _count(self, now: float) -> None:
        """Counts the proxies as `store/registration.py` does."""
        if not self.store_cut:
            self._list(complete=not self.membership.active)
            self._tell()
        settling = not self.membership.active
        self._next_count = now + (
            1.0 if settling else _COUNT * self.fleet.rng.uniform(0.8, 1.2)
        )

    def _tell(self) -> None:
        """Renews the object if that is due or its content has changed."""
        self._counts += 1
        fields = self.membership.fleet.digest, self.membership.active
        renewal_due = self._counts % _COUNTS_PER_RENEWAL == 0
        if fields != self._announced or renewal_due:
            self._renew()

    def _list(self, complete: bool) -> None:
        listed = self.fleet.objects if complete else self.fleet.outdated()
        self.membership.record_list(listed, complete, self.fleet.clock.now())
        self.exchange.set_live(frozenset(listed) | {self.name})

    def _renew(self) -> None:
        if self.store_cut:
            return
        fleet, active = self.membership.fleet, self.membership.active
        self._announced = (fleet.digest, active)
        self.fleet.write(
            self.name,
            limit_membership.MemberObject(1.0, fleet.digest, active),
        )
        self.membership.record_renewal(self.fleet.clock.now())


class LimitedFleet:
    """A fleet of proxies whose callers send as much as they can.

    Attributes:
      rng: source of delays.
      clock: clock of all proxies.
      proxies: running processes by name.
      objects: registrations of the proxies in the store.
      workspaces: the workspaces of the configuration.
      admitted: time of each admitted operation, in seconds.
      gateways: names of the proxies that get load; None for all.
    """

    def __init__(self, seed: int, rate: float, burst: float) -> None:
        self.rng = random.Random(seed)
        self.clock = fake_clock.FakeClock()
        self.proxies: dict[str, SimulatedProxy] = {}
        self.objects: dict[str, limit_membership.MemberObject] = {}
        self.workspaces = {
            WORKSPACE: workspaces.Workspace(WORKSPACE, rate, burst)
        }
        self.admitted: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.gateways: frozenset[str] | None = None
        self._start = self.clock.now()
        self._history: collections.deque[
            tuple[float, dict[str, limit_membership.MemberObject]]
        ] = collections.deque()
        self._cuts: set[frozenset[str]] = set()
        self._messages: list[_Message] = []
        self._former_bound = (0.0, 0.0)

    def __repr__(self) -> str:
        return f"LimitedFleet({len(self.proxies)} proxies, {self.now:.2f} s)"

    @property
    def now(self) -> float:
        """Time since the start, in seconds."""
        return (self.clock.now() - self._start).total_seconds()

    @property
    def bound(self) -> float:
        """Operations that may be admitted in a window.

        The tenth that `bounds.quota_excess` adds is left to the time between
        an operation's admission and its run.
        """
        limit = self.workspaces[WORKSPACE]
        assert limit.rate is not None, "the workspace has a limit"
        assert limit.burst is not None, "the workspace has a limit"
        return limit.rate * _WINDOW + limit.burst + 20

    def start(self, name: str) -> None:
        """Starts a process of a proxy."""
        self.proxies[name] = SimulatedProxy(name, self)

    def kill(self, name: str) -> None:
        """Ends a process without any notice."""
        del self.proxies[name]

    def leave(self, name: str) -> None:
        """Shuts a process down; others learn it after a moment."""
        self.proxies.pop(name).exchange.leave()
        self._history.append((self.now, dict(self.objects)))
        self.objects.pop(name, None)
        for other in self.proxies.values():
            if not other.suspended and not self.is_cut(name, other.name):
                other.exchange.server_leaving(name)

    def set_limit(self, rate: float, burst: float) -> None:
        """Changes the limit; the former one counts for one more window."""
        self._former_bound = (self.now + _WINDOW, max(self.bound, self.allowed))
        self.workspaces = {
            WORKSPACE: workspaces.Workspace(WORKSPACE, rate, burst)
        }

    @property
    def allowed(self) -> float:
        """Operations that may have run in the window that ends now."""
        until, former = self._former_bound
        return max(self.bound, former) if self.now <= until else self.bound

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether no message passes between two proxies."""
        return frozenset((one, other)) in self._cuts

    def cut(self, one: str, other: str) -> None:
        """Cuts two proxies off from each other."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all partitions."""
        self._cuts.clear()

    def write(self, name: str, found: limit_membership.MemberObject) -> None:
        """Writes the object of a proxy to the store."""
        self._history.append((self.now, dict(self.objects)))
        self.objects[name] = found

    def outdated(self) -> dict[str, limit_membership.MemberObject]:
        """Returns the objects as they were up to a few seconds ago."""
        oldest = self.now - self.rng.uniform(0, _MAX_OUTDATED)
        while self._history and self._history[0][0] < self.now - _MAX_OUTDATED:
            self._history.popleft()
        for replaced, objects in self._history:
            if replaced >= oldest:
                return objects
        return self.objects

    def send(
        self,
        sender: SimulatedProxy,
        receiver: str,
        content: messages.RightsRequest | messages.Rights,
    ) -> None:
        """Sends a message, which is delayed a little."""
        slow = self.rng.random() < 0.05
        due = self.now + self.rng.uniform(0, 0.9 if slow else 0.02)
        self._messages.append(_Message(sender, receiver, content, due))

    def run(self, seconds: float) -> None:
        """Lets time pass.

        Raises:
          AssertionError: more operations ran in a window than the bound.
        """
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(datetime.timedelta(seconds=_STEP))
            self._deliver()
            for proxy in tuple(self.proxies.values()):
                if not proxy.suspended:
                    proxy.step()
                    if self.gateways is None or proxy.name in self.gateways:
                        self.admitted.append((self.now, proxy.offer()))
            self._check()

    def admitted_since(self, start: float) -> int:
        """Returns the number of operations admitted since a time."""
        return sum(count for at, count in self.admitted if at > start)

    def _deliver(self) -> None:
        waiting, self._messages = self._messages, []
        for message in waiting:
            sender, receiver = message.sender, message.receiver
            target = self.proxies.get(receiver)
            if target is None or self.proxies.get(sender.name) is not sender:
                continue  # The connection has ended with its process.
            held = target.suspended or self.is_cut(sender.name, receiver)
            if held or message.due > self.now:
                self._messages.append(message)
            elif isinstance(message.content, messages.RightsRequest):
                answer = target.exchange.answer(sender.name, message.content)
                self.send(target, sender.name, answer)
            else:
                target.exchange.rights_received(sender.name, message.content)

    def _check(self) -> None:
        while self.admitted and self.admitted[0][0] < self.now - _WINDOW:
            self.admitted.popleft()
        total = sum(count for _, count in self.admitted)
        assert total <= self.allowed, (
            f"{total} operations in a window at {self.now:.2f} s, "
            f"{self.allowed:.1f} allowed"
        )
