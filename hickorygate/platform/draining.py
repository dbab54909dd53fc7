"""Closes the sessions of a process that shuts down."""

from __future__ import annotations

import datetime

from hickorygate.callers import session_context
from hickorygate.callers import shutdown as shutdowns
from hickorygate.platform import line_server
from hickorygate.proxies import statement_server

__all__ = ["Draining"]

_INTERVAL = datetime.timedelta(milliseconds=50)


class Draining:
    """Closes the sessions of callers and of other proxies.

    Args:
      env: dependencies of the sessions.
      callers: server of the callers.
      statements: listener for the statements of other proxies.
    """

    __slots__ = ("_callers", "_env", "_statements")

    def __init__(
        self,
        env: session_context.SessionContext,
        callers: line_server.LineServer,
        statements: statement_server.StatementServer,
    ) -> None:
        self._env = env
        self._callers = callers
        self._statements = statements

    def __repr__(self) -> str:
        return f"Draining({len(self._callers.callers)} callers)"

    async def run(self, shutdown: shutdowns.ShutdownSchedule) -> None:
        """Closes sessions according to the schedule of the shutdown.

        Returns when the process may exit.
        """
        notice = self._env.shutdown
        notice.answer_by = shutdown.answer_by
        self._statements.leave()
        closed = 0
        while True:
            ending = shutdown.at(self._env.clock.now())
            notice.refuses_sessions = ending.refuse_sessions
            quiet = [c for c in self._callers.callers if c.is_idle]
            if ending.close_share > 0:
                self._callers.close_when_idle()
            due = int(ending.close_share * (closed + len(quiet))) - closed
            for caller in quiet[: max(due, 0)]:
                caller.close()
                closed += 1
            if ending.abort_transactions:
                self._drop_transactions()
            idle = not (self._callers.callers or self._statements.busy)
            drained = ending.close_share >= 1 and idle
            if ending.exit or drained:
                self._callers.stop_listening()
                return
            await self._env.clock.sleep(_INTERVAL)

    def _drop_transactions(self) -> None:
        self._statements.abort_idle_transactions()
        for caller in self._callers.callers:
            if caller.session is not None and not caller.is_processing:
                caller.session.abort_open_transaction()
