"""Carries out what the failover decision asks for, and tells it the answers."""

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
"""Returns the other live proxies."""

_PERIOD = datetime.timedelta(milliseconds=20)


class Runner:
    """Watches one group and replaces its primary."""

    __slots__ = (
        "_background",
        "_clock",
        "_controls",
        "_failover",
        "_group",
        "_live",
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
        self._group = group
        self._live = live
        self._failover = failover.Failover(group, timing, generator)
        self._controls = controls
        self._prober = prober
        self._clock = clock
        self._time_line = time_line
        self._background = background.Background()

    @property
    def holds_writes(self) -> bool:
        """Whether new writes must wait for a change of primary."""
        return self._failover.holds_writes

    def __repr__(self) -> str:
        return f"Runner({self._failover!r})"

    def start(self) -> None:
        """Begins to watch."""
        self._background.start(self._watch())

    async def close(self) -> None:
        """Stops; a run that is under way is left to another proxy."""
        await self._background.close()

    def status_seen(self, status: positions.DatabaseStatus) -> None:
        """Takes in an answered probe."""
        self._take(steps.StatusSeen(status))

    def probe_lost(self, name: types.DatabaseName) -> None:
        """Takes in a probe that wasn't answered."""
        self._take(steps.ProbeLost(name))

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Takes in the databases that are about to stop."""
        self._take(steps.LeavingChanged(names))

    def record(self, event: events.Event) -> None:
        """Puts an event on the time line."""
        self._time_line.record(event)

    def call(self, call: steps.Call) -> None:
        """Starts a call to a database."""
        self._background.start(self._call(call))

    def _take(self, event: steps.Event) -> None:
        now = self._clock.now()
        for effect in failover.handle(event, self._failover, now):
            _perform(effect, self)

    async def _call(self, call: steps.Call) -> None:
        asked = self._clock.now()
        result = await _send(call, self._controls[call.database])
        match result:
            case expression.Result(tag="ok", ok=status):
                self._prober.take(status, asked)
                self._take(steps.Answered(call, status))
            case expression.Result(tag="error", error=errors.GroupRefused()):
                self._take(steps.Refused(call))
            case _:
                self._take(steps.Lost(call))

    async def _watch(self) -> None:
        while True:
            await self._clock.sleep(_PERIOD)
            if self._failover.hurried(self._clock.now()):
                self._prober.hurry()
                self._take(steps.RankChanged(self._rank()))
            self._take(steps.Tick())

    def _rank(self) -> int:
        return rendezvous.rank(
            self._group.name, self._time_line.process, self._live()
        )


@functools.singledispatch
def _perform(effect: steps.Effect, runner: Runner) -> None:
    raise TypeError(f"no way to perform {effect!r}; register one")


@_perform.register
def _(effect: steps.Call, runner: Runner) -> None:
    runner.call(effect)


@_perform.register
def _(effect: steps.Record, runner: Runner) -> None:
    runner.record(effect.event)


@functools.singledispatch
async def _send(
    call: steps.Call, link: control_link.ControlLink
) -> control.StatusResult:
    raise TypeError(f"no way to send {call!r}; register one")


@_send.register
async def _(
    call: steps.Fence, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.fence(call.term)


@_send.register
async def _(
    call: steps.Promote, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.promote(call.term)


@_send.register
async def _(
    call: steps.Follow, link: control_link.ControlLink
) -> control.StatusResult:
    return await link.follow(call.term, call.primary)
