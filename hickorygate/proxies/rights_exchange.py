"""Exchanges shares of rate limits with other proxies.

A proxy asks the holders of shares for them over the links that it opens itself,
since it alone knows whose shares it may need. `core/limit_share.py` decides.
"""

from __future__ import annotations

from collections.abc import Iterable
import datetime
from typing import Protocol

from hickorygate.core import clock as clocks
from hickorygate.core import fleet_view
from hickorygate.core import limit_membership
from hickorygate.core import limit_share
from hickorygate.core import types
from hickorygate.proxies import link_state
from hickorygate.proxies import serving_links
from hickorygate.proxies import statement_messages as messages

__all__ = ["Limits", "RightsExchange"]

_SECONDS_PER_NUMBER = 0.000_1
"""Least mean time between two requests of a proxy."""

_MAX_FLEETS = 32
"""Number of fleets of other proxies that are remembered."""


class Limits(Protocol):
    """The rate limits that the shares are for."""

    @property
    def lent(self) -> limit_share.LentRights:
        """The shares of this proxy."""

    @property
    def received(self) -> limit_share.RightsReceived:
        """The shares that this proxy may use."""

    @property
    def has_limits(self) -> bool:
        """Whether any workspace has a rate limit."""

    @property
    def in_use(self) -> tuple[types.WorkspaceName, ...]:
        """The workspaces whose limit this proxy has applied."""

    def set_view(
        self,
        view: fleet_view.FleetView,
        active: bool,
        now: datetime.datetime,
    ) -> None:
        """Sets what this proxy knows of the fleet."""

    def tick(self, now: datetime.datetime) -> None:
        """Does the periodic work."""


