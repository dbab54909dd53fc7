"""Which proxies are alive: typed events in, effects out, no I/O.

Combines the detector with the exchange of members: seeds and remembered dead
are tried again now and then, and proxies whose digests differ for long copy
each other's members. That is how a fleet cut in two becomes one again.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.proxies import codec
from hickorygate.proxies import detector as detectors
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import messages
from hickorygate.proxies import rendezvous
from hickorygate.proxies import roster as rosters

__all__ = ["Event", "Membership", "Received", "Tick"]

_RELAYS_A_ZONE = 2
_GOODBYES = 8
"""Proxies that are told directly of a stop on purpose."""
_CONTACT_PERIODS = 8
"""Periods between two tries of a seed or a dead proxy."""
_QUIET_PERIODS = 8
"""Periods without news after which differing digests count."""
_COPY_PERIODS = 16
"""Periods between two copies of all members."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """A period ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received(Event):
    """A packet came."""

    packet: codec.Packet


Effects = tuple[effects.Effect, ...]


class Membership:
    """The proxies of the fleet as this one sees them."""

    __slots__ = (
        "_changed",
        "_copied",
        "_detector",
        "_generator",
        "_periods",
        "_relay",
        "_relay_among",
        "_roster",
        "_settings",
    )

    def __init__(
        self,
        me: members.Member,
        settings: settings_lib.PeerSettings,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._generator = generator
        self._roster = rosters.Roster(me, settings.heartbeat)
        self._detector = detectors.Detector(
            self._roster, settings.heartbeat, generator
        )
        self._relay = True
        self._relay_among: tuple[members.Member, ...] | None = None
        self._periods = 0
        self._changed = 0
        self._copied = 0

    @property
    def me(self) -> members.Member:
        """This proxy."""
        return self._roster.me

    @property
    def members(self) -> tuple[members.Member, ...]:
        """The other live proxies, suspects included, by name."""
        return self._roster.live

    @property
    def names(self) -> tuple[types.ProxyName, ...]:
        """All live proxies, this one included, by name."""
        return tuple(
            sorted(m.name for m in (self._roster.me, *self._roster.live))
        )

    @property
    def digest(self) -> int:
        """Equal on proxies that believe the same members live."""
        return self._roster.digest

    @property
    def pending_news(self) -> int:
        """Members of whom the others have still to be told."""
        return len(self._roster.news)

    @property
    def is_relay(self) -> bool:
        """Whether this proxy watches the store for its zone."""
        live = self._roster.live
        if live is not self._relay_among:
            self._relay_among = live
            self._relay = self._chosen_relay(live)
        return self._relay

    def __repr__(self) -> str:
        return f"Membership({self._roster!r})"

    def handle(self, event: Event, now: datetime.datetime) -> Effects:
        """Decides what follows from an event."""
        return _handle(event, self, now)

    def sample(self, count: int) -> tuple[members.Member, ...]:
        """Returns a few random live proxies."""
        live = self._roster.live
        return tuple(self._generator.sample(live, min(count, len(live))))

    def leave(self) -> Effects:
        """Tells a few proxies that this one stops on purpose."""
        self._roster.leave()
        goodbye = messages.MembersCopy((self._roster.me,))
        return tuple(
            effects.Send(member.address, goodbye, member.name)
            for member in self.sample(_GOODBYES)
        )

    def tick(self, now: datetime.datetime) -> Effects:
        """Ends a period."""
        self._periods += 1
        found = [*self._detector.tick(now)]
        if self._periods % _CONTACT_PERIODS == 1:
            found.extend(self._contact())
        self._note(found)
        return tuple(found)

    def receive(self, packet: codec.Packet, now: datetime.datetime) -> Effects:
        """Takes in a packet."""
        sender = packet.header.sender
        if sender.name == self._roster.me.name:
            return ()
        found = [*self._roster.merge(sender, now)]
        found.extend(_take(packet.message, self, sender, now))
        found.extend(self._compare(packet.header))
        self._note(found)
        return tuple(found)

    def take_updates(
        self, news: tuple[members.Member, ...], now: datetime.datetime
    ) -> Effects:
        """Takes in what another proxy tells of members."""
        return tuple(
            effect
            for member in news
            for effect in self._roster.merge(member, now)
        )

    def answer_ping(
        self, ping: messages.Ping, sender: members.Member
    ) -> Effects:
        """Answers, and tells a sender that is in doubt about it."""
        known = self._roster.get(sender.name)
        doubted = known if known and known.state else None
        ack = messages.Ack(ping.sequence, self._roster.news.take(doubted))
        send = effects.Send(sender.address, ack, sender.name)
        if ping.reopen:
            return (effects.Closed(sender.address), send)
        return (send,)

    def answered(
        self, sequence: int, sender: members.Member
    ) -> tuple[effects.Effect, ...]:
        """Takes in the answer to a ping."""
        return self._detector.answered(sequence, sender.name)

    def answered_indirectly(self, ack: messages.IndirectAck) -> None:
        """Takes in an answer that came by way of another proxy."""
        self._detector.answered_indirectly(ack.sequence, ack.target)

    def ping_for(
        self, request: messages.PingRequest, sender: members.Member
    ) -> Effects:
        """Pings on behalf of another proxy."""
        return self._detector.ping_for(sender, request)

    def copy_members(self, receiver: members.Member) -> Effects:
        """Sends all members, in messages of bounded size."""
        everyone = self._roster.everyone
        size = messages.MEMBERS_A_MESSAGE
        return tuple(
            effects.Send(
                receiver.address,
                messages.MembersCopy(everyone[start : start + size]),
                receiver.name,
            )
            for start in range(0, len(everyone), size)
        )

    def _chosen_relay(self, live: tuple[members.Member, ...]) -> bool:
        me = self._roster.me
        names = [m.name for m in live if m.zone == me.zone]
        chosen = rendezvous.owners(
            f"relay {me.zone}", [*names, me.name], _RELAYS_A_ZONE
        )
        return me.name in chosen

    def _contact(self) -> list[effects.Effect]:
        """Tries one seed or dead proxy."""
        known = {m.address for m in (self._roster.me, *self._roster.live)}
        seeds = self._settings.parsed_seeds
        unheard = [seed for seed in seeds if seed.address not in known]
        targets = [*unheard, *self._roster.dead]
        if not targets:
            return []
        return [_reach(self._generator.choice(targets), self._detector)]

    def _compare(self, header: messages.Header) -> list[effects.Effect]:
        """Asks for all members of one that long believes in others."""
        if header.digest == self._roster.digest:
            return []
        quiet = self._periods - self._changed >= _QUIET_PERIODS
        if not quiet or self._periods - self._copied < _COPY_PERIODS:
            return []
        self._copied = self._periods
        sender = header.sender
        wanted = messages.MembersWanted()
        return [effects.Send(sender.address, wanted, sender.name)]

    def _note(self, found: list[effects.Effect]) -> None:
        if any(isinstance(e, effects.Joined | effects.Lost) for e in found):
            self._changed = self._periods


@functools.singledispatch
def _handle(
    event: Event, membership: Membership, now: datetime.datetime
) -> Effects:
    raise TypeError(f"no way to handle {event!r}; register one")


@_handle.register
def _(event: Tick, membership: Membership, now: datetime.datetime) -> Effects:
    return membership.tick(now)


@_handle.register
def _(
    event: Received, membership: Membership, now: datetime.datetime
) -> Effects:
    return membership.receive(event.packet, now)


@functools.singledispatch
def _reach(
    target: settings_lib.Seed | members.Member, detector: detectors.Detector
) -> effects.Send:
    raise TypeError(f"no way to reach {target!r}; register one")


@_reach.register
def _(target: settings_lib.Seed, detector: detectors.Detector) -> effects.Send:
    return effects.Send(target.address, messages.MembersWanted(), target.name)


@_reach.register
def _(target: members.Member, detector: detectors.Detector) -> effects.Send:
    return detector.ping(target.name, target.address)


@functools.singledispatch
def _take(
    message: messages.Message,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    """Messages of other subjects say no more than that the sender lives."""
    return ()


@_take.register
def _(
    message: messages.Ping,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    changes = membership.take_updates(message.updates, now)
    return changes + membership.answer_ping(message, sender)


@_take.register
def _(
    message: messages.Ack,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    changes = membership.take_updates(message.updates, now)
    return changes + membership.answered(message.sequence, sender)


@_take.register
def _(
    message: messages.PingRequest,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.ping_for(message, sender)


@_take.register
def _(
    message: messages.IndirectAck,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    membership.answered_indirectly(message)
    return ()


@_take.register
def _(
    message: messages.MembersWanted,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.copy_members(sender)


@_take.register
def _(
    message: messages.MembersCopy,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.take_updates(message.members, now)
