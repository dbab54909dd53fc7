"""Runs reads: on a fresh replica, or on the primary."""

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
    """Runs one session's reads of one group."""

    __slots__ = ("_env", "_failed", "_group", "_session")

    def __init__(
        self,
        env: environments.Environment,
        group: links.GroupLink,
        session: sessions.Session,
    ) -> None:
        self._env = env
        self._group = group
        self._session = session
        self._failed: set[types.DatabaseName] = set()

    def __repr__(self) -> str:
        return f"Reader({self._group!r})"

    async def run(self, work: works.Work) -> handlers.AnswerResult:
        """Runs a read; tries another database where one fails."""
        return await attempts.run(
            self._env, work, True, lambda: self._try(work)
        )

    async def _try(self, work: works.Work) -> handlers.AnswerResult:
        now = self._env.clock.now()
        plan = freshness.plan(
            self._group.view, self._session, work.request, now
        )
        return await _follow(plan, self, work)

    async def run_on(
        self, name: types.DatabaseName, work: works.Work
    ) -> handlers.AnswerResult:
        """Runs a read on one database."""
        link = self._group.link(name)
        work.trace.served_by = self._kind_of(name)
        result = await lease.run_once(link, self._session, work)
        if result.is_error():
            self._failed.add(name)
        return result

    def choose(self, plan: freshness.FromReplicas) -> types.DatabaseName:
        """Chooses a database, not one that failed before if possible."""
        names = [name for name in plan.names if name not in self._failed]
        if not names and plan.primary is not None:
            return plan.primary
        candidates = [self._candidate(name) for name in names or plan.names]
        return balance.choose(self._env.policy, candidates, self._env.rng).name

    async def catch_up(self, work: works.Work) -> handlers.AnswerResult:
        """Waits for a newer view, then tries again or gives up."""
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
        return await _follow(plan, self, work)

    def _kind_of(self, name: types.DatabaseName) -> measurements.ServedBy:
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
async def _follow(
    plan: freshness.Plan, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    raise TypeError(f"no way to follow {plan!r}; register one")


@_follow.register
async def _(
    plan: freshness.FromReplicas, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.run_on(reader.choose(plan), work)


@_follow.register
async def _(
    plan: freshness.FromPrimary, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.run_on(plan.name, work)


@_follow.register(freshness.OldView)
@_follow.register(freshness.UnsettledFloor)
async def _(
    plan: freshness.Plan, reader: Reader, work: works.Work
) -> handlers.AnswerResult:
    return await reader.catch_up(work)
