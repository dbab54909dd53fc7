"""Failure detector whose cost per proxy doesn't depend on the fleet size.

Each period the detector pings one proxy of a small random view, or two while
the whole fleet fits into the view. If no answer arrives within the period, the
proxy is pinged once more over a new connection and indirectly via other
proxies. If that fails too, the proxy is suspected.
The view changes slowly, so that few connections are open.
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
from hickorygate.proxies import member_table
from hickorygate.proxies import messages

__all__ = ["FailureDetector"]

_VIEW_SIZE = 16
"""Number of proxies that this one pings in rotation."""
_INDIRECT_PINGS = 2
"""Number of proxies asked to ping one that didn't answer."""
_ANNOUNCE_FANOUT = 4
"""Number of proxies that get an immediate message on suspicion or loss."""
_PINGS_IN_SMALL_FLEET = 2
"""Pings per period while the whole fleet fits into the view."""
_PAUSE_THRESHOLD_PERIODS = 2.5
"""Time between two ticks, in periods, above which this process counts as
paused."""
_MAX_FORWARDED_PINGS = 64
"""Maximum number of unanswered pings kept on behalf of other proxies."""


@dataclasses.dataclass(slots=True)
class _Probe:
    """A ping that hasn't been answered yet.

    Attributes:
      name: name of the pinged proxy.
      address: address of the pinged proxy.
      ended_periods: number of periods that have ended since the ping was
        sent.
    """

    name: types.ProxyName
    address: members.Address
    ended_periods: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ForwardedPing:
    """An unanswered ping sent on behalf of another proxy.

    Attributes:
      requester: proxy that asked for the ping.
      sequence: sequence number of the requester's ping.
      target: name of the pinged proxy.
    """

    requester: members.Member
    sequence: int
    target: types.ProxyName