class RightsExchange:
    """Asks for shares, answers such requests and keeps the view current."""

    def __init__(
        self,
        name: types.ProxyName,
        links: serving_links.ServingLinks,
        membership: limit_membership.LimitMembership,
        limits: Limits,
        clock: clocks.Clock,
    ) -> None:
        """Creates the exchange; `tick` must be called regularly.

        Args:
          name: name of this proxy.
          links: links to other proxies.
          membership: proxies that hold shares.
          limits: rate limits of this proxy.
          clock: source of time.
        """
        self._name = name
        self._links = links
        self._membership = membership
        self._limits = limits
        self._clock = clock
        self._live: frozenset[types.ProxyName] = frozenset()
        self._fleets: dict[str, fleet_view.Fleet] = {}
        self._asked: dict[int, tuple[types.ProxyName, datetime.datetime]] = {}
        # A restarted process continues above the numbers of its former one.
        self._number = int(clock.now().timestamp() / _SECONDS_PER_NUMBER)
        self._received: dict[types.ProxyName, int] = {}
        self._leaving = False
        links.listen_for_rights(self)

    def __repr__(self) -> str:
        return f"RightsExchange({self._name!r}, asked={len(self._asked)})"

    def set_live(self, live: frozenset[types.ProxyName]) -> None:
        """Sets the proxies that renew their registration."""
        self._live = live
        self._refresh(self._clock.now())

    def tick(self) -> None:
        """Updates the view of the fleet and asks for shares."""
        now = self._clock.now()
        self._refresh(now)
        self._limits.tick(now)
        self._asked = {
            number: (server, at)
            for number, (server, at) in self._asked.items()
            if now - at <= limit_share.LEASE
        }
        if self._leaving or not self._limits.has_limits:
            return
        self._remember(self._membership.fleet)
        for server in sorted(self._holders()):
            self._ask(server, now)

    def leave(self) -> None:
        """Stops using the shares of other proxies."""
        self._leaving = True
        self._asked.clear()
        self._limits.received.drop_all()
        self._refresh(self._clock.now())

    def answer(
        self, sender: types.ProxyName, message: messages.RightsRequest
    ) -> messages.Rights:
        """Returns the answer to a request of another proxy."""
        now = self._clock.now()
        self._refresh(now)
        self._limits.lent.note_received(sender, message.received)
        lending = self._limits.lent.answer(sender, now, message.number)
        if lending is None:
            return messages.Rights(message.number, (), ())
        views = [
            _to_message(lending.view, frozenset()),
            *(_to_message(f.view, f.servers) for f in lending.former),
        ]
        fleets = {f.view.fleet for f in lending.former} | {lending.view.fleet}
        unknown = [f for f in fleets if f.digest not in message.fleets]
        return messages.Rights(
            message.number,
            tuple(views),
            tuple(messages.KnownFleet(f.digest, f.capacities) for f in unknown),
        )

    def rights_received(
        self, server: types.ProxyName, message: messages.Rights
    ) -> None:
        """Records the answer of a holder; one that comes late is ignored."""
        asked = self._asked.pop(message.number, None)
        if asked is None or asked[0] != server or self._leaving:
            return
        if message.number <= self._received.get(server, 0):
            return  # A newer answer was applied, and the holder may know.
        for known in message.fleets:
            self._remember(fleet_view.Fleet(known.capacities))
        self._received[server] = message.number
        self._limits.received.record(
            server, self._lending(message), asked[1], self._clock.now()
        )

    def server_leaving(self, server: types.ProxyName) -> None:
        """Records that a proxy stopped using the shares lent to it."""
        self._limits.lent.take_back(server)
        self._refresh(self._clock.now())

    def _refresh(self, now: datetime.datetime) -> None:
        fleet = self._membership.fleet
        others = frozenset(fleet.capacities) - {self._name}
        quality = {name: self._links.quality(name) for name in others}
        view = fleet_view.FleetView(
            fleet,
            others - self._live,
            _having(quality, link_state.LinkQuality.SLOW),
            _having(quality, link_state.LinkQuality.UNUSABLE),
        )
        self._limits.set_view(view, self._membership.may_use(now), now)

    def _holders(self) -> Iterable[types.ProxyName]:
        """Returns the proxies whose shares this one may need.

        In a small fleet these are all proxies, so that a bucket is full when
        its workspace is first used. In a large one, they are the holders of
        the workspaces in use.
        """
        fleet = self._membership.fleet
        holders: set[types.ProxyName] = set()
        if len(fleet) <= fleet_view.MAX_HOLDERS:
            holders.update(fleet.capacities)
        else:
            for workspace in self._limits.in_use:
                holders.update(fleet.holders(workspace))
        return holders - {self._name}

    def _ask(self, server: types.ProxyName, now: datetime.datetime) -> None:
        self._number += 1
        request = messages.RightsRequest(
            self._number, self._received.get(server, 0), tuple(self._fleets)
        )
        if self._links.request_rights(server, request):
            self._asked[self._number] = (server, now)

    def _remember(self, fleet: fleet_view.Fleet) -> None:
        self._fleets.pop(fleet.digest, None)
        while len(self._fleets) >= _MAX_FLEETS:
            del self._fleets[next(iter(self._fleets))]
        self._fleets[fleet.digest] = fleet

    def _lending(self, message: messages.Rights) -> limit_share.Lending | None:
        """Returns an answer's content; None if it lends nothing.

        It lends nothing either if a fleet isn't known any more; then the next
        request says so.
        """
        known = self._fleets
        if any(view.fleet not in known for view in message.views):
            return None
        views = [
            (
                fleet_view.FleetView(
                    known[view.fleet], view.absent, view.slow, view.unusable
                ),
                view.servers,
            )
            for view in message.views
        ]
        if not views:
            return None
        return limit_share.Lending(
            views[0][0],
            tuple(limit_share.FormerView(*former) for former in views[1:]),
        )


def _to_message(
    view: fleet_view.FleetView, servers: frozenset[types.ProxyName]
) -> messages.LentView:
    return messages.LentView(
        view.fleet.digest, view.absent, view.slow, view.unusable, servers
    )


def _having(
    quality: dict[types.ProxyName, link_state.LinkQuality],
    wanted: link_state.LinkQuality,
) -> frozenset[types.ProxyName]:
    return frozenset(name for name, found in quality.items() if found is wanted)
