"""Shares of rate limits, which proxies lend to each other as leases, no I/O.

The holders of a workspace's limit are the first proxies in its rendezvous
order; each holds an equal share. A holder lends all its shares to the proxies
that it uses for the workspaces. It answers a server's request with its view of
the fleet, from which the server computes which workspaces' shares it is lent.

No share is used twice:

- A server uses a share until `LEASE` after it sent the request that the holder
  answered. The holder answered later than that, so `LEASE` after its last
  answer the server has stopped, whatever was delayed in between.
- If the holder's view changes, then until `LEASE` after its last answer under
  the former view the holder names that view and the servers that it answered
  in its answers. A server doesn't use a share that the former view assigns to
  another one of those servers, and neither does the holder.
- A holder begins `LEASE` after its process started, when all leases that a
  former process of that name may have granted have ended.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import fleet_view
from hickorygate.core import types

__all__ = [
    "LEASE",
    "LEASE_OF_SERVER",
    "REQUEST_INTERVAL",
    "FormerView",
    "Lending",
    "LentRights",
    "RightsReceived",
]

LEASE = datetime.timedelta(seconds=1)
"""Time for which a share may be used after the request that asked for it."""

LEASE_OF_SERVER = LEASE
"""Time for which a server uses a share after its request; at most `LEASE`."""

REQUEST_INTERVAL = datetime.timedelta(milliseconds=300)
"""Time between two requests to a holder; a lease survives the loss of two."""

_MAX_FORMER_VIEWS = 4
"""Maximum number of former views in an answer. A holder whose view changes more
often lends nothing until the leases under the oldest ones have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class FormerView:
    """A view that was replaced while leases under it were still running.

    Attributes:
      view: the former view.
      servers: proxies whose leases under the view may still run.
    """

    view: fleet_view.FleetView
    servers: frozenset[types.ProxyName]


@dataclasses.dataclass(frozen=True, slots=True)
class Lending:
    """The answer of a holder: for which workspaces it lends its share.

    Attributes:
      view: present view of the holder.
      former: former views with running leases.
    """

    view: fleet_view.FleetView
    former: tuple[FormerView, ...] = ()

    def share(
        self,
        holder: types.ProxyName,
        server: types.ProxyName,
        workspace: types.WorkspaceName,
    ) -> float:
        """Returns the share that a holder lends to a server, 0 to 1.

        Args:
          holder: proxy that gave this answer.
          server: proxy that wants to use the share; may be the holder.
          workspace: name of the workspace.
        """
        if self.view.server(holder, workspace) != server:
            return 0.0
        for former in self.former:
            other = former.view.server(holder, workspace)
            if other != server and other in former.servers:
                return 0.0
        return self.view.fleet.share(holder, workspace)


class LentRights:
    """The holder's side: its views and the leases that it has granted."""

    __slots__ = (
        "_active",
        "_answered",
        "_first",
        "_former",
        "_name",
        "_starts",
        "_view",
    )

    def __init__(
        self, name: types.ProxyName, started: datetime.datetime
    ) -> None:
        """Creates the holder's side, which lends nothing yet.

        Args:
          name: name of this proxy.
          started: time at which the process started.
        """
        self._name = name
        self._starts = started + LEASE
        self._active = False
        self._view: fleet_view.FleetView | None = None
        self._answered: dict[types.ProxyName, datetime.datetime] = {}
        self._first: dict[types.ProxyName, int] = {}
        self._former: list[
            tuple[
                fleet_view.FleetView, dict[types.ProxyName, datetime.datetime]
            ]
        ] = []

    @property
    def view(self) -> fleet_view.FleetView | None:
        """Present view of the fleet; None before the first one."""
        return self._view

    def __repr__(self) -> str:
        return f"LentRights({self._name!r}, former={len(self._former)})"

    def set_active(self, active: bool) -> None:
        """Sets whether this proxy may use and lend its shares."""
        self._active = active

    def is_active(self, now: datetime.datetime) -> bool:
        """Returns whether this proxy uses and lends its shares."""
        return self._active and now >= self._starts and self._view is not None

    def set_view(self, view: fleet_view.FleetView) -> None:
        """Replaces the view; leases under the former one continue."""
        if view == self._view:
            return
        if self._view is not None and self._answered:
            self._former.append((self._view, self._answered))
        self._answered = {}
        self._first = {}
        self._view = view

    def note_received(self, server: types.ProxyName, number: int) -> None:
        """Records which answer a server has received last.

        A server that has received an answer under the present view no longer
        uses a former one.

        Args:
          server: proxy that tells it.
          number: number of the request that was answered.
        """
        first = self._first.get(server)
        if first is not None and number >= first:
            for _, answered in self._former:
                answered.pop(server, None)

    def answer(
        self, server: types.ProxyName, now: datetime.datetime, number: int = 0
    ) -> Lending | None:
        """Answers the request of a server.

        Args:
          server: proxy that asks; this proxy itself asks here too.
          now: current time.
          number: number of the request; later ones of a proxy are higher, also
            after it was restarted.

        Returns:
          What this proxy lends; None if it lends nothing at present.
        """
        if self._view is None or not self.is_active(now):
            return None
        former = self._running(now)
        if len(former) > _MAX_FORMER_VIEWS:
            return None
        if server != self._name:
            self._answered[server] = now
            self._first.setdefault(server, number)
        return Lending(self._view, former)

    def take_back(self, server: types.ProxyName) -> None:
        """Records that a server has stopped using what it was lent.

        Only the server's own statement proves that, not the loss of its link.
        """
        self._answered.pop(server, None)
        for _, answered in self._former:
            answered.pop(server, None)

    def _running(self, now: datetime.datetime) -> tuple[FormerView, ...]:
        """Returns the former views under which leases still run."""
        running = []
        kept = []
        for view, answered in self._former:
            servers = frozenset(
                name for name, at in answered.items() if now - at <= LEASE
            )
            if servers:
                running.append(FormerView(view, servers))
                kept.append((view, answered))
        self._former = kept
        return tuple(running)


