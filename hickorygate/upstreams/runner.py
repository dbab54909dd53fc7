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
from hickorygate.core import position as positions
from hickorygate.core import rendezvous
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import control
from hickorygate.upstreams import control_link
from hickorygate.upstreams import failover
from hickorygate.upstreams import probe as probes
from hickorygate.upstreams import steps
from hickorygate.upstreams import timing as timings

__all__ = ["Live", "Runner"]

Live = Callable[[], Iterable[types.ProxyName]]
"""Returns the names of the other live proxies."""

_TICK_PERIOD = datetime.timedelta(milliseconds=20)
"""Time between two ticks of the state machine."""


class Runner:
    """Runs the failover state machine of one group."""

    __slots__ = (
        "_background",
        "_clock",
        "_control_links",
        "_failover",
        "_group",
        "_live_peers",
        "_prober",
        "_time_line",
    )

    def __init__(
        self,
        group: sheets.Group,
        controls: Mapping[types.DatabaseName, control_link.ControlLink],
        prober: probes.Prober,
        timing: timings.Timing,
        clock: clocks.Clock,
        time_line: events.TimeLine,
        generator: random.Random,
        live: Live,
    ) -> None:
        """Creates the runner; `start` starts it.

        Args:
          group: the group to watch.
          controls: control connections to the databases, by name.
          prober: prober of the group; receives each status in an answer.
          timing: delays and time limits of the failover.
          clock: source of the current time.
          time_line: records the events; names this proxy.
          generator: source of randomness for the backoff.
          live: returns the other live proxies, for this proxy's rank.
        """
        self._group = group
        self._live_peers = live
        self._failover = failover.Failover(group, timing, generator)
        self._control_links = controls
        self._prober = prober
        self._clock = clock
        self._time_line = time_line
        self._background = background.Background()

    @property
    def holds_writes(self) -> bool:
        """Whether new writes must wait because a run is under way."""
        return self._failover.holds_writes

    def __repr__(self) -> str:
        return f"Runner({self._failover!r})"

    def start(self) -> None:
        """Starts the task that ticks the state machine."""
        self._background.start(self._tick_periodically())

    async def close(self) -> None:
        """Stops all tasks; a run under way is left to another proxy."""
        await self._background.close()

    def status_seen(self, status: positions.DatabaseStatus) -> None:
        """Handles the status of an answered probe."""
        self._handle_event(steps.StatusSeen(status))

    def probe_lost(self, name: types.DatabaseName) -> None:
        """Handles a probe that wasn't answered."""
        self._handle_event(steps.ProbeLost(name))

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the names of the databases that are about to stop."""
        self._handle_event(steps.LeavingChanged(names))

    def record(self, event: events.Event) -> None:
        """Records an event on the time line."""
        self._time_line.record(event)

    def call(self, call: steps.Call) -> None:
        """Starts a task that sends a call to a database."""
        self._background.start(self._run_call(call))

    def _handle_event(self, event: steps.Event) -> None:
        now = self._clock.now()
        for effect in failover.handle(event, self._failover, now):
            _apply_effect(effect, self)

    async def _run_call(self, call: steps.Call) -> None:
        requested_at = self._clock.now()
        result = await _send_call(call, self._control_links[call.database])
        match result:
            case expression.Result(tag="ok", ok=status):
                self._prober.take(status, requested_at)
                self._handle_event(steps.Answered(call, status))
            case expression.Result(tag="error", error=errors.GroupRefused()):
                self._handle_event(steps.Refused(call))
            case _:
                self._handle_event(steps.Lost(call))

    async def _tick_periodically(self) -> None:
        while True:
            await self._clock.sleep(_TICK_PERIOD)
            if self._failover.hurried(self._clock.now()):
                self._prober.hurry()
                self._handle_event(steps.RankChanged(self._compute_rank()))
            self._handle_event(steps.Tick())

    def _compute_rank(self) -> int:
        return rendezvous.rank(
            self._group.name, self._time_line.process, self._live_peers()
        )


@functools.singledispatch
def _apply_effect(effect: steps.Effect, runner: Runner) -> None:
    raise TypeError(f"no handler for {effect!r}; register one")


@_apply_effect.register
def _(effect: steps.Call, runner: Runner) -> None:
    runner.call(effect)


@_apply_effect.register
def _(effect: steps.Record, runner: Runner) -> None:
    runner.record(effect.event)


@functools.singledispatch
async def _send_call(
    call: steps.Call, link: control_link.ControlLink
) -> control.StatusResult:
    raise TypeError(f"no handler for {call!r}; register one")


@_send_call.register
async def _(
    call: steps.Fence, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.fence(call.term)


@_send_call.register
async def _(
    call: steps.Promote, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.promote(call.term)


@_send_call.register
async def _(
    call: steps.Follow, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.follow(call.term, call.primary)
