"""Decides which proxies are alive: typed events in, effects out, no I/O.

Combines the failure detector with anti-entropy. Seeds and members recorded as
dead are contacted periodically, and proxies whose membership digests differ
for a long time copy each other's members. This merges the two halves of a
fleet after a network partition.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import rendezvous
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.proxies import codec
from hickorygate.proxies import effects
from hickorygate.proxies import failure_detector
from hickorygate.proxies import member as members
from hickorygate.proxies import member_table
from hickorygate.proxies import messages

__all__ = ["Event", "Membership", "Received", "Tick"]

_RELAYS_PER_ZONE = 2
"""Number of proxies per availability zone that watch the store."""
_LEAVE_NOTICES = 8
"""Number of proxies that get a direct message when this one shuts down."""
_CONTACT_INTERVAL_PERIODS = 8
"""Periods between two contacts to a seed that isn't live or a dead proxy."""
_STABLE_PERIODS = 8
"""Periods without a membership change before a digest mismatch counts."""
_SYNC_INTERVAL_PERIODS = 16
"""Minimum number of periods between two requests for all members."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the membership events."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """A heartbeat period ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received(Event):
    """A packet arrived.

    Attributes:
      packet: the decoded packet, including its header.
    """

    packet: codec.Packet


Effects = tuple[effects.Effect, ...]


class Membership:
    """The local view of the fleet's membership.

    The relays of an availability zone are its first `_RELAYS_PER_ZONE` live
    proxies by rendezvous hashing.
    """

    __slots__ = (
        "_cached_is_relay",
        "_detector",
        "_generator",
        "_last_change_period",
        "_last_sync_period",
        "_period_count",
        "_relay_computed_for",
        "_member_table",
        "_settings",
    )

    def __init__(
        self,
        me: members.Member,
        settings: settings_lib.PeerSettings,
        generator: random.Random,
    ) -> None:
        """Creates a membership without other known members.

        Args:
          me: member record of this proxy.
          settings: settings of the links between proxies.
          generator: source of randomness for targets and samples.
        """
        self._settings = settings
        self._generator = generator
        self._member_table = member_table.MemberTable(me, settings.heartbeat)
        self._detector = failure_detector.FailureDetector(
            self._member_table, settings.heartbeat, generator
        )
        self._cached_is_relay = True
        self._relay_computed_for: tuple[members.Member, ...] | None = None
        self._period_count = 0
        self._last_change_period = 0
        self._last_sync_period = 0

    @property
    def me(self) -> members.Member:
        """Member record of this proxy."""
        return self._member_table.me

    @property
    def members(self) -> tuple[members.Member, ...]:
        """The other live proxies, including suspects, sorted by name."""
        return self._member_table.live

    @property
    def names(self) -> tuple[types.ProxyName, ...]:
        """Sorted names of all live proxies, including this one."""
        return tuple(
            sorted(
                m.name
                for m in (self._member_table.me, *self._member_table.live)
            )
        )

    @property
    def digest(self) -> int:
        """Hash of the live members; equal on proxies with the same view."""
        return self._member_table.digest

    @property
    def pending_update_count(self) -> int:
        """Number of members with an update still to be disseminated."""
        return len(self._member_table.pending_updates)

    @property
    def is_relay(self) -> bool:
        """Whether this proxy watches the store on behalf of its zone.

        The result is cached until the set of live members changes.
        """
        live = self._member_table.live
        if live is not self._relay_computed_for:
            self._relay_computed_for = live
            self._cached_is_relay = self._compute_is_relay(live)
        return self._cached_is_relay

    def is_live(self, name: types.ProxyName) -> bool:
        """Returns whether another proxy is alive or suspect."""
        member = self._member_table.get(name)
        return member is not None and member.live

    def __repr__(self) -> str:
        return f"Membership({self._member_table!r})"

    def handle(self, event: Event, now: datetime.datetime) -> Effects:
        """Handles an event.

        Args:
          event: event to handle.
          now: current time.

        Returns:
          Effects that the adapter has to carry out.
        """
        return _handle(event, self, now)

    def sample(self, count: int) -> tuple[members.Member, ...]:
        """Returns random live proxies, this one excluded.

        Args:
          count: maximum number of proxies.
        """
        live = self._member_table.live
        return tuple(self._generator.sample(live, min(count, len(live))))

    def leave(self) -> Effects:
        """Announces a planned shutdown of this proxy to a few others."""
        self._member_table.leave()
        leave_notice = messages.MembersCopy((self._member_table.me,))
        return tuple(
            effects.Send(member.address, leave_notice, member.name)
            for member in self.sample(_LEAVE_NOTICES)
        )

    def tick(self, now: datetime.datetime) -> Effects:
        """Ends the current heartbeat period and starts the next one."""
        self._period_count += 1
        found = [*self._detector.tick(now)]
        if self._period_count % _CONTACT_INTERVAL_PERIODS == 1:
            found.extend(self._contact_unreachable())
        self._record_change(found)
        return tuple(found)

    def receive(self, packet: codec.Packet, now: datetime.datetime) -> Effects:
        """Processes a packet.

        A packet that carries this proxy's own name as sender is ignored.
        """
        sender = packet.header.sender
        if sender.name == self._member_table.me.name:
            return ()
        found = [*self._member_table.merge(sender, now)]
        found.extend(_handle_message(packet.message, self, sender, now))
        found.extend(self._request_sync(packet.header))
        self._record_change(found)
        return tuple(found)

    def merge_updates(
        self, updates: tuple[members.Member, ...], now: datetime.datetime
    ) -> Effects:
        """Merges member records received from another proxy."""
        return tuple(
            effect
            for member in updates
            for effect in self._member_table.merge(member, now)
        )

    def handle_ping(
        self, ping: messages.Ping, sender: members.Member
    ) -> Effects:
        """Answers a ping.

        A sender recorded as suspect or dead gets its own record with the
        answer, so that it can refute that state.
        """
        known = self._member_table.get(sender.name)
        not_alive = known if known and known.state else None
        ack = messages.Ack(
            ping.sequence,
            self._member_table.pending_updates.next_updates(not_alive),
        )
        send = effects.Send(sender.address, ack, sender.name)
        if ping.reopen:
            return (effects.CloseConnection(sender.address), send)
        return (send,)

    def answered(
        self, sequence: int, sender: members.Member
    ) -> tuple[effects.Effect, ...]:
        """Processes the answer to a ping."""
        return self._detector.answered(sequence, sender.name)

    def handle_indirect_ack(self, ack: messages.IndirectAck) -> None:
        """Processes an answer that another proxy forwarded."""
        self._detector.handle_indirect_ack(ack.sequence, ack.target)

    def ping_on_behalf(
        self, request: messages.PingRequest, sender: members.Member
    ) -> Effects:
        """Pings a proxy on behalf of another one."""
        return self._detector.ping_on_behalf(sender, request)

    def send_members(self, receiver: members.Member) -> Effects:
        """Sends all member records, split into messages of bounded size."""
        everyone = self._member_table.all_members
        size = messages.MAX_MEMBERS_PER_MESSAGE
        return tuple(
            effects.Send(
                receiver.address,
                messages.MembersCopy(everyone[start : start + size]),
                receiver.name,
            )
            for start in range(0, len(everyone), size)
        )

    def _compute_is_relay(self, live: tuple[members.Member, ...]) -> bool:
        me = self._member_table.me
        names = [m.name for m in live if m.zone == me.zone]
        chosen = rendezvous.owners(
            f"relay {me.zone}", [*names, me.name], _RELAYS_PER_ZONE
        )
        return me.name in chosen

    def _contact_unreachable(self) -> list[effects.Effect]:
        """Contacts a random seed that isn't live, or a random dead proxy."""
        known_addresses = {
            m.address for m in (self._member_table.me, *self._member_table.live)
        }
        seeds = self._settings.parsed_seeds
        unknown_seeds = [
            seed for seed in seeds if seed.address not in known_addresses
        ]
        targets = [*unknown_seeds, *self._member_table.dead]
        if not targets:
            return []
        return [
            _contact_message(self._generator.choice(targets), self._detector)
        ]

    def _request_sync(self, header: messages.Header) -> list[effects.Effect]:
        """Requests all members of a sender whose digest differs.

        The request is sent only if the local view has been unchanged for
        `_STABLE_PERIODS` periods and the last request is at least
        `_SYNC_INTERVAL_PERIODS` periods old.
        """
        if header.digest == self._member_table.digest:
            return []
        stable = (
            self._period_count - self._last_change_period >= _STABLE_PERIODS
        )
        if (
            not stable
            or self._period_count - self._last_sync_period
            < _SYNC_INTERVAL_PERIODS
        ):
            return []
        self._last_sync_period = self._period_count
        sender = header.sender
        request = messages.MembersRequest()
        return [effects.Send(sender.address, request, sender.name)]

    def _record_change(self, found: list[effects.Effect]) -> None:
        if any(
            isinstance(e, effects.ReportJoined | effects.ReportLost)
            for e in found
        ):
            self._last_change_period = self._period_count


