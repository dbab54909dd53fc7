"""Decides which proxies hold shares of rate limits, without I/O.

All proxies that use or lend shares ("active" ones) must count each other, or
their shares would add up to more than the limit. Each proxy keeps an object in
the platform's store, which tells the digest of the proxies that it counts.

- A new proxy becomes active when all other objects have the digest of the
  proxies that it counts itself. All active proxies count it by then, and it
  counts all of them.
- A proxy that restarts was counted by all active ones if its former process was
  active, so one complete list makes it active.
- A proxy stops using shares when it hasn't renewed its object for `_MAX_AGE`.
  The others count it for longer, as long as its object exists; they remove the
  object of a proxy only after `REMOVAL_AGE`.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import fleet_view
from hickorygate.core import types

__all__ = ["REMOVAL_AGE", "LimitMembership", "MemberObject"]

_MAX_AGE = datetime.timedelta(minutes=12)
"""Time without a renewal after which a proxy stops using shares; longer than
the store may be down."""

REMOVAL_AGE = datetime.timedelta(minutes=13)
"""Time without a renewal after which other proxies remove a proxy's object."""

_MISSING_AGE = datetime.timedelta(seconds=25)
"""Time for which a proxy is counted after its object is missing from lists. A
list may be outdated, a restored store may lack the object, and a proxy that
shuts down works on after it removed its object."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberObject:
    """The object of one proxy in the store, as far as limits need it.

    Attributes:
      capacity: cores that it may use; 0 if it can't serve other proxies.
      fleet: digest of the proxies that it counts; empty if unknown.
      active: whether it uses or lends shares.
    """

    capacity: float = 0.0
    fleet: str = ""
    active: bool = False


class LimitMembership:
    """The holders of shares, as one proxy counts them."""

    __slots__ = (
        "_active",
        "_capacity",
        "_fleet",
        "_known",
        "_name",
        "_renewed",
        "_was_active",
    )

    def __init__(self, name: types.ProxyName) -> None:
        self._name = name
        self._capacity = 0.0
        self._known: dict[types.ProxyName, tuple[float, datetime.datetime]] = {}
        self._fleet = fleet_view.Fleet({})
        self._renewed: datetime.datetime | None = None
        self._was_active: bool | None = None
        self._active = False

    @property
    def fleet(self) -> fleet_view.Fleet:
        """The proxies that hold shares; empty before the first list."""
        return self._fleet

    @property
    def active(self) -> bool:
        """Whether this proxy counts all active proxies, and they count it."""
        return self._active

    def __repr__(self) -> str:
        return f"LimitMembership({self._fleet!r}, active={self._active})"

    def may_use(self, now: datetime.datetime) -> bool:
        """Returns whether this proxy may use and lend its shares."""
        if not self._active or self._renewed is None:
            return False
        return now - self._renewed < _MAX_AGE

    def record_start(
        self, listed: Mapping[types.ProxyName, MemberObject]
    ) -> None:
        """Records the objects that existed before this process wrote its own.

        Only the first call counts.
        """
        if self._was_active is None:
            former = listed.get(self._name)
            self._was_active = former is not None and former.active

    def record_renewal(self, began: datetime.datetime) -> None:
        """Records that this proxy renewed its object.

        After a longer gap the others may have removed its object and stopped
        counting it, so it has to become active again.

        Args:
          began: time before the call to the store.
        """
        if self._renewed is not None and began - self._renewed >= _MAX_AGE:
            self._active = self._was_active = False
        self._renewed = began

    def record_list(
        self,
        listed: Mapping[types.ProxyName, MemberObject],
        complete: bool,
        now: datetime.datetime,
    ) -> None:
        """Records the objects of all proxies.

        Args:
          listed: objects by the name of the proxy.
          complete: whether no recent change is missing from the list.
          now: current time.
        """
        for name, found in listed.items():
            self._known[name] = (found.capacity, now)
        for name, (_, seen) in tuple(self._known.items()):
            if now - seen > _MISSING_AGE:
                del self._known[name]
        own = listed.get(self._name)
        if own is not None:
            self._capacity = own.capacity
        capacities = {name: cores for name, (cores, _) in self._known.items()}
        capacities[self._name] = self._capacity
        fleet = fleet_view.Fleet(capacities)
        if fleet != self._fleet:
            self._fleet = fleet
        if complete and own is not None and not self._active:
            self._active = bool(self._was_active) or self._agrees(listed)

    def _agrees(self, listed: Mapping[types.ProxyName, MemberObject]) -> bool:
        """Returns whether all others count the proxies that this one counts."""
        if listed.keys() != self._fleet.capacities.keys():
            return False
        return all(
            found.fleet == self._fleet.digest
            for name, found in listed.items()
            if name != self._name
        )
