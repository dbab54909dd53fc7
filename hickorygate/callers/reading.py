"""Executes reads outside transactions, on a replica or the primary."""

from __future__ import annotations

import functools

import expression

from hickorygate.callers import connection_lease
from hickorygate.callers import environment
from hickorygate.callers import freshness
from hickorygate.callers import handler
from hickorygate.callers import load_balancing
from hickorygate.callers import retry_loop
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import measurement
from hickorygate.core import types
from hickorygate.upstreams import group_link

__all__ = ["Reader"]


class Reader:
    """Executes reads of one session in one group."""

    __slots__ = ("_env", "_failed_databases", "_group", "_session")

    def __init__(
        self,
        env: environment.Environment,
        group: group_link.GroupLink,
        session: sessions.Session,
    ) -> None:
        self._env = env
        self._group = group
        self._session = session
        self._failed_databases: set[types.DatabaseName] = set()

    def __repr__(self) -> str:
        return f"Reader({self._group!r})"

    async def run(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a read; retries prefer databases that have not failed it."""
        return await retry_loop.run(
            self._env, work, True, lambda: self._attempt_read(work)
        )

    async def _attempt_read(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Makes one attempt."""
        now = self._env.clock.now()
        plan = freshness.plan_read(
            self._group.view, self._session, work.request, now
        )
        return await _execute_plan(plan, self, work)

    async def run_on(
        self,
        name: types.DatabaseName,
        work: statement_execution.StatementExecution,
    ) -> handler.AnswerResult:
        """Executes a read on one database.

        After a failure, the next attempts of this read avoid the database if
        possible.

        Args:
          name: name of the database.
          work: read.
        """
        link = self._group.database_link(name)
        work.trace.served_by = self._role_of(name)
        result = await connection_lease.run_once(link, self._session, work)
        if result.is_error():
            self._failed_databases.add(name)
        return result

    def choose(self, plan: freshness.FromReplicas) -> types.DatabaseName:
        """Chooses a database, preferably one that has not failed this read.

        If all replicas of the plan have failed, the primary is chosen, or any
        of the replicas if the primary is unknown.
        """
        names = [
            name for name in plan.names if name not in self._failed_databases
        ]
        if not names and plan.primary is not None:
            return plan.primary
        candidates = [self._candidate(name) for name in names or plan.names]
        return load_balancing.choose(
            self._env.policy, candidates, self._env.rng
        ).name

    async def run_after_refresh(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Waits until the group was probed again, then executes the read.

        Returns a `NoPrimary` failure if the new view does not allow the read
        either.
        """
        time_left = work.request.time_left(self._env.clock.now())
        await self._group.wait_next_round(time_left)
        now = self._env.clock.now()
        plan = freshness.plan_read(
            self._group.view, self._session, work.request, now
        )
        if isinstance(plan, (freshness.OutdatedView, freshness.UnknownFloor)):
            return expression.Error(
                errors.NoPrimary(self._group.view.group.name)
            )
        return await _execute_plan(plan, self, work)

    def _role_of(self, name: types.DatabaseName) -> measurement.ServedBy:
        primary = self._group.view.primary
        if primary is not None and primary.database == name:
            return measurement.ServedBy.PRIMARY
        return measurement.ServedBy.REPLICA

    def _candidate(self, name: types.DatabaseName) -> load_balancing.Candidate:
        link = self._group.database_link(name)
        return load_balancing.Candidate(
            name=name,
            same_zone=link.database.zone == self._env.zone,
            busy=link.pool.busy,
        )


@functools.singledispatch
async def _execute_plan(
    plan: freshness.ReadPlan,
    reader: Reader,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    raise TypeError(f"no handler for plan {plan!r}; register one")


@_execute_plan.register
async def _(
    plan: freshness.FromReplicas,
    reader: Reader,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await reader.run_on(reader.choose(plan), work)


@_execute_plan.register
async def _(
    plan: freshness.FromPrimary,
    reader: Reader,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await reader.run_on(plan.name, work)


@_execute_plan.register(freshness.OutdatedView)
@_execute_plan.register(freshness.UnknownFloor)
async def _(
    plan: freshness.ReadPlan,
    reader: Reader,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await reader.run_after_refresh(work)
