"""All links of a gateway, with the timer that watches them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
from typing import Protocol

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.proxies import link_state
from hickorygate.proxies import serving_plan
from hickorygate.proxies import statement_link
from hickorygate.proxies import statement_messages as messages

__all__ = ["RightsListener", "ServingLinks"]

_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
_IDLE_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
"""Times between two checks of all links, while a statement is outstanding and
otherwise."""


def _ignore_version(version: int) -> None:
    pass


def _ignore_refusal() -> None:
    pass


class RightsListener(Protocol):
    """Learns what other proxies say about shares of rate limits."""

    def rights_received(
        self, server: types.ProxyName, message: messages.Rights
    ) -> None:
        """Called with the answer of a proxy to a request."""

    def server_leaving(self, server: types.ProxyName) -> None:
        """Called when a proxy says that it stops."""


class ServingLinks:
    """The links to serving proxies."""

    def __init__(
        self,
        plan: serving_plan.ServingPlan,
        clock: clocks.Clock,
        journal: events.Journal,
        on_version: Callable[[int], None] = _ignore_version,
        on_refused: Callable[[], None] = _ignore_refusal,
    ) -> None:
        """Creates the links; each is opened when it is needed.

        Args:
          plan: addresses of the proxies.
          clock: source of time.
          journal: log that events are recorded in.
          on_version: called with the configuration version in each reply.
          on_refused: called when a link could not be opened.
        """
        self._plan = plan
        self._clock = clock
        self._journal = journal
        self._on_version = on_version
        self._on_refused = on_refused
        self._links: dict[types.ProxyName, statement_link.StatementLink] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_check: datetime.datetime | None = None
        self._lost = 0
        self._rights: RightsListener | None = None

    @property
    def links(self) -> dict[types.ProxyName, statement_link.StatementLink]:
        """Links by the name of the serving proxy, open or not."""
        return self._links

    @property
    def lost(self) -> int:
        """Number of links that were lost."""
        return self._lost

    def __repr__(self) -> str:
        return f"ServingLinks({len(self._links)})"

    async def ready(
        self, server: types.ProxyName, wanted: link_state.LinkQuality
    ) -> statement_link.StatementConnection | None:
        """Returns a connection to a proxy, if its link has this quality.

        Args:
          server: name of the serving proxy.
          wanted: quality that the link must have.

        Returns:
          The connection; None if there is none of this quality.
        """
        address = self._plan.address(server)
        if not address:
            return None
        link = self._link(server)
        quality = link.quality(self._clock.now())
        if quality is link_state.LinkQuality.UNUSABLE:
            link.open_if_due(address)
        if quality is not wanted:
            return None
        connection = link.connection or await link.ready(address)
        if connection is not None:
            self._watch()
        return connection

    def listen_for_rights(self, listener: RightsListener) -> None:
        """Sets who learns of shares of rate limits."""
        self._rights = listener

    def quality(self, server: types.ProxyName) -> link_state.LinkQuality:
        """Returns how well a proxy can be used now; opens no link."""
        if not self._plan.address(server):
            return link_state.LinkQuality.UNUSABLE
        link = self._links.get(server)
        if link is None:
            return link_state.LinkQuality.GOOD
        return link.quality(self._clock.now())

    def request_rights(
        self, server: types.ProxyName, message: messages.RightsRequest
    ) -> bool:
        """Asks a proxy for its shares; opens its link if needed.

        Returns:
          Whether the request was sent; it isn't while the link is opened.
        """
        address = self._plan.address(server)
        if not address:
            return False
        link = self._link(server)
        connection = link.connection
        if connection is None:
            link.open_if_due(address)
            return False
        if connection.is_full:
            return False
        connection.request_rights(message)
        self._watch()
        return True

    def rights_received(
        self, server: types.ProxyName, message: messages.Rights
    ) -> None:
        """Passes on the answer of a proxy."""
        if self._rights is not None:
            self._rights.rights_received(server, message)

    def server_leaving(self, server: types.ProxyName) -> None:
        """Passes on that a proxy stops."""
        if self._rights is not None:
            self._rights.server_leaving(server)

    def link_refused(self, server: types.ProxyName) -> None:
        """Reports a link that could not be opened."""
        self._on_refused()

    def link_lost(
        self, server: types.ProxyName, reason: str, outstanding: int
    ) -> None:
        """Records a link that was closed, or whose proxy doesn't answer."""
        self._lost += 1
        self._journal.record(
            platform_events.LinkLost(server, reason, outstanding)
        )

    def version_seen(self, version: int) -> None:
        """Passes on the version of another proxy's configuration."""
        self._on_version(version)

    def close(self) -> None:
        """Closes all links."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links.values():
            link.close()

    def _link(self, server: types.ProxyName) -> statement_link.StatementLink:
        """Returns the link to a proxy; creates it if needed."""
        link = self._links.get(server)
        if link is None:
            link = self._links[server] = statement_link.StatementLink(
                self._plan.name, server, self, self._clock
            )
        return link

    def _watch(self) -> None:
        """Starts the timer, or brings its next check forward."""
        due = self._clock.now() + _CHECK_INTERVAL
        if self._next_check is not None and self._next_check <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._schedule(_CHECK_INTERVAL)

    def _schedule(self, interval: datetime.timedelta) -> None:
        self._next_check = self._clock.now() + interval
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(interval.total_seconds(), self._check)

    def _check(self) -> None:
        assert self._next_check is not None, "_schedule() has set it"
        now = self._clock.now()
        late = max(now - self._next_check, datetime.timedelta())
        self._timer = self._next_check = None
        busy = is_open = False
        for link in tuple(self._links.values()):
            connection = link.connection
            if connection is None:
                continue
            connection.check(now, late)
            is_open = is_open or not connection.closed
            busy = busy or connection.outstanding > 0
        if is_open:
            self._schedule(_CHECK_INTERVAL if busy else _IDLE_CHECK_INTERVAL)
