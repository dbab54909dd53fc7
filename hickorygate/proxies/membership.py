"""Which proxies are alive: decisions without I/O."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import types

__all__ = ["Member", "Membership"]

_SILENT_HEARTBEATS = 8
"""Heartbeats missed before a proxy counts as lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Another proxy as it was last heard.

    Attributes:
      name: its name.
      address: where its peers reach it.
      admin: where operators reach it.
      zone: its availability zone.
      sheet: the version in force there.
      heard: when.
    """

    name: types.ProxyName
    address: str
    admin: str
    zone: types.ZoneName
    sheet: types.SheetVersion
    heard: datetime.datetime


class Membership:
    """The proxies that were heard lately, and the addresses to try."""

    __slots__ = ("_addresses", "_heartbeat", "_members")

    def __init__(
        self, seeds: tuple[str, ...], heartbeat: datetime.timedelta
    ) -> None:
        self._addresses = set(seeds)
        self._heartbeat = heartbeat
        self._members: dict[types.ProxyName, Member] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """Live proxies, by name."""
        return tuple(self._members[name] for name in sorted(self._members))

    @property
    def addresses(self) -> frozenset[str]:
        """Where heartbeats go."""
        return frozenset(self._addresses)

    def __repr__(self) -> str:
        return f"Membership({sorted(self._members)})"

    def hear(self, member: Member, known: tuple[str, ...]) -> bool:
        """Takes in a heartbeat; tells whether the proxy is new."""
        new = member.name not in self._members
        self._members[member.name] = member
        self._addresses.add(member.address)
        self._addresses.update(known)
        return new

    def expire(self, now: datetime.datetime) -> tuple[types.ProxyName, ...]:
        """Drops and returns the proxies that fell silent."""
        oldest = now - self._heartbeat * _SILENT_HEARTBEATS
        lost = tuple(
            name
            for name, member in self._members.items()
            if member.heard < oldest
        )
        for name in lost:
            del self._members[name]
        return lost