@dataclasses.dataclass(slots=True)
class _Lease:
    """What one holder lends at present.

    Attributes:
      lending: last answer of the holder.
      since: time since which that answer has held without a gap.
      ends: time until which it holds.
      previous: answer before the last one, if it held without a gap until the
        last one; None otherwise.
      previous_since: time since which the previous answer had held.
    """

    lending: Lending
    since: datetime.datetime
    ends: datetime.datetime
    previous: Lending | None = None
    previous_since: datetime.datetime | None = None


class RightsReceived:
    """The server's side: the shares that holders lend to it."""

    __slots__ = ("_leases", "_name", "_version")

    def __init__(self, name: types.ProxyName) -> None:
        self._name = name
        self._leases: dict[types.ProxyName, _Lease] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number that rises with each change of what holders lend."""
        return self._version

    def __repr__(self) -> str:
        return f"RightsReceived({self._name!r}, holders={len(self._leases)})"

    def record(
        self,
        holder: types.ProxyName,
        lending: Lending | None,
        asked: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Records the answer of a holder.

        Args:
          holder: proxy that answered; may be this proxy itself.
          lending: its answer; None if it lends nothing.
          asked: time at which this proxy sent the request.
          now: current time.
        """
        ends = asked + LEASE_OF_SERVER
        if holder == self._name:
            # Nobody else uses this proxy's shares unless its answer changes.
            ends = datetime.datetime.max.replace(tzinfo=now.tzinfo)
        if lending is None or ends <= now:
            self.drop(holder)
            return
        lease = self._leases.get(holder)
        if lease is None or lease.ends <= now:
            self._leases[holder] = _Lease(lending, now, ends)
        elif lease.lending == lending:
            lease.ends = max(lease.ends, ends)
            return
        else:
            self._leases[holder] = _Lease(
                lending, now, ends, lease.lending, lease.since
            )
        self._version += 1

    def drop(self, holder: types.ProxyName) -> None:
        """Stops the use of what one holder lends."""
        if self._leases.pop(holder, None) is not None:
            self._version += 1

    def drop_all(self) -> None:
        """Stops the use of what all holders lend."""
        self._leases.clear()
        self._version += 1

    def next_end(self) -> datetime.datetime | None:
        """Returns the time at which the first lease ends unless renewed."""
        return min(
            (lease.ends for lease in self._leases.values()), default=None
        )

    def share(
        self,
        workspace: types.WorkspaceName,
        since: datetime.datetime,
        now: datetime.datetime,
    ) -> tuple[float, float]:
        """Returns what is lent to this proxy for a workspace.

        Args:
          workspace: name of the workspace.
          since: time from which share-seconds are counted.
          now: current time.

        Returns:
          The share that may be used now, 0 to 1, and the share-seconds since
          the given time, of which those before a gap are not counted.
        """
        total = 0.0
        seconds = 0.0
        for holder, lease in self._leases.items():
            if lease.ends <= now:
                continue
            part = lease.lending.share(holder, self._name, workspace)
            if not part:
                continue
            total += part
            began = self._began(holder, lease, workspace)
            used = (now - max(began, since)).total_seconds()
            seconds += part * max(0.0, used)
        return min(total, 1.0), seconds

    def _began(
        self,
        holder: types.ProxyName,
        lease: _Lease,
        workspace: types.WorkspaceName,
    ) -> datetime.datetime:
        """Returns since when a share has been lent without a gap."""
        if lease.previous is None or lease.previous_since is None:
            return lease.since
        if lease.previous.share(holder, self._name, workspace):
            return lease.previous_since
        return lease.since
