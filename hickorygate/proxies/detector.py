"""Finds proxies that stopped answering, at the same cost in any fleet.

Each period one proxy of a small random view is pinged. Unanswered, it is
pinged again over a new connection and through others; unanswered again, it
is suspected. The view changes slowly, so that few connections are open.
Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

from __future__ import annotations

import dataclasses
import datetime
import random

from hickorygate.core import types
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import messages
from hickorygate.proxies import roster as rosters

__all__ = ["Detector"]

_VIEW_SIZE = 16
"""Proxies that this one pings in turn."""
_HELPERS = 2
"""Proxies asked to ping one that didn't answer."""
_TOLD = 4
"""Proxies that are told at once of one that is suspected or lost."""
_PINGS_IN_SMALL_FLEET = 2
_LATE_PERIODS = 2.5
"""A tick that comes later than this says that this process was paused."""
_REQUESTS_KEPT = 64


@dataclasses.dataclass(slots=True)
class _Probe:
    """A ping without an answer yet, and how often its period has ended."""

    name: types.ProxyName
    address: members.Address
    ended: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """A ping on behalf of another proxy."""

    requester: members.Member
    sequence: int
    target: types.ProxyName


class Detector:
    """Pings, and what became of them."""

    __slots__ = (
        "_generator",
        "_last_tick",
        "_period",
        "_probes",
        "_queue",
        "_reopen",
        "_requests",
        "_roster",
        "_sequence",
        "_view",
    )

    def __init__(
        self,
        roster: rosters.Roster,
        period: datetime.timedelta,
        generator: random.Random,
    ) -> None:
        self._roster = roster
        self._period = period
        self._generator = generator
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._requests: dict[int, _Request] = {}
        self._reopen: set[types.ProxyName] = set()
        self._view: list[types.ProxyName] = []
        self._queue: list[types.ProxyName] = []
        self._last_tick: datetime.datetime | None = None

    @property
    def _pings(self) -> int:
        """Pings a period: more while that costs next to nothing."""
        small = len(self._roster.live) <= _VIEW_SIZE
        return _PINGS_IN_SMALL_FLEET if small else 1

    def __repr__(self) -> str:
        return f"Detector(view={len(self._view)}, probes={len(self._probes)})"

    def tick(self, now: datetime.datetime) -> tuple[effects.Effect, ...]:
        """Ends a period and begins the next."""
        self._forgive_pause(now)
        found = list(self._end_period(now))
        found.extend(self._tell(self._roster.expire(now)))
        for _ in range(self._pings):
            found.extend(self._ping_next())
        return tuple(found)

    def ping(
        self, name: types.ProxyName, address: members.Address
    ) -> effects.Send:
        """Returns a ping that nobody is suspected for not answering."""
        self._sequence += 1
        reopen = name in self._reopen
        self._reopen.discard(name)
        known = self._roster.get(name)
        doubted = known if known and known.state else None
        message = messages.Ping(
            self._sequence, reopen, self._roster.news.take(doubted)
        )
        return effects.Send(address, message, name)

    def answered(
        self, sequence: int, sender: types.ProxyName
    ) -> tuple[effects.Effect, ...]:
        """Takes in an answer; one asked for by another is passed on."""
        probe = self._probes.get(sequence)
        if probe is not None and probe.name == sender:
            del self._probes[sequence]
        request = self._requests.get(sequence)
        if request is None or request.target != sender:
            return ()
        del self._requests[sequence]
        message = messages.IndirectAck(request.sequence, sender)
        requester = request.requester
        return (effects.Send(requester.address, message, requester.name),)

    def answered_indirectly(
        self, sequence: int, target: types.ProxyName
    ) -> None:
        """The target lives, though its answers don't reach this proxy."""
        probe = self._probes.get(sequence)
        if probe is not None and probe.name == target:
            del self._probes[sequence]
            self._reopen.add(target)

    def ping_for(
        self, requester: members.Member, request: messages.PingRequest
    ) -> tuple[effects.Effect, ...]:
        """Pings on behalf of another proxy."""
        send = self.ping(request.target, request.address)
        self._requests[self._sequence] = _Request(
            requester, request.sequence, request.target
        )
        while len(self._requests) > _REQUESTS_KEPT:
            del self._requests[next(iter(self._requests))]
        return (send,)

    def _forgive_pause(self, now: datetime.datetime) -> None:
        """After a pause of this process, no silence was the others' fault."""
        last, self._last_tick = self._last_tick, now
        if last is None or now - last <= self._period * _LATE_PERIODS:
            return
        self._probes.clear()
        self._roster.forgive(now - last)

    def _end_period(self, now: datetime.datetime) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for sequence, probe in list(self._probes.items()):
            probe.ended += 1
            if probe.ended == 1:
                found.extend(self._ask_others(sequence, probe))
            else:
                del self._probes[sequence]
                self._reopen.add(probe.name)
                found.extend(self._suspect(probe, now))
        return found

    def _suspect(
        self, probe: _Probe, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Suspects a proxy, and tells it and a few others so."""
        found = [*self._roster.suspect(probe.name, now)]
        suspect = self._roster.get(probe.name)
        if suspect is not None and suspect.state is members.State.SUSPECT:
            found.extend(self._spread(suspect))
        found.append(self.ping(probe.name, probe.address))
        return found

    def _tell(self, found: tuple[effects.Effect, ...]) -> list[effects.Effect]:
        """Adds to each loss that it is told to a few others at once."""
        lost = [e.member for e in found if isinstance(e, effects.Lost)]
        told = [send for member in lost for send in self._spread(member)]
        return [*found, *told]

    def _spread(self, member: members.Member) -> list[effects.Effect]:
        others = [m for m in self._roster.live if m.name != member.name]
        receivers = self._generator.sample(others, min(_TOLD, len(others)))
        news = messages.MembersCopy((member,))
        return [effects.Send(m.address, news, m.name) for m in receivers]

    def _ask_others(self, sequence: int, probe: _Probe) -> list[effects.Effect]:
        """Pings again over a new connection, and through others."""
        again = messages.Ping(sequence, reopen=True)
        found: list[effects.Effect] = [
            effects.Closed(probe.address),
            effects.Send(probe.address, again, probe.name),
        ]
        others = [m for m in self._roster.live if m.name != probe.name]
        helpers = min(_HELPERS, len(others))
        request = messages.PingRequest(sequence, probe.name, probe.address)
        found.extend(
            effects.Send(helper.address, request, helper.name)
            for helper in self._generator.sample(others, helpers)
        )
        return found

    def _ping_next(self) -> list[effects.Effect]:
        target = self._next_target()
        if target is None:
            return []
        send = self.ping(target.name, target.address)
        self._probes[self._sequence] = _Probe(target.name, target.address)
        return [send]

    def _next_target(self) -> members.Member | None:
        if not self._queue:
            self._renew_view()
        while self._queue:
            member = self._roster.get(self._queue.pop())
            if member is not None and member.live:
                return member
        return None

    def _renew_view(self) -> None:
        """Replaces the dead and one other of the view."""
        live = [member.name for member in self._roster.live]
        known = set(live)
        self._view = [name for name in self._view if name in known]
        if len(live) > _VIEW_SIZE and self._view:
            index = self._generator.randrange(len(self._view))
            del self._view[index]
        chosen = set(self._view)
        others = [name for name in live if name not in chosen]
        missing = min(_VIEW_SIZE - len(self._view), len(others))
        self._view.extend(self._generator.sample(others, missing))
        self._queue = list(self._view)
        self._generator.shuffle(self._queue)