class FailureDetector:
    """SWIM-style failure detector.

    Sends pings, tracks the unanswered ones and marks proxies as suspect in the
    member table. `_reopen_requested` holds the proxies whose next ping asks for
    an answer over a new connection.
    """

    __slots__ = (
        "_forwarded_pings",
        "_generator",
        "_last_tick",
        "_period",
        "_ping_queue",
        "_probes",
        "_reopen_requested",
        "_member_table",
        "_sequence",
        "_view",
    )

    def __init__(
        self,
        known_members: member_table.MemberTable,
        period: datetime.timedelta,
        generator: random.Random,
    ) -> None:
        """Creates a detector with an empty view.

        Args:
          known_members: member table, which the detector updates.
          period: time between two ticks.
          generator: source of randomness for the view and the receivers.
        """
        self._member_table = known_members
        self._period = period
        self._generator = generator
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._forwarded_pings: dict[int, _ForwardedPing] = {}
        self._reopen_requested: set[types.ProxyName] = set()
        self._view: list[types.ProxyName] = []
        self._ping_queue: list[types.ProxyName] = []
        self._last_tick: datetime.datetime | None = None

    @property
    def _pings_per_period(self) -> int:
        """Pings per period; higher in a small fleet, where the cost is low."""
        small = len(self._member_table.live) <= _VIEW_SIZE
        return _PINGS_IN_SMALL_FLEET if small else 1

    def __repr__(self) -> str:
        return (
            f"FailureDetector(view={len(self._view)}, "
            f"probes={len(self._probes)})"
        )

    def tick(self, now: datetime.datetime) -> tuple[effects.Effect, ...]:
        """Ends the current period and starts the next one.

        Args:
          now: current time.

        Returns:
          Messages to send, connections to close and lost members.
        """
        self._compensate_for_pause(now)
        found = list(self._end_period(now))
        found.extend(self._announce_losses(self._member_table.expire(now)))
        for _ in range(self._pings_per_period):
            found.extend(self._probe_next())
        return tuple(found)

    def ping(
        self, name: types.ProxyName, address: members.Address
    ) -> effects.Send:
        """Returns a ping that isn't tracked as a probe.

        A missing answer to this ping alone raises no suspicion. A target
        recorded as suspect or dead gets its own record with the ping, so
        that it can refute that state.
        """
        self._sequence += 1
        reopen = name in self._reopen_requested
        self._reopen_requested.discard(name)
        known = self._member_table.get(name)
        not_alive = known if known and known.state else None
        message = messages.Ping(
            self._sequence,
            reopen,
            self._member_table.pending_updates.next_updates(not_alive),
        )
        return effects.Send(address, message, name)

    def answered(
        self, sequence: int, sender: types.ProxyName
    ) -> tuple[effects.Effect, ...]:
        """Processes the answer to a ping.

        Args:
          sequence: sequence number of the answered ping.
          sender: proxy that answered.

        Returns:
          A message that forwards the answer if another proxy had requested
          the ping, else nothing.
        """
        probe = self._probes.get(sequence)
        if probe is not None and probe.name == sender:
            del self._probes[sequence]
        request = self._forwarded_pings.get(sequence)
        if request is None or request.target != sender:
            return ()
        del self._forwarded_pings[sequence]
        message = messages.IndirectAck(request.sequence, sender)
        requester = request.requester
        return (effects.Send(requester.address, message, requester.name),)

    def handle_indirect_ack(
        self, sequence: int, target: types.ProxyName
    ) -> None:
        """Processes an answer that another proxy forwarded.

        The target is alive although its answers don't reach this proxy, so
        the next ping asks for an answer over a new connection.
        """
        probe = self._probes.get(sequence)
        if probe is not None and probe.name == target:
            del self._probes[sequence]
            self._reopen_requested.add(target)

    def ping_on_behalf(
        self, requester: members.Member, request: messages.PingRequest
    ) -> tuple[effects.Effect, ...]:
        """Pings a proxy on behalf of another one.

        Args:
          requester: proxy that gets the forwarded answer.
          request: target of the ping and the requester's sequence number.
        """
        send = self.ping(request.target, request.address)
        self._forwarded_pings[self._sequence] = _ForwardedPing(
            requester, request.sequence, request.target
        )
        while len(self._forwarded_pings) > _MAX_FORWARDED_PINGS:
            del self._forwarded_pings[next(iter(self._forwarded_pings))]
        return (send,)

    def _compensate_for_pause(self, now: datetime.datetime) -> None:
        """Discards probes and extends suspicions after a process pause.

        Missing answers during a pause of this process say nothing about the
        other proxies.
        """
        last, self._last_tick = self._last_tick, now
        if (
            last is None
            or now - last <= self._period * _PAUSE_THRESHOLD_PERIODS
        ):
            return
        self._probes.clear()
        self._member_table.extend_suspicions(now - last)

    def _end_period(self, now: datetime.datetime) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for sequence, probe in list(self._probes.items()):
            probe.ended_periods += 1
            if probe.ended_periods == 1:
                found.extend(self._retry_probe(sequence, probe))
            else:
                del self._probes[sequence]
                self._reopen_requested.add(probe.name)
                found.extend(self._suspect(probe, now))
        return found

    def _suspect(
        self, probe: _Probe, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Suspects a proxy and sends the suspicion to it and a few others."""
        found = [*self._member_table.suspect(probe.name, now)]
        suspect = self._member_table.get(probe.name)
        if suspect is not None and suspect.state is members.State.SUSPECT:
            found.extend(self._announce(suspect))
        found.append(self.ping(probe.name, probe.address))
        return found

    def _announce_losses(
        self, found: tuple[effects.Effect, ...]
    ) -> list[effects.Effect]:
        """Adds immediate announcements to a few others for each lost member."""
        lost = [e.member for e in found if isinstance(e, effects.ReportLost)]
        announcements = [
            send for member in lost for send in self._announce(member)
        ]
        return [*found, *announcements]

    def _announce(self, member: members.Member) -> list[effects.Effect]:
        others = [m for m in self._member_table.live if m.name != member.name]
        receivers = self._generator.sample(
            others, min(_ANNOUNCE_FANOUT, len(others))
        )
        update = messages.MembersCopy((member,))
        return [effects.Send(m.address, update, m.name) for m in receivers]

    def _retry_probe(
        self, sequence: int, probe: _Probe
    ) -> list[effects.Effect]:
        """Pings again over a new connection and indirectly via others."""
        retry = messages.Ping(sequence, reopen=True)
        found: list[effects.Effect] = [
            effects.CloseConnection(probe.address),
            effects.Send(probe.address, retry, probe.name),
        ]
        others = [m for m in self._member_table.live if m.name != probe.name]
        helper_count = min(_INDIRECT_PINGS, len(others))
        request = messages.PingRequest(sequence, probe.name, probe.address)
        found.extend(
            effects.Send(helper.address, request, helper.name)
            for helper in self._generator.sample(others, helper_count)
        )
        return found

    def _probe_next(self) -> list[effects.Effect]:
        target = self._next_target()
        if target is None:
            return []
        send = self.ping(target.name, target.address)
        self._probes[self._sequence] = _Probe(target.name, target.address)
        return [send]

    def _next_target(self) -> members.Member | None:
        if not self._ping_queue:
            self._refresh_view()
        while self._ping_queue:
            member = self._member_table.get(self._ping_queue.pop())
            if member is not None and member.live:
                return member
        return None

    def _refresh_view(self) -> None:
        """Replaces dead members and one random live member of the view.

        The random replacement takes place only if the fleet is larger than
        the view.
        """
        live = [member.name for member in self._member_table.live]
        known = set(live)
        self._view = [name for name in self._view if name in known]
        if len(live) > _VIEW_SIZE and self._view:
            index = self._generator.randrange(len(self._view))
            del self._view[index]
        chosen = set(self._view)
        others = [name for name in live if name not in chosen]
        missing = min(_VIEW_SIZE - len(self._view), len(others))
        self._view.extend(self._generator.sample(others, missing))
        self._ping_queue = list(self._view)
        self._generator.shuffle(self._ping_queue)
