"""Tests how often a proxy calls the store, on virtual time.

The pattern: many proxies follow the same objects, so each call that one proxy
makes is made by all of them. Objects that change all the time, and proxies
that count each other, must not cost calls in proportion.
"""

from __future__ import annotations

import asyncio
import datetime
import random
import unittest

import expression

from hickorygate.core import errors
from hickorygate.store import list_watch
from hickorygate.store import registration
from hickorygate.testing import virtual_time

_RUN_SECONDS = 60
_MAX_CALLS_PER_SECOND = 2.0
_MAX_RENEWALS_PER_SECOND = 0.1
_WATCH = list_watch.WatchSettings("servers", datetime.timedelta(seconds=8))


class _ChangingSource:
    """A store whose objects change every few milliseconds."""

    def __init__(self) -> None:
        self.calls = 0

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        """Returns an empty list."""
        self.calls += 1
        return expression.Ok(list_watch.Snapshot([], 1))

    async def watch(
        self, settings: list_watch.WatchSettings, revision: int
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns a change at once."""
        self.calls += 1
        stored = list_watch.StoredObject("i-1", revision + 1, self.calls)
        change = list_watch.Change(stored, False)
        return expression.Ok(list_watch.ChangeBatch([change], revision + 1))


class _Sink:
    """Keeps the newest value."""

    def __init__(self) -> None:
        self.newest: object = None

    def replace(self, objects: object) -> None:
        """Ignores the list."""

    def change(self, change: list_watch.Change) -> None:
        """Keeps the value of the change."""
        self.newest = change.stored.value

    def failed(self, failure: errors.Failure, took: datetime.timedelta) -> None:
        """Ignores a failed call."""

    def lost(self, failure: errors.Failure) -> None:
        """Ignores an outage."""

    def regained(self) -> None:
        """Ignores the end of an outage."""


class _Registry:
    """Counts the calls for the registration of proxies."""

    def __init__(self) -> None:
        self.renewals = 0
        self.exact_counts = 0
        self.cheap_counts = 0

    async def announce(
        self,
        name: str,
        beat: int,
        exists: bool,
        description: registration.ProxyDescription,
    ) -> expression.Result[None, errors.Failure]:
        """Counts a renewal."""
        self.renewals += 1
        return expression.Ok(None)

    async def withdraw(
        self, name: str
    ) -> expression.Result[None, errors.Failure]:
        """Accepts the removal of a proxy."""
        return expression.Ok(None)

    async def proxies(
        self, may_be_outdated: bool
    ) -> expression.Result[
        dict[str, registration.RegisteredProxy], errors.Failure
    ]:
        """Returns this proxy and another one."""
        self.cheap_counts += may_be_outdated
        self.exact_counts += not may_be_outdated
        proxy = registration.RegisteredProxy(revision=self.renewals)
        return expression.Ok({"one": proxy, "two": proxy})


async def _follow_changes(source: _ChangingSource, sink: _Sink) -> None:
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    feed = list_watch.ListWatch(_WATCH, source, sink, clock, random.Random(1))
    await _run_for_a_minute(feed.run())


async def _keep_registered(registry: _Registry) -> None:
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    proxy = registration.ProxyRegistration(
        "one", registry, clock, random.Random(1), lambda live: None
    )
    await _run_for_a_minute(proxy.run())


async def _keep_requesting(registry: _Registry) -> None:
    """Requests a count every 100 ms, as if a link were refused each time."""
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    proxy = registration.ProxyRegistration(
        "one", registry, clock, random.Random(1), lambda live: None
    )
    async with asyncio.TaskGroup() as tasks:
        running = tasks.create_task(proxy.run())
        for _ in range(int(_RUN_SECONDS / 0.1)):
            await asyncio.sleep(0.1)
            proxy.request_count()
        running.cancel()


async def _run_for_a_minute(work: object) -> None:
    try:
        async with asyncio.timeout(_RUN_SECONDS):
            await work
    except TimeoutError:
        return


class ControlLoadTest(unittest.TestCase):
    """Calls a second of one proxy."""

    def test_objects_that_keep_changing_are_fetched_in_larger_batches(
        self,
    ) -> None:
        source, sink = _ChangingSource(), _Sink()
        virtual_time.run(_follow_changes(source, sink))
        self.assertEqual(sink.newest, source.calls)
        self.assertLess(source.calls / _RUN_SECONDS, _MAX_CALLS_PER_SECOND)

    def test_proxies_are_counted_by_cheap_calls(self) -> None:
        registry = _Registry()
        virtual_time.run(_keep_registered(registry))
        self.assertEqual(registry.exact_counts, 1)
        self.assertGreaterEqual(registry.cheap_counts, 5)
        rate = registry.renewals / _RUN_SECONDS
        self.assertLess(rate, _MAX_RENEWALS_PER_SECOND)

    def test_refused_links_cause_few_counts(self) -> None:
        registry = _Registry()
        virtual_time.run(_keep_requesting(registry))
        self.assertGreater(registry.cheap_counts, _RUN_SECONDS / 4)
        # One each 2 s, besides the regular ones, which are 6.4 s apart at
        # least.
        allowed = _RUN_SECONDS / 2 + _RUN_SECONDS / 6.4
        self.assertLessEqual(registry.cheap_counts, allowed)
        rate = registry.renewals / _RUN_SECONDS
        self.assertLess(rate, _MAX_RENEWALS_PER_SECOND)
