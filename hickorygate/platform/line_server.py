"""Serves callers over the line protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import functools

from hickorygate.callers import session_context
from hickorygate.core import counted_notices
from hickorygate.core import memory_budget
from hickorygate.core import platform_events
from hickorygate.operators import caller_usage
from hickorygate.platform import caller_connection
from hickorygate.platform import settings

__all__ = ["LineServer"]

_BACKLOG = 512


class LineServer:
    """The listener for callers; it keeps track of their connections.

    Args:
      env: dependencies that all sessions share.
      limits: what all connections together may occupy.
    """

    def __init__(
        self,
        env: session_context.SessionContext,
        limits: memory_budget.BufferLimits | None = None,
    ) -> None:
        self._env = env
        self._budget = memory_budget.MemoryBudget(
            limits or memory_budget.BufferLimits()
        )
        self._callers: dict[
            memory_budget.Holding, caller_connection.CallerConnection
        ] = {}
        self._rejected = counted_notices.CountedNotices()
        self._closed = counted_notices.CountedNotices()
        self._malformed: counted_notices.CountedNotices[
            caller_usage.MessageCause
        ] = counted_notices.CountedNotices()
        self._server: asyncio.Server | None = None

    @property
    def callers(self) -> frozenset[caller_connection.CallerConnection]:
        """Connections that are open."""
        return frozenset(self._callers.values())

    @property
    def budget(self) -> memory_budget.MemoryBudget:
        """The account of all connections."""
        return self._budget

    @property
    def usage(self) -> caller_usage.CallerUsage:
        """What callers occupy, and what was done about it."""
        return caller_usage.CallerUsage(
            self._budget.total,
            self._budget.paused,
            dict(self._rejected.totals),
            dict(self._closed.totals),
            dict(self._malformed.totals),
        )

    @property
    def port(self) -> int:
        """TCP port that callers connect to; available after `start`."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return f"LineServer(callers={len(self._callers)})"

    async def start(self, address: settings.Address) -> None:
        """Starts to listen.

        Raises:
          OSError: listening on the address is not possible.
        """
        self._env.fleet.subscribe(self._check_access)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.host, address.port, backlog=_BACKLOG
        )

    def expire(self) -> None:
        """Applies the time limits of all connections; called regularly."""
        now = self._env.clock.now()
        for caller in self.callers:
            caller.expire(now)
        self.apply(self._budget.tick(now))

    def close_when_idle(self) -> None:
        """Marks all connections to be closed after a reply.

        Each connection closes after its next reply that leaves no transaction
        open.
        """
        for caller in self._callers.values():
            caller.close_when_idle()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def apply(self, effects: Iterable[memory_budget.Effect]) -> None:
        """Applies decisions of the budget."""
        for effect in effects:
            caller = self._callers.get(effect.holding)
            if caller is not None:
                _apply(effect, caller, self)

    def record_closed(self, cause: memory_budget.Cause) -> None:
        """Counts a connection that is closed because of a limit."""
        count = self._closed.add(cause, self._env.clock.now())
        if count:
            self._env.journal.record(
                platform_events.CallersClosed(cause.value, count)
            )

    def record_malformed(self, in_session: bool) -> None:
        """Counts a message that was not understood.

        Args:
          in_session: whether the caller has opened a session.
        """
        cause = (
            caller_usage.MessageCause.SESSION
            if in_session
            else caller_usage.MessageCause.NO_SESSION
        )
        count = self._malformed.add(cause, self._env.clock.now())
        if count:
            self._env.journal.record(
                platform_events.MessagesRejected(cause.value, count)
            )

    def forget(self, caller: caller_connection.CallerConnection) -> None:
        """Forgets a connection that has ended."""
        self._callers.pop(caller.holding, None)

    def _check_access(self) -> None:
        """Closes the sessions that the configuration in force doesn't allow."""
        for caller in self.callers:
            caller.check_access()

    def _accept(self) -> asyncio.Protocol:
        cause = self._budget.rejection()
        if cause is not None:
            count = self._rejected.add(cause, self._env.clock.now())
            if count:
                self._env.journal.record(
                    platform_events.CallersRejected(cause.value, count)
                )
            return caller_connection.RejectedConnection(cause)
        caller = caller_connection.CallerConnection(self._env, self)
        self._callers[caller.holding] = caller
        return caller


@functools.singledispatch
def _apply(
    effect: memory_budget.Effect,
    caller: caller_connection.CallerConnection,
    server: LineServer,
) -> None:
    """Applies one decision to a connection."""
    raise TypeError(f"no action for {effect!r}; register one")


@_apply.register
def _(
    effect: memory_budget.PauseReading,
    caller: caller_connection.CallerConnection,
    server: LineServer,
) -> None:
    caller.pause_reading()


@_apply.register
def _(
    effect: memory_budget.ResumeReading,
    caller: caller_connection.CallerConnection,
    server: LineServer,
) -> None:
    caller.resume_reading()


@_apply.register
def _(
    effect: memory_budget.StartMessage,
    caller: caller_connection.CallerConnection,
    server: LineServer,
) -> None:
    caller.start_message()


@_apply.register
def _(
    effect: memory_budget.CloseConnection,
    caller: caller_connection.CallerConnection,
    server: LineServer,
) -> None:
    server.record_closed(memory_budget.Cause.MEMORY)
    caller.abort()
