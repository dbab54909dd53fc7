"""All proxies that this one knows of, by the latest knowledge of each.

Knowledge is ordered by incarnation, then state (`Member.supersedes`), so
that proxies which hear the same news in any order agree. Only a proxy itself
raises its incarnation: that is how it refutes a suspicion.
"""

from __future__ import annotations

import dataclasses
import datetime
import math

from hickorygate.core import types
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import updates

__all__ = ["Roster"]

_SUSPICION_PERIODS = 3
"""Periods for a refutation, times the decimal logarithm of the size."""
_DEAD_KEPT = datetime.timedelta(hours=1)
_LONGEST_ROSTER = 4_096
"""Members kept; a fleet never has that many, a forger might."""


@dataclasses.dataclass(slots=True)
class _Record:
    member: members.Member
    changed: datetime.datetime


class Roster:
    """The members, and the news of them that is still to be passed on."""

    __slots__ = (
        "_digest",
        "_doubted",
        "_live",
        "_me",
        "_news",
        "_period",
        "_records",
    )

    def __init__(self, me: members.Member, period: datetime.timedelta) -> None:
        self._me = me
        self._period = period
        self._records: dict[types.ProxyName, _Record] = {}
        self._live: tuple[members.Member, ...] | None = ()
        self._news = updates.UpdateQueue()
        self._digest = 0
        self._doubted: set[types.ProxyName] = set()

    @property
    def me(self) -> members.Member:
        """This proxy."""
        return self._me

    @property
    def live(self) -> tuple[members.Member, ...]:
        """The others that are not known to be dead, by name."""
        if self._live is None:
            names = sorted(self._records)
            every = (self._records[name].member for name in names)
            self._live = tuple(member for member in every if member.live)
        return self._live

    @property
    def dead(self) -> tuple[members.Member, ...]:
        """The others that are remembered as dead."""
        return tuple(
            self._records[name].member
            for name in sorted(self._doubted)
            if not self._records[name].member.live
        )

    @property
    def everyone(self) -> tuple[members.Member, ...]:
        """This proxy and all others, dead ones included."""
        others = (record.member for record in self._records.values())
        return (self._me, *others)

    @property
    def digest(self) -> int:
        """Equal on proxies that believe the same members live."""
        return self._digest ^ self._me.digest

    @property
    def news(self) -> updates.UpdateQueue:
        """What is still to be passed on."""
        return self._news

    @property
    def suspicion(self) -> datetime.timedelta:
        """How long a suspect may take to refute."""
        size = len(self._records) + 1
        return self._period * (_SUSPICION_PERIODS * max(1, math.log10(size)))

    def __repr__(self) -> str:
        return f"Roster({self._me.name!r}, known={len(self._records)})"

    def get(self, name: types.ProxyName) -> members.Member | None:
        """Returns what is known of another proxy."""
        record = self._records.get(name)
        return record.member if record else None

    def merge(
        self, member: members.Member, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Takes in knowledge if it is later than what is known."""
        if member.name == self._me.name:
            self._refute(member)
            return ()
        record = self._records.get(member.name)
        known = record.member if record else None
        if known is not None and not member.supersedes(known):
            return ()
        if known is None and not self._admit(member):
            return ()
        self._records[member.name] = _Record(member, now)
        self._live = None
        if member.state is members.State.ALIVE:
            self._doubted.discard(member.name)
        else:
            self._doubted.add(member.name)
        self._digest ^= member.digest ^ (known.digest if known else 0)
        self._news.add(member, len(self._records))
        return _transition(known, member)

    def suspect(
        self, name: types.ProxyName, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Begins to suspect a proxy that is believed alive."""
        known = self.get(name)
        if known is None or known.state is not members.State.ALIVE:
            return ()
        suspect = dataclasses.replace(known, state=members.State.SUSPECT)
        return self.merge(suspect, now)

    def expire(self, now: datetime.datetime) -> tuple[effects.Effect, ...]:
        """Declares dead the suspects that didn't refute; forgets old dead."""
        found: list[effects.Effect] = []
        suspicion = self.suspicion
        for name in sorted(self._doubted):
            record = self._records[name]
            age = now - record.changed
            state = record.member.state
            if state is members.State.SUSPECT and age >= suspicion:
                dead = dataclasses.replace(
                    record.member, state=members.State.DEAD
                )
                found.extend(self.merge(dead, now))
            elif state is members.State.DEAD and age >= _DEAD_KEPT:
                del self._records[name]
                self._doubted.discard(name)
        return tuple(found)

    def forgive(self, delay: datetime.timedelta) -> None:
        """Lengthens all suspicions by a time in which nothing was heard."""
        for name in self._doubted:
            self._records[name].changed += delay

    def leave(self) -> None:
        """Marks this proxy as dead, on purpose."""
        self._me = dataclasses.replace(self._me, state=members.State.DEAD)

    def _refute(self, rumour: members.Member) -> None:
        """Raises the own incarnation above one that was called dead."""
        if not self._me.live or not rumour.supersedes(self._me):
            return
        self._me = dataclasses.replace(
            self._me, incarnation=rumour.incarnation + 1
        )
        self._news.add(self._me, len(self._records))

    def _admit(self, member: members.Member) -> bool:
        """A dead stranger is of no use, and the roster has a bound."""
        return member.live and len(self._records) < _LONGEST_ROSTER


def _transition(
    known: members.Member | None, member: members.Member
) -> tuple[effects.Effect, ...]:
    was_live = known is not None and known.live
    if member.live and not was_live:
        return (effects.Joined(member),)
    if was_live and not member.live:
        return (effects.Lost(member),)
    return ()
