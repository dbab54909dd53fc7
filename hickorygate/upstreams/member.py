"""A database as service discovery describes it, and the list of them.

Decisions without I/O: which entries of the list name a database to use. The
list may lose entries while the platform's store is away, although the
databases live; an entry that is missing is kept for `LAPSE` before its
database counts as gone.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime

from hickorygate.core import types

__all__ = ["LAPSE", "Listing", "Member", "MemberId"]

MemberId = str
"""Identity of one database process; it ends with the process's data."""

LAPSE = datetime.timedelta(seconds=2.5)
"""How long a missing entry still counts. Entries that lapsed with the store
are back within two seconds of its return; the rest is for the way here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A database.

    Attributes:
      id: its identity.
      born: start of the process, Unix milliseconds; a new start under the
        same id has none of the former data.
      service: the service that it belongs to.
      host: address.
      port: TCP port.
      zone: availability zone.
      slots: requests that it runs at once.
      leaving: whether it has announced its shutdown.
      leads: whether it called itself primary.
      warming: whether it is still slow after its start.
    """

    id: MemberId
    born: int
    service: types.ServiceName
    host: str
    port: int
    zone: types.ZoneName
    slots: int
    leaving: bool
    leads: bool
    warming: bool = False


class Listing:
    """The databases in use, with entries that are missing for a short time."""

    __slots__ = ("_members", "_missing", "_services")

    def __init__(self) -> None:
        self._members: dict[MemberId, Member] = {}
        self._missing: dict[MemberId, datetime.datetime] = {}
        self._services: dict[types.ServiceName, dict[MemberId, Member]] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """All databases that count."""
        return tuple(self._members.values())

    def __repr__(self) -> str:
        return f"Listing({len(self._members)}, missing={len(self._missing)})"

    def of(self, service: types.ServiceName) -> tuple[Member, ...]:
        """Returns the databases of one service."""
        return tuple(self._services.get(service, {}).values())

    def replace(
        self, members: Iterable[Member], now: datetime.datetime
    ) -> frozenset[types.ServiceName]:
        """Takes in the whole list; returns the services that changed."""
        listed = {member.id: member for member in members}
        for name in self._members.keys() - listed.keys():
            self._missing.setdefault(name, now)
        changed = [self.put(member) for member in listed.values()]
        return frozenset().union(*changed)

    def put(self, member: Member) -> frozenset[types.ServiceName]:
        """Takes in a new or changed entry; returns the services it changes."""
        self._missing.pop(member.id, None)
        former = self._members.get(member.id)
        if former == member:
            return frozenset()
        self._members[member.id] = member
        changed = {member.service}
        if former is not None and former.service != member.service:
            del self._services[former.service][member.id]
            changed.add(former.service)
        self._services.setdefault(member.service, {})[member.id] = member
        return frozenset(changed)

    def remove(
        self, name: MemberId, now: datetime.datetime
    ) -> frozenset[types.ServiceName]:
        """Takes in that an entry is gone; returns the services it changes.

        A database that had announced its shutdown is gone with its entry.
        """
        member = self._members.get(name)
        if member is None:
            return frozenset()
        if member.leaving:
            return self._drop(name)
        self._missing.setdefault(name, now)
        return frozenset()

    def expire(self, now: datetime.datetime) -> frozenset[types.ServiceName]:
        """Drops what is missing for too long; returns the services changed."""
        gone = [n for n, since in self._missing.items() if now - since >= LAPSE]
        return frozenset().union(*(self._drop(name) for name in gone))

    def restart(self, now: datetime.datetime) -> None:
        """Gives what is missing its time anew: the store is back."""
        self._missing = dict.fromkeys(self._missing, now)

    def _drop(self, name: MemberId) -> frozenset[types.ServiceName]:
        self._missing.pop(name, None)
        member = self._members.pop(name, None)
        if member is None:
            return frozenset()
        del self._services[member.service][name]
        return frozenset({member.service})
