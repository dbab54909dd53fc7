"""Applies the rate limits of workspaces to the operations of this proxy.

An operation takes one token of its workspace's bucket before it is first sent
to a database. The bucket is filled at the workspace's rate, times the share of
the limit that this proxy may use (`core/limit_share.py`). Buckets are created
on demand and refilled when they are used.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import heapq
import random

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import fleet_view
from hickorygate.core import limit_share
from hickorygate.core import platform_events
from hickorygate.core import rate_limit
from hickorygate.core import types
from hickorygate.core import workspace as workspaces

__all__ = ["OTHER", "Usage", "WorkspaceLimits"]

OTHER = "other"
"""Name under which metrics sum up all but the largest workspaces. A workspace
of that name is summed up there too."""

_NAMED_IN_METRICS = 20
"""Maximum number of workspaces that metrics name."""

_RESERVE = 4
"""Operations that each candidate for a workspace may run in a window in
addition to its share. Three candidates, and a fourth one while proxies know
different fleets, use 16 of the 20 operations of `bounds.quota_slack`;
`rate_limit` uses the other 4."""

_WINDOW = datetime.timedelta(seconds=5)
"""Window in which the operations of a workspace are bounded."""

_EXCESS = 0.1
"""`bounds.quota_excess`: how much more operations may run in a window than the
limit says. It is left to operations that waited after their admission."""

_RETRY_WITHOUT_SHARE = datetime.timedelta(seconds=1)
"""Retry delay that a refusal suggests while this proxy has no share."""

_MIN_RETRY_DELAY = datetime.timedelta(milliseconds=10)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=5)
"""Shortest and longest retry delay before jitter."""

_JITTER = 0.5
"""Greatest jitter of a retry delay, as a fraction of the delay."""

_QUIET = datetime.timedelta(seconds=5)
"""Time without a refusal after which a workspace is no longer limited."""

_EVENTS_PER_WINDOW = 20
"""Maximum number of logged changes in `_WINDOW`, of all workspaces together."""


@dataclasses.dataclass(slots=True)
class Usage:
    """Use of one workspace's limit at this proxy.

    Attributes:
      share: share of the limit that this proxy could use last, 0 to 1.
      admitted: number of operations that were admitted.
      refused: number of operations that were refused.
    """

    share: float = 0.0
    admitted: int = 0
    refused: int = 0


class _WorkspaceState:
    """The bucket of one workspace and what is reported about it.

    Attributes:
      workspace: the workspace as of the last operation.
      bucket: tokens of the share that this proxy may use.
      reserve: operations beyond the share.
      runs: tokens for sending admitted operations; it has room for those that
        waited a little.
      run_reserve: operations beyond the share that were sent.
      refilled: time up to which the bucket was refilled.
      usage: counts for the metrics.
      refused_at: time of the last refusal; None if the workspace isn't limited.
      refused_before: number of refusals before it became limited.
      reported: whether the log says that the workspace is limited.
    """

    __slots__ = (
        "bucket",
        "refilled",
        "refused_at",
        "refused_before",
        "reported",
        "reserve",
        "run_reserve",
        "runs",
        "usage",
        "workspace",
    )

    def __init__(
        self,
        workspace: workspaces.Workspace,
        limit: rate_limit.RateLimit,
        since: datetime.datetime,
    ) -> None:
        self.workspace = workspace
        self.bucket = rate_limit.TokenBucket(limit)
        self.reserve = rate_limit.SlidingCount(_RESERVE, _WINDOW)
        self.runs = rate_limit.TokenBucket(_run_limit(limit))
        self.run_reserve = rate_limit.SlidingCount(_RESERVE, _WINDOW)
        self.refilled = since
        self.usage = Usage()
        self.refused_at: datetime.datetime | None = None
        self.refused_before = 0
        self.reported = False


def _limit(workspace: workspaces.Workspace) -> rate_limit.RateLimit | None:
    """Returns the limit of a workspace; None if it is unlimited."""
    if workspace.rate is None:
        return None
    return rate_limit.RateLimit(workspace.rate, workspace.burst)


def _run_limit(limit: rate_limit.RateLimit) -> rate_limit.RateLimit:
    """Returns the limit of the operations that are sent to databases."""
    window = limit.rate * _WINDOW.total_seconds() + limit.burst
    return rate_limit.RateLimit(limit.rate, limit.burst + _EXCESS * window)


class WorkspaceLimits:
    """The rate limits of all workspaces at one proxy."""

    def __init__(
        self,
        name: types.ProxyName,
        workspaces: Callable[
            [], Mapping[types.WorkspaceName, workspaces.Workspace]
        ],
        journal: events.Journal,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        """Creates the limits of a process that just started.

        Args:
          name: name of this proxy.
          workspaces: returns the workspaces of the configuration in force.
          journal: log that changes are recorded in.
          rng: source of jitter.
          now: current time.
        """
        self._name = name
        self._workspaces = workspaces
        self._journal = journal
        self._rng = rng
        self._started = now
        self._known: (
            Mapping[types.WorkspaceName, workspaces.Workspace] | None
        ) = None
        self._checked: object = None
        self._any = False
        self._changed: dict[types.WorkspaceName, datetime.datetime] = {}
        self._limited: set[types.WorkspaceName] = set()
        self._states: dict[types.WorkspaceName, _WorkspaceState] = {}
        self._changes = rate_limit.SlidingCount(_EVENTS_PER_WINDOW, _WINDOW)
        self._reserve_from = now + _WINDOW
        self._lent = limit_share.LentRights(name, now)
        self._received = limit_share.RightsReceived(name)

    @property
    def lent(self) -> limit_share.LentRights:
        """The shares of this proxy and the leases that it grants."""
        return self._lent

    @property
    def received(self) -> limit_share.RightsReceived:
        """The shares that this proxy may use."""
        return self._received

    @property
    def has_limits(self) -> bool:
        """Whether any workspace of the configuration has a rate limit."""
        listed = self._workspaces()
        if listed is not self._checked:
            self._checked = listed
            self._any = any(_limit(each) for each in listed.values())
        return self._any

    @property
    def in_use(self) -> tuple[types.WorkspaceName, ...]:
        """The workspaces whose limit this proxy has applied."""
        return tuple(self._states)

    @property
    def usage(self) -> dict[types.WorkspaceName, Usage]:
        """Use of the limits, by workspace."""
        return {name: state.usage for name, state in self._states.items()}

    def __repr__(self) -> str:
        return f"WorkspaceLimits({self._name!r}, {len(self._states)} in use)"

    def largest_usage(self) -> dict[types.WorkspaceName, Usage]:
        """Returns the use of the largest workspaces, and of the others.

        The largest ones are those with most operations since the start; the
        sum of all others is named `OTHER`.
        """
        usage = self.usage
        named = heapq.nlargest(
            _NAMED_IN_METRICS,
            usage.keys() - {OTHER},
            key=lambda name: (usage[name].admitted + usage[name].refused, name),
        )
        shown = {name: usage.pop(name) for name in sorted(named)}
        if usage:
            shown[OTHER] = Usage(
                0.0,
                sum(used.admitted for used in usage.values()),
                sum(used.refused for used in usage.values()),
            )
        return shown

    def set_view(
        self,
        view: fleet_view.FleetView,
        active: bool,
        now: datetime.datetime,
    ) -> None:
        """Sets what this proxy knows of the fleet.

        Args:
          view: registered proxies and those that can't be used.
          active: whether this proxy may use and lend its shares.
          now: current time.
        """
        self._lent.set_view(view)
        self._lent.set_active(active)
        self._renew_own(now)

    def admit(
        self, workspace: types.WorkspaceName, now: datetime.datetime
    ) -> errors.RateLimited | None:
        """Takes a token for one operation.

        Args:
          workspace: workspace of the caller.
          now: current time.

        Returns:
          None if the operation may run, otherwise the failure for the caller.
        """
        state = self._state_of(workspace, now)
        if state is None:
            return None
        self._refill(state, now)
        if state.bucket.try_take() or self._take_reserve(state, now):
            state.usage.admitted += 1
            self._note_quiet(state, now)
            return None
        state.usage.refused += 1
        self._note_refusal(state, now)
        return errors.RateLimited(workspace, self._retry_delay(state.bucket))

    def time_to_run(
        self,
        workspace: types.WorkspaceName,
        now: datetime.datetime,
        deadline: datetime.datetime,
    ) -> datetime.timedelta | None:
        """Counts an admitted operation that is about to be sent.

        Operations that waited for a database may otherwise run all at once
        and exceed the bound on those that run in a window.

        Args:
          workspace: workspace of the caller.
          now: current time.
          deadline: time after which the operation is no longer sent.

        Returns:
          Time to wait before it may be sent; None if that would be too late.
        """
        state = self._state_of(workspace, now)
        if state is None:
            return datetime.timedelta()
        self._refill(state, now)
        reserved = state.runs.tokens < 1 and self._is_reserved(state, now)
        if reserved and state.run_reserve.try_take(now):
            return datetime.timedelta()
        return state.runs.reserve(deadline - now)

    def tick(self, now: datetime.datetime) -> None:
        """Does the periodic work; its cost doesn't depend on the workspaces.

        This proxy begins to use its own shares, and workspaces that are no
        longer limited are reported.
        """
        self._renew_own(now)
        for name in tuple(self._limited):
            self._note_quiet(self._states[name], now)

    def _state_of(
        self, name: types.WorkspaceName, now: datetime.datetime
    ) -> _WorkspaceState | None:
        """Returns the state of a workspace; None if it is unlimited."""
        listed = self._workspaces()
        if listed is not self._known:
            self._apply(listed, now)
        workspace = listed.get(name)
        limit = _limit(workspace) if workspace is not None else None
        if workspace is None or limit is None:
            self._drop(name)
            return None
        state = self._states.get(name)
        if state is None:
            since = self._changed.get(name, self._started)
            state = _WorkspaceState(workspace, limit, since)
            self._states[name] = state
        elif state.workspace != workspace:
            self._refill(state, now)
            state.workspace = workspace
            state.bucket.set_limit(limit)
            state.runs.set_limit(_run_limit(limit))
        return state

    def _apply(
        self,
        listed: Mapping[types.WorkspaceName, workspaces.Workspace],
        now: datetime.datetime,
    ) -> None:
        """Notes which workspaces a new configuration adds, alters or drops.

        The bucket of an added or altered workspace is empty at that time. The
        buckets of the first configuration have filled since the start.
        """
        if self._known is not None:
            for name, workspace in listed.items():
                if self._known.get(name) != workspace:
                    self._changed[name] = now
        self._known = listed
        for name in self._changed.keys() - listed.keys():
            del self._changed[name]
        for name in self._states.keys() - listed.keys():
            self._drop(name)

    def _drop(self, name: types.WorkspaceName) -> None:
        self._limited.discard(name)
        self._states.pop(name, None)

    def _refill(self, state: _WorkspaceState, now: datetime.datetime) -> None:
        self._renew_own(now)
        share, seconds = self._received.share(
            state.workspace.name, state.refilled, now
        )
        state.bucket.refill(share, seconds)
        state.runs.refill(share, seconds)
        state.refilled = now
        state.usage.share = share

    def _renew_own(self, now: datetime.datetime) -> None:
        """Takes what this proxy lends to itself."""
        lending = self._lent.answer(self._name, now)
        self._received.record(self._name, lending, now, now)

    def _take_reserve(
        self, state: _WorkspaceState, now: datetime.datetime
    ) -> bool:
        return self._is_reserved(state, now) and state.reserve.try_take(now)

    def _is_reserved(
        self, state: _WorkspaceState, now: datetime.datetime
    ) -> bool:
        """Returns whether this proxy may run operations beyond its share."""
        view = self._lent.view
        if view is None or now < self._reserve_from:
            return False
        if not self._lent.is_active(now):
            return False
        name = state.workspace.name
        candidates = view.fleet.candidates(name, view.absent)
        return self._name in candidates[: fleet_view.RESERVED]

    def _retry_delay(
        self, bucket: rate_limit.TokenBucket
    ) -> datetime.timedelta:
        delay = bucket.time_to_token() or _RETRY_WITHOUT_SHARE
        delay = min(max(delay, _MIN_RETRY_DELAY), _MAX_RETRY_DELAY)
        return delay * (1 + self._rng.uniform(0, _JITTER))

    def _note_refusal(
        self, state: _WorkspaceState, now: datetime.datetime
    ) -> None:
        if state.refused_at is None:
            state.refused_before = state.usage.refused - 1
            state.reported = self._changes.try_take(now)
            if state.reported:
                self._journal.record(
                    platform_events.WorkspaceLimited(
                        state.workspace.name, state.usage.share
                    )
                )
        state.refused_at = now
        self._limited.add(state.workspace.name)

    def _note_quiet(
        self, state: _WorkspaceState, now: datetime.datetime
    ) -> None:
        if state.refused_at is None or now - state.refused_at < _QUIET:
            return
        state.refused_at = None
        self._limited.discard(state.workspace.name)
        if state.reported:
            self._journal.record(
                platform_events.WorkspaceUnlimited(
                    state.workspace.name,
                    state.usage.refused - state.refused_before,
                )
            )
