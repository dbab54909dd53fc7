"""The listener of a serving proxy, which runs statements for gateways."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime

from hickorygate.callers import session_context
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.proxies import incoming_link
from hickorygate.proxies import statement_messages as messages

__all__ = ["StatementServer"]

_BACKLOG = 512


def _ignore_version(version: int) -> None:
    pass


class StatementServer:
    """The listener for gateways; it keeps track of their links."""

    def __init__(
        self,
        name: types.ProxyName,
        env: session_context.SessionContext,
        on_version: Callable[[int], None] = _ignore_version,
    ) -> None:
        """Creates the server; `start` opens the listener.

        Args:
          name: name of this proxy.
          env: dependencies of the sessions; they never forward statements.
          on_version: called with the configuration version of a statement that
            is newer than this proxy's.
        """
        self._name = name
        self._env = dataclasses.replace(env, serving=None, forwarder=None)
        self._on_version = on_version
        self._links: set[incoming_link.IncomingLink] = set()
        self._server: asyncio.Server | None = None
        self._leaving = False
        self._served: collections.Counter[str] = collections.Counter()
        self._answer_rights: (
            Callable[[types.ProxyName, messages.RightsRequest], messages.Rights]
            | None
        ) = None

    @property
    def name(self) -> types.ProxyName:
        """Name of this proxy."""
        return self._name

    @property
    def env(self) -> session_context.SessionContext:
        """Dependencies of the sessions."""
        return self._env

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._env.fleet.version

    @property
    def links(self) -> frozenset[incoming_link.IncomingLink]:
        """Links that are open."""
        return frozenset(self._links)

    @property
    def busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return any(link.running or link.transactions for link in self._links)

    @property
    def leaving(self) -> bool:
        """Whether this proxy stops and accepts no new work."""
        return self._leaving

    @property
    def served(self) -> collections.Counter[str]:
        """Number of statements by outcome."""
        return self._served

    @property
    def port(self) -> int:
        """TCP port of the listener; 0 before `start`."""
        if self._server is None or not self._server.sockets:
            return 0
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return f"StatementServer({self._name!r}, links={len(self._links)})"

    async def start(self, host: str, ports: Iterable[int]) -> None:
        """Starts to listen on the first port that is free.

        Raises:
          OSError: no port is free.
        """
        self._env.fleet.subscribe(self._check_access)
        loop = asyncio.get_running_loop()
        failure = OSError("no port is configured")
        for port in ports:
            try:
                self._server = await loop.create_server(
                    self._accept, host, port, backlog=_BACKLOG
                )
                return
            except OSError as error:
                failure = error
        raise failure

    def leave(self) -> None:
        """Tells all gateways that this proxy stops; refuses new work."""
        self._leaving = True
        for link in self._links:
            link.send(messages.Leaving())

    def abort_idle_transactions(self) -> None:
        """Aborts the transactions of which no statement runs."""
        for link in self._links:
            link.abort_idle_transactions()

    def expire(self, now: datetime.datetime) -> None:
        """Aborts transactions that are idle for too long."""
        for link in tuple(self._links):
            link.expire(now)

    def close(self) -> None:
        """Stops listening and closes all links."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.close()

    def refusal(
        self, message: messages.RunStatement
    ) -> messages.Verdict | None:
        """Returns why new work isn't accepted; None if it is."""
        if self._leaving:
            return messages.Verdict.LEAVING
        if message.version > self.version:
            self._on_version(message.version)
            return messages.Verdict.OUTDATED
        route = self._env.fleet.route(message.database)
        if route is not None and route.service != message.service:
            # The gateway's floor belongs to another service.
            return messages.Verdict.OUTDATED
        return None

    def note_served(self, reply: replies.Reply) -> None:
        """Counts a statement that was served."""
        if reply.result.is_ok():
            self._served["ok"] += 1
        else:
            rejection = replies.as_rejection(reply.result.error)
            self._served[rejection.reason.value] += 1

    def answer_rights_with(
        self,
        answer: Callable[
            [types.ProxyName, messages.RightsRequest], messages.Rights
        ],
    ) -> None:
        """Sets what answers requests for shares of rate limits."""
        self._answer_rights = answer

    def rights(
        self, sender: types.ProxyName, message: messages.RightsRequest
    ) -> messages.Rights:
        """Returns the answer to a proxy's request for shares."""
        if self._answer_rights is None:
            return messages.Rights(message.number, (), ())
        return self._answer_rights(sender, message)

    def link_closed(self, link: incoming_link.IncomingLink) -> None:
        """Forgets a link."""
        self._links.discard(link)

    def _check_access(self) -> None:
        """Ends what the configuration in force doesn't allow."""
        for link in tuple(self._links):
            link.check_access()

    def _accept(self) -> incoming_link.IncomingLink:
        link = incoming_link.IncomingLink(self)
        self._links.add(link)
        return link