@functools.singledispatch
def _handle(
    event: Event, membership: Membership, now: datetime.datetime
) -> Effects:
    raise TypeError(f"no handler for {event!r} is registered")


@_handle.register
def _(event: Tick, membership: Membership, now: datetime.datetime) -> Effects:
    return membership.tick(now)


@_handle.register
def _(
    event: Received, membership: Membership, now: datetime.datetime
) -> Effects:
    return membership.receive(event.packet, now)


@functools.singledispatch
def _contact_message(
    target: settings_lib.Seed | members.Member,
    detector: failure_detector.FailureDetector,
) -> effects.Send:
    raise TypeError(f"no contact message for {target!r} is registered")


@_contact_message.register
def _(
    target: settings_lib.Seed, detector: failure_detector.FailureDetector
) -> effects.Send:
    return effects.Send(target.address, messages.MembersRequest(), target.name)


@_contact_message.register
def _(
    target: members.Member, detector: failure_detector.FailureDetector
) -> effects.Send:
    return detector.ping(target.name, target.address)


@functools.singledispatch
def _handle_message(
    message: messages.Message,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    """Ignores a message that doesn't concern membership.

    The header of the packet has already shown that the sender is alive.
    """
    return ()


@_handle_message.register
def _(
    message: messages.Ping,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    changes = membership.merge_updates(message.updates, now)
    return changes + membership.handle_ping(message, sender)


@_handle_message.register
def _(
    message: messages.Ack,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    changes = membership.merge_updates(message.updates, now)
    return changes + membership.answered(message.sequence, sender)


@_handle_message.register
def _(
    message: messages.PingRequest,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.ping_on_behalf(message, sender)


@_handle_message.register
def _(
    message: messages.IndirectAck,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    membership.handle_indirect_ack(message)
    return ()


@_handle_message.register
def _(
    message: messages.MembersRequest,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.send_members(sender)


@_handle_message.register
def _(
    message: messages.MembersCopy,
    membership: Membership,
    sender: members.Member,
    now: datetime.datetime,
) -> Effects:
    return membership.merge_updates(message.members, now)
