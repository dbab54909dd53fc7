"""Executes reads outside transactions, on a replica or the primary."""

from __future__ import annotations

import functools

import expression

from hickorygate.callers import attempts
from hickorygate.callers import balance
from hickorygate.callers import environment as environments
from hickorygate.callers import freshness
from hickorygate.callers import handler as handlers
from hickorygate.callers import lease
from hickorygate.callers import session as sessions
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import measurement as measurements
from hickorygate.core import types
from hickorygate.upstreams import link as links

__all__ = ["Reader"]


class Reader:
    """Executes reads of one session in one group."""

    __slots__ = ("_env", "_failed_databases", "_group", "_session")

    def __init__(
        self,
        env: environments.Environment,
        group: links.GroupLink,
        session: sessions.Session,
    ) -> None:
        self._env = env
        self._group = group
        self._session = session
        self._failed_databases: set[types.DatabaseName] = set()

    def __repr__(self) -> str:
        return f"Reader({self._group!r})"

    async def run(self, work: works.Work) -> handlers.AnswerResult:
        """Executes a read; a retry prefers a database that has not failed."""
        return await attempts.run(
            self._env, work, True, lambda: self._attempt_read(work)
        )

    async def _attempt_read(self, work: works.Work) -> handlers.AnswerResult:
        """Makes one attempt."""
        now = self._env.clock.now()
        plan = freshness.plan(
            self._group.view, self._session, work.request, now
        )
        return await _execute_plan(plan, self, work)

    async def run_on(
        self, name: types.DatabaseName, work: works.Work
    ) -> handlers.AnswerResult:
        """Executes a read on one database and remembers a failure.

        Args:
          name: name of the database.
          work: read.
        """
        link = self._group.link(name)
        work.trace.served_by = self._role_of(name)
        result = await lease.run_once(link, self._session, work)
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
        return balance.choose(self._env.policy, candidates, self._env.rng).name

    async def catch_up(self, work: works.Work) -> handlers.AnswerResult:
        """Waits until the group was probed again, then executes the read.

        Returns a `NoPrimary` failure if the new view does not allow the read
        either.
        """
        time_left = work.request.time_left(self._env.clock.now())
        await self._group.next_round(time_left)
        now = self._env.clock.now()
        plan = freshness.plan(
            self._group.view, self._session, work.request, now
        )
        if isinstance(plan, (freshness.OldView, freshness.UnsettledFloor)):
            return expression.Error(
                errors.NoPrimary(self._group.view.group.name)
            )
        return await _execute_plan(plan, self, work)

    def _role_of(self, name: types.DatabaseName) -> measurements.ServedBy:
        primary = self._group.view.primary
        if primary is not None and primary.database == name:
            return measurements.ServedBy.PRIMARY
        return measurements.ServedBy.REPLICA

    def _candidate(self, name: types.DatabaseName) -> balance.Candidate:
        link = self._group.link(name)
        return balance.Candidate(
            name=name,
            near=link.database.zone == self._env.zone,
            busy=link.pool.busy,
        )


@functools.singledispatch
async def _execute_plan(
    plan: freshness.Plan, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    raise TypeError(f"no handler for plan {plan!r}; register one")


@_execute_plan.register
async def _(
    plan: freshness.FromReplicas, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.run_on(reader.choose(plan), work)


@_execute_plan.register
async def _(
    plan: freshness.FromPrimary, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.run_on(plan.name, work)


@_execute_plan.register(freshness.OldView)
@_execute_plan.register(freshness.UnsettledFloor)
async def _(
    plan: freshness.Plan, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.catch_up(work)
