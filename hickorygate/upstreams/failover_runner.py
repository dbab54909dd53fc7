"""Applies the effects of the failover state machine and feeds it events."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import functools
import random

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import rendezvous
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import control_link
from hickorygate.upstreams import failover
from hickorygate.upstreams import failover_dispatch
from hickorygate.upstreams import failover_events
from hickorygate.upstreams import failover_timing
from hickorygate.upstreams import group_procedures
from hickorygate.upstreams import status_prober

__all__ = ["LivePeers", "FailoverRunner"]

LivePeers = Callable[[], Iterable[types.ProxyName]]
"""Returns the names of the other live proxies."""

_TICK_PERIOD = datetime.timedelta(milliseconds=20)
"""Time between two ticks of the state machine."""


class FailoverRunner:
    """Runs the failover state machine of one group."""

    __slots__ = (
        "_background",
        "_clock",
        "_control_links",
        "_failover",
        "_group",
        "_live_peers",
        "_prober",
        "_timeline",
    )

    def __init__(
        self,
        group: sheet.Group,
        controls: Mapping[types.DatabaseName, control_link.ControlLink],
        prober: status_prober.StatusProber,
        timing: failover_timing.FailoverTiming,
        clock: clocks.Clock,
        timeline: events.Timeline,
        generator: random.Random,
        live: LivePeers,
    ) -> None:
        """Creates the runner; `start` starts it.

        Args:
          group: the group to watch.
          controls: control connections to the databases, by name.
          prober: prober of the group; receives each status in an answer.
          timing: delays and time limits of the failover.
          clock: source of the current time.
          timeline: records the events; also holds the name of this proxy.
          generator: source of randomness for the backoff.
          live: returns the other live proxies, for this proxy's rank.
        """
        self._group = group
        self._live_peers = live
        self._failover = failover.Failover(group, timing, generator)
        self._control_links = controls
        self._prober = prober
        self._clock = clock
        self._timeline = timeline
        self._background = background.BackgroundTasks()

    @property
    def holds_writes(self) -> bool:
        """Whether new writes must wait because a run is under way."""
        return self._failover.holds_writes

    def __repr__(self) -> str:
        return f"FailoverRunner({self._failover!r})"

    def start(self) -> None:
        """Starts the task that ticks the state machine."""
        self._background.keep(self._tick_periodically)

    async def close(self) -> None:
        """Stops all tasks; a run under way is left to another proxy."""
        await self._background.close()

    def status_seen(self, status: position.DatabaseStatus) -> None:
        """Handles the status of an answered probe."""
        self._handle_event(failover_events.StatusSeen(status))

    def probe_failed(self, name: types.DatabaseName) -> None:
        """Handles a probe that wasn't answered."""
        self._handle_event(failover_events.ProbeFailed(name))

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the names of the databases that are about to stop."""
        self._handle_event(failover_events.LeavingChanged(names))

    def record(self, event: events.Event) -> None:
        """Records an event on the timeline."""
        self._timeline.record(event)

    def call(self, call: failover_events.Call) -> None:
        """Starts a task that sends a call to a database."""
        self._background.start(self._run_call(call))

    def _handle_event(self, event: failover_events.Event) -> None:
        now = self._clock.now()
        for effect in failover_dispatch.handle(event, self._failover, now):
            _apply_effect(effect, self)

    async def _run_call(self, call: failover_events.Call) -> None:
        requested_at = self._clock.now()
        result = await _send_call(call, self._control_links[call.database])
        match result:
            case expression.Result(tag="ok", ok=status):
                self._prober.record_status(status, requested_at)
                self._handle_event(failover_events.CallSucceeded(call, status))
            case expression.Result(tag="error", error=errors.ControlRefused()):
                self._handle_event(failover_events.CallRefused(call))
            case _:
                self._handle_event(failover_events.CallLost(call))

    async def _tick_periodically(self) -> None:
        while True:
            await self._clock.sleep(_TICK_PERIOD)
            if self._failover.needs_fast_probing(self._clock.now()):
                self._prober.probe_soon()
                self._handle_event(
                    failover_events.RankChanged(self._compute_rank())
                )
            self._handle_event(failover_events.Tick())

    def _compute_rank(self) -> int:
        return rendezvous.owner_index(
            self._group.name, self._timeline.process, self._live_peers()
        )


@functools.singledispatch
def _apply_effect(
    effect: failover_events.Effect, runner: FailoverRunner
) -> None:
    raise TypeError(f"no handler for {effect!r}; register one")


@_apply_effect.register
def _(effect: failover_events.Call, runner: FailoverRunner) -> None:
    runner.call(effect)


@_apply_effect.register
def _(effect: failover_events.RecordEvent, runner: FailoverRunner) -> None:
    runner.record(effect.event)


@functools.singledispatch
async def _send_call(
    call: failover_events.Call, link: control_link.ControlLink
) -> group_procedures.StatusResult:
    raise TypeError(f"no handler for {call!r}; register one")


@_send_call.register
async def _(
    call: failover_events.Fence, link: control_link.ControlLink
) -> group_procedures.StatusResult:
    return await link.fence(call.term)


@_send_call.register
async def _(
    call: failover_events.Promote, link: control_link.ControlLink
) -> group_procedures.StatusResult:
    return await link.promote(call.term)


@_send_call.register
async def _(
    call: failover_events.Follow, link: control_link.ControlLink
) -> group_procedures.StatusResult:
    return await link.follow(call.term, call.primary)
