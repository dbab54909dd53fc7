"""Membership table: the newest record of each known proxy.

Records are ordered by incarnation, then by state (`Member.supersedes`).
Proxies that receive the same records in any order therefore agree. Only a
proxy itself increments its incarnation, to refute a suspicion.
"""

from __future__ import annotations

import dataclasses
import datetime
import math

from hickorygate.core import types
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import updates

__all__ = ["MemberTable"]

_SUSPICION_PERIODS = 3
"""Periods to refute a suspicion, per decimal logarithm of the fleet size."""
_DEAD_RETENTION = datetime.timedelta(hours=1)
"""Time after which the record of a dead proxy is removed."""
_MAX_RECORDS = 4_096
"""Maximum number of records.

The bound is above the size of any fleet; it limits the memory that forged
records can use.
"""


@dataclasses.dataclass(slots=True)
class _Record:
    """A stored member record.

    Attributes:
      member: newest known record of the proxy.
      changed_at: time of the last change; later if this process was paused
        since then.
    """

    member: members.Member
    changed_at: datetime.datetime


class MemberTable:
    """Known members and the updates about them still to be disseminated."""

    __slots__ = (
        "_digest",
        "_live",
        "_me",
        "_not_alive",
        "_period",
        "_records",
        "_update_queue",
    )

    def __init__(self, me: members.Member, period: datetime.timedelta) -> None:
        """Creates a table without other known members.

        Args:
          me: member record of this proxy.
          period: heartbeat period.
        """
        self._me = me
        self._period = period
        self._records: dict[types.ProxyName, _Record] = {}
        self._live: tuple[members.Member, ...] | None = ()
        self._update_queue = updates.UpdateQueue()
        self._digest = 0
        self._not_alive: set[types.ProxyName] = set()

    @property
    def me(self) -> members.Member:
        """Member record of this proxy."""
        return self._me

    @property
    def live(self) -> tuple[members.Member, ...]:
        """The other proxies that are alive or suspect, sorted by name."""
        if self._live is None:
            names = sorted(self._records)
            known_members = (self._records[name].member for name in names)
            self._live = tuple(
                member for member in known_members if member.live
            )
        return self._live

    @property
    def dead(self) -> tuple[members.Member, ...]:
        """The other proxies recorded as dead, sorted by name."""
        return tuple(
            self._records[name].member
            for name in sorted(self._not_alive)
            if not self._records[name].member.live
        )

    @property
    def all_members(self) -> tuple[members.Member, ...]:
        """This proxy and all others, including dead ones."""
        others = (record.member for record in self._records.values())
        return (self._me, *others)

    @property
    def digest(self) -> int:
        """Hash of the live members; equal on proxies with the same view."""
        return self._digest ^ self._me.digest

    @property
    def pending_updates(self) -> updates.UpdateQueue:
        """Queue of the updates still to be disseminated."""
        return self._update_queue

    @property
    def suspicion_timeout(self) -> datetime.timedelta:
        """Time that a suspect has to refute the suspicion.

        The time grows with the logarithm of the number of known proxies.
        """
        size = len(self._records) + 1
        return self._period * (_SUSPICION_PERIODS * max(1, math.log10(size)))

    def __repr__(self) -> str:
        return f"MemberTable({self._me.name!r}, known={len(self._records)})"

    def get(self, name: types.ProxyName) -> members.Member | None:
        """Returns the record of another proxy; None if it is unknown."""
        record = self._records.get(name)
        return record.member if record else None

    def merge(
        self, member: members.Member, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Stores a record if it is newer than the known one.

        A record of this proxy itself is not stored; it is refuted if it is
        newer than the proxy's own record.

        Args:
          member: received record.
          now: current time.

        Returns:
          An effect if the proxy joined or was lost, else nothing.
        """
        if member.name == self._me.name:
            self._refute(member)
            return ()
        record = self._records.get(member.name)
        known = record.member if record else None
        if known is not None and not member.supersedes(known):
            return ()
        if known is None and not self._can_add(member):
            return ()
        self._records[member.name] = _Record(member, now)
        self._live = None
        if member.state is members.State.ALIVE:
            self._not_alive.discard(member.name)
        else:
            self._not_alive.add(member.name)
        self._digest ^= member.digest ^ (known.digest if known else 0)
        self._update_queue.add(member, len(self._records))
        return _liveness_effects(known, member)

    def suspect(
        self, name: types.ProxyName, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Marks a proxy as suspect if it is recorded as alive."""
        known = self.get(name)
        if known is None or known.state is not members.State.ALIVE:
            return ()
        suspect = dataclasses.replace(known, state=members.State.SUSPECT)
        return self.merge(suspect, now)

    def expire(self, now: datetime.datetime) -> tuple[effects.Effect, ...]:
        """Marks suspects as dead after the timeout and removes old dead ones.

        Args:
          now: current time.

        Returns:
          An effect for each proxy that was lost.
        """
        found: list[effects.Effect] = []
        timeout = self.suspicion_timeout
        for name in sorted(self._not_alive):
            record = self._records[name]
            age = now - record.changed_at
            state = record.member.state
            if state is members.State.SUSPECT and age >= timeout:
                dead = dataclasses.replace(
                    record.member, state=members.State.DEAD
                )
                found.extend(self.merge(dead, now))
            elif state is members.State.DEAD and age >= _DEAD_RETENTION:
                del self._records[name]
                self._not_alive.discard(name)
        return tuple(found)

    def extend_suspicions(self, delay: datetime.timedelta) -> None:
        """Extends the timeouts of suspect and dead proxies after a pause.

        The time of their last change is moved forward, so that a pause of this
        process doesn't count.

        Args:
          delay: time between the last two ticks, in which this process was
            paused.
        """
        for name in self._not_alive:
            self._records[name].changed_at += delay

    def leave(self) -> None:
        """Marks this proxy as dead for a planned shutdown."""
        self._me = dataclasses.replace(self._me, state=members.State.DEAD)

    def _refute(self, claim: members.Member) -> None:
        """Refutes a record of this proxy that is newer than its own.

        Such a record says that this proxy is suspect or dead, or has a higher
        incarnation. This proxy raises its incarnation above the one in the
        record, unless it is shutting down.
        """
        if not self._me.live or not claim.supersedes(self._me):
            return
        self._me = dataclasses.replace(
            self._me, incarnation=claim.incarnation + 1
        )
        self._update_queue.add(self._me, len(self._records))

    def _can_add(self, member: members.Member) -> bool:
        """Whether an unknown proxy may be added.

        A record of a dead proxy that was unknown is not added, nor is any
        record once the table holds `_MAX_RECORDS`.
        """
        return member.live and len(self._records) < _MAX_RECORDS


def _liveness_effects(
    known: members.Member | None, member: members.Member
) -> tuple[effects.Effect, ...]:
    """Returns the effects of a record that replaces the known one."""
    was_live = known is not None and known.live
    if member.live and not was_live:
        return (effects.ReportJoined(member),)
    if was_live and not member.live:
        return (effects.ReportLost(member),)
    return ()
