"""The databases that service discovery reports, without I/O.

While the platform's store is unavailable the entries of running databases can
expire. A missing entry is therefore kept for `ENTRY_RETENTION` before its
database is removed.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import types

__all__ = ["ENTRY_RETENTION", "Listing", "Member", "MemberId"]

MemberId = str
"""Identity of a database; valid for the lifetime of the database's data."""

ENTRY_RETENTION = datetime.timedelta(seconds=2.5)
"""Time for which a missing entry is kept. Entries that expired during an
outage of the store reappear within two seconds of its recovery; the remainder
allows for the delivery to this process."""

_MAX_DEPARTED = 1_000
"""Number of databases that left whose last entries are remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A database, as described by its entry in service discovery.

    Attributes:
      id: identity of the database.
      born: start of the database process, in Unix milliseconds; a process
        with the same id and another start time has none of the former data.
      service: service that the database belongs to.
      host: host name or address.
      port: TCP port.
      zone: availability zone.
      slots: number of requests that the database runs concurrently.
      leaving: whether the database has announced its shutdown.
      leads: whether the database reported itself as the primary.
      warming: whether the database is still slow after its start.
      sequence: number that rises with each entry that the process writes; 0 if
        its entries are not numbered.
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
    sequence: int = dataclasses.field(default=0, compare=False)


class Listing:
    """The listed databases, including recently missing entries.

    Entries of one database process are ordered by their own sequence numbers,
    not by the store's revisions, so an entry from an older copy of the store
    replaces no later one.
    """

    __slots__ = (
        "_departed",
        "_known_since",
        "_members",
        "_missing",
        "_services",
    )

    def __init__(self) -> None:
        self._known_since: dict[MemberId, datetime.datetime] = {}
        self._members: dict[MemberId, Member] = {}
        self._missing: dict[MemberId, datetime.datetime] = {}
        self._departed: dict[MemberId, Member] = {}
        self._services: dict[types.ServiceName, dict[MemberId, Member]] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """All databases, including those whose entries are missing."""
        return tuple(self._members.values())

    @property
    def known_since(self) -> Mapping[MemberId, datetime.datetime]:
        """The time since when the process of each database is listed here."""
        return self._known_since

    def __repr__(self) -> str:
        return f"Listing({len(self._members)}, missing={len(self._missing)})"

    def of(self, service: types.ServiceName) -> tuple[Member, ...]:
        """Returns the databases of one service."""
        return tuple(self._services.get(service, {}).values())

    def replace(
        self, members: Iterable[Member], now: datetime.datetime
    ) -> frozenset[types.ServiceName]:
        """Replaces the whole list.

        Entries that are no longer listed are marked as missing.

        Returns:
          The services whose databases changed.
        """
        listed = {member.id: member for member in members}
        for name in self._members.keys() - listed.keys():
            self._missing.setdefault(name, now)
        changed = [self.put(member, now) for member in listed.values()]
        return frozenset().union(*changed)

    def put(
        self, member: Member, now: datetime.datetime
    ) -> frozenset[types.ServiceName]:
        """Adds or updates an entry; returns the services that changed.

        An entry that its database wrote before the known one is ignored, and so
        is an entry from before a database left.
        """
        if self._has_departed(member):
            return frozenset()
        self._missing.pop(member.id, None)
        former = self._members.get(member.id)
        if former is not None and _is_earlier(member, former):
            return frozenset()
        if former == member:
            # Only the sequence number may be another one.
            self._members[member.id] = member
            self._services[member.service][member.id] = member
            return frozenset()
        if former is None or former.born != member.born:
            self._known_since[member.id] = now
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
        """Records the removal of an entry; returns the services that changed.

        The entry of a database that had announced its shutdown is dropped at
        once. Any other entry is marked as missing and dropped by `expire`.
        """
        member = self._members.get(name)
        if member is None:
            return frozenset()
        if member.leaving:
            self._remember_departed(member)
            return self._drop(name)
        self._missing.setdefault(name, now)
        return frozenset()

    def expire(self, now: datetime.datetime) -> frozenset[types.ServiceName]:
        """Drops entries that have been missing for `ENTRY_RETENTION`.

        Returns:
          The services whose databases changed.
        """
        gone = [
            n
            for n, since in self._missing.items()
            if now - since >= ENTRY_RETENTION
        ]
        return frozenset().union(*(self._drop(name) for name in gone))

    def restart(self, now: datetime.datetime) -> None:
        """Restarts the expiry of missing entries after a store outage."""
        self._missing = dict.fromkeys(self._missing, now)

    def _has_departed(self, member: Member) -> bool:
        """Returns whether an entry is from before its database left."""
        last = self._departed.get(member.id)
        return (
            last is not None
            and last.sequence > 0
            and last.born == member.born
            and last.sequence >= member.sequence
        )

    def _remember_departed(self, member: Member) -> None:
        self._departed.pop(member.id, None)
        self._departed[member.id] = member
        if len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _drop(self, name: MemberId) -> frozenset[types.ServiceName]:
        self._missing.pop(name, None)
        self._known_since.pop(name, None)
        member = self._members.pop(name, None)
        if member is None:
            return frozenset()
        del self._services[member.service][name]
        return frozenset({member.service})


def _is_earlier(member: Member, known: Member) -> bool:
    """Returns whether a process wrote an entry before a known one.

    The entries of different processes of one id have no order.
    """
    return member.born == known.born and member.sequence < known.sequence
