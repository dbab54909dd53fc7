"""Asks the store for newer sheets, as the plan says."""

from __future__ import annotations

import functools
from typing import Protocol

import expression
import logbook

from hickorygate.core import clock as clocks
from hickorygate.platform import client as clients
from hickorygate.platform import configuration as configurations
from hickorygate.platform import objects
from hickorygate.platform import watch

__all__ = ["SOURCE", "SheetHolder", "Watcher"]

SOURCE = "platform"
"""Named as the source of sheets that came from the store."""

_log = logbook.Logger(__name__)


class SheetHolder(Protocol):
    """Who keeps the sheet in force."""

    @property
    def role(self) -> watch.Role:
        """What the other proxies make of this one."""

    async def perform(self, effect: configurations.Effect) -> None:
        """Carries out a decision about the sheet."""


class Watcher:
    """Runs the plan's steps."""

    __slots__ = ("_client", "_clock", "_configuration", "_holder", "_plan")

    def __init__(
        self,
        client: clients.Client,
        plan: watch.WatchPlan,
        configuration: configurations.Configuration,
        holder: SheetHolder,
        clock: clocks.Clock,
    ) -> None:
        self._client = client
        self._plan = plan
        self._configuration = configuration
        self._holder = holder
        self._clock = clock

    def __repr__(self) -> str:
        return f"Watcher({self._client!r}, {self._plan!r})"

    async def run(self) -> None:
        """Takes steps until cancelled."""
        while True:
            step = self._plan.step(self._holder.role, self._clock.now())
            await _run(step, self)

    async def pause(self, step: watch.Pause) -> None:
        """Waits."""
        await self._clock.sleep(step.duration)

    async def take(self, result: clients.SheetResult) -> None:
        """Takes in an answer of the store."""
        match result:
            case expression.Result(tag="ok", ok=found):
                await self._offer(found)
                outcome = watch.Answered(found.version)
            case expression.Result(tag="error", error=failure):
                _log.warning(failure.message)
                outcome = watch.Failed(failure)
        for effect in self._plan.take(outcome, self._clock.now()):
            await self._holder.perform(effect)

    async def watch(self, step: watch.Watch) -> None:
        """Holds a watch until it answers or fails."""
        result = await self._client.newer_sheet(step.after, step.wait)
        await self.take(result)

    async def read(self, step: watch.Read) -> None:
        """Reads once."""
        await self.take(await self._client.newer_sheet(step.after))

    async def _offer(
        self, found: objects.StoredSheet | objects.Unchanged
    ) -> None:
        if isinstance(found, objects.Unchanged):
            return
        candidate = configurations.Candidate(
            found.version, found.value.text, SOURCE
        )
        for effect in self._configuration.offer(candidate):
            await self._holder.perform(effect)


@functools.singledispatch
async def _run(step: watch.Step, watcher: Watcher) -> None:
    raise TypeError(f"no way to run {step!r}; register one")


@_run.register
async def _(step: watch.Pause, watcher: Watcher) -> None:
    await watcher.pause(step)


@_run.register
async def _(step: watch.Watch, watcher: Watcher) -> None:
    await watcher.watch(step)


@_run.register
async def _(step: watch.Read, watcher: Watcher) -> None:
    await watcher.read(step)
