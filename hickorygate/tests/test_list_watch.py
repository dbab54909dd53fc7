"""Tests a watch whose answers may come from an outdated view of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime
import random

import expression

from hickorygate.core import errors
from hickorygate.platform import settings as settings_lib
from hickorygate.platform import store_watches
from hickorygate.store import list_watch
from hickorygate.testing import virtual_time

_WATCH = list_watch.WatchSettings(
    "servers", datetime.timedelta(seconds=4), may_be_outdated=True
)


def _stored(name: str, revision: int) -> list_watch.StoredObject:
    return list_watch.StoredObject(name, revision, f"{name}-{revision}")


class _Source:
    """A store that answers watches with prepared batches of changes."""

    def __init__(
        self,
        listed: Sequence[list_watch.StoredObject],
        *batches: Sequence[list_watch.Change],
    ) -> None:
        self._listed = listed
        self._batches = list(batches)

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        return expression.Ok(list_watch.Snapshot(self._listed, 10))

    async def watch(
        self, settings: list_watch.WatchSettings, revision: int
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        if not self._batches:
            await asyncio.sleep(settings.wait.total_seconds())
            return expression.Ok(list_watch.ChangeBatch([], revision))
        changes = self._batches.pop(0)
        newest = max(change.stored.revision for change in changes)
        return expression.Ok(
            list_watch.ChangeBatch(changes, max(newest, revision))
        )


class _Sink:
    """Keeps the values of the present objects."""

    def __init__(self) -> None:
        self.values: dict[str, object] = {}
        self.failures: list[errors.Failure] = []

    def replace(self, objects: Sequence[list_watch.StoredObject]) -> None:
        self.values = {stored.name: stored.value for stored in objects}

    def change(self, change: list_watch.Change) -> None:
        if change.deleted:
            self.values.pop(change.stored.name, None)
        else:
            self.values[change.stored.name] = change.stored.value

    def failed(self, failure: errors.Failure, took: datetime.timedelta) -> None:
        self.failures.append(failure)

    def lost(self, failure: errors.Failure) -> None:
        raise AssertionError(failure.message)

    def regained(self) -> None:
        raise AssertionError("no outage was reported")


class OutdatedViewTest(virtual_time.VirtualTimeTestCase):
    """The list is at revision 10; events may be older or newer."""

    async def follow(self, source: _Source) -> dict[str, object]:
        """Returns the objects that a feed has after two seconds."""
        sink = _Sink()
        feed = list_watch.ListWatch(
            _WATCH,
            source,
            sink,
            virtual_time.LoopClock(asyncio.get_running_loop()),
            random.Random(1),
        )
        running = asyncio.create_task(feed.run())
        await asyncio.sleep(2)
        running.cancel()
        return sink.values

    async def test_an_entry_that_was_removed_does_not_return(self) -> None:
        # The database left before the list was made; the view still has it.
        source = _Source(
            [_stored("a", 3)], [list_watch.Change(_stored("gone", 7), False)]
        )
        self.assertEqual(await self.follow(source), {"a": "a-3"})

    async def test_an_entry_does_not_go_back_to_a_former_state(self) -> None:
        newer = list_watch.Change(_stored("a", 12), False)
        older = list_watch.Change(_stored("a", 11), False)
        source = _Source([_stored("a", 9)], [newer], [older])
        self.assertEqual(await self.follow(source), {"a": "a-12"})

    async def test_newer_changes_are_applied(self) -> None:
        source = _Source(
            [_stored("a", 3), _stored("b", 4)],
            [
                list_watch.Change(_stored("c", 11), False),
                list_watch.Change(_stored("b", 12), True),
            ],
        )
        self.assertEqual(await self.follow(source), {"a": "a-3", "c": "c-11"})


_CALL_TIMEOUT = datetime.timedelta(seconds=1)
_LARGEST_FLEET = 750
_READS_PER_SECOND = 2_000 / 4
"""Quarter of the calls that the store answers; the rest is for other reads."""
_IN_FORCE_AFTER_CHANGE = 3.0
"""Seconds from the acknowledgement of a change until it must be in force."""
_IN_FORCE_AFTER_FAULT = 4.0
"""Seconds from the end of a fault until the bound holds again."""


def _process_settings() -> settings_lib.ProcessSettings:
    lines = (
        "node_name=a",
        "zone=z",
        "listen.front=127.0.0.1:1",
        "listen.ready=127.0.0.1:2",
        "platform.address=127.0.0.1:3",
        "cloud_api.address=127.0.0.1:4",
    )
    return settings_lib.parse("\n".join(lines), "boot.conf").ok


class _ForgetfulSource:
    """A store that loses the answer to the watch that a change ends.

    Attributes:
      changed_at: time of the change of the only object.
      calls: number of calls.
    """

    def __init__(self, changed_at: float) -> None:
        self.changed_at = changed_at
        self.calls = 0

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        self.calls += 1
        return expression.Ok(list_watch.Snapshot([_stored("main", 1)], 1))

    async def watch(
        self, settings: list_watch.WatchSettings, revision: int
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        self.calls += 1
        now = asyncio.get_running_loop().time()
        if now >= self.changed_at and revision == 1:
            change = list_watch.Change(_stored("main", 2), False)
            return expression.Ok(list_watch.ChangeBatch([change], 2))
        wait = settings.wait.total_seconds()
        if now < self.changed_at <= now + wait:
            await asyncio.sleep(wait + _CALL_TIMEOUT.total_seconds())
            return expression.Error(
                errors.StoreUnavailable("no answer", sent=True)
            )
        await asyncio.sleep(wait)
        return expression.Ok(list_watch.ChangeBatch([], revision))


class _CutSource:
    """A store that cuts all watches without a sign and forgets its history.

    Attributes:
      cut_at: time of the cut; watches sent before get no answer.
      changed_at: time of the change of the only object.
    """

    def __init__(self, cut_at: float, changed_at: float) -> None:
        self.cut_at = cut_at
        self.changed_at = changed_at

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        await asyncio.sleep(0.01)
        revision = self._revision()
        return expression.Ok(
            list_watch.Snapshot([_stored("main", revision)], revision)
        )

    async def watch(
        self, settings: list_watch.WatchSettings, revision: int
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        now = asyncio.get_running_loop().time()
        end = now + settings.wait.total_seconds()
        if now >= self.cut_at and revision < self._revision():
            await asyncio.sleep(0.01)
            return expression.Error(list_watch.HistoryLost(revision))
        if now < self.cut_at <= end:
            await asyncio.sleep((settings.wait + _CALL_TIMEOUT).total_seconds())
            return expression.Error(
                errors.StoreUnavailable("no answer", sent=True)
            )
        if now < self.changed_at <= end:
            await asyncio.sleep(self.changed_at - now)
            change = list_watch.Change(_stored("main", 2), False)
            return expression.Ok(list_watch.ChangeBatch([change], 2))
        await asyncio.sleep(settings.wait.total_seconds())
        return expression.Ok(list_watch.ChangeBatch([], revision))

    def _revision(self) -> int:
        now = asyncio.get_running_loop().time()
        return 2 if now >= self.changed_at else 1


class LostAnswerTest(virtual_time.VirtualTimeTestCase):
    """The watch of the configuration; the answer with the change gets lost."""

    async def follow(
        self, source: _ForgetfulSource, seconds: float
    ) -> dict[str, object]:
        sink = _Sink()
        sink.lost = lambda failure: None  # type: ignore[method-assign]
        sink.regained = lambda: None  # type: ignore[method-assign]
        feed = list_watch.ListWatch(
            store_watches.configuration_watch(_process_settings()),
            source,
            sink,
            virtual_time.LoopClock(asyncio.get_running_loop()),
            random.Random(1),
        )
        running = asyncio.create_task(feed.run())
        await asyncio.sleep(seconds)
        running.cancel()
        return sink.values

    async def test_a_change_is_in_force_in_time(self) -> None:
        for changed_at in (0.001, 0.5, 1.751, 3.9, 5.0, 20.0):
            with self.subTest(changed_at=changed_at):
                loop = asyncio.get_running_loop()
                source = _ForgetfulSource(loop.time() + changed_at)
                values = await self.follow(
                    source, changed_at + _IN_FORCE_AFTER_CHANGE
                )
                self.assertEqual(values, {"main": "main-2"})

    async def test_the_largest_fleet_keeps_below_the_rate_of_the_store(
        self,
    ) -> None:
        source = _ForgetfulSource(changed_at=1e9)
        await self.follow(source, 60)
        self.assertLess(source.calls / 60 * _LARGEST_FLEET, _READS_PER_SECOND)


class CutWatchTest(virtual_time.VirtualTimeTestCase):
    """The watch of the configuration, with the settings of the process."""

    # Guards against a confirmed configuration that is not in force in time
    # because the watch was cut without a sign and the history was dropped.
    async def test_a_change_is_in_force_in_time_after_a_silent_cut(
        self,
    ) -> None:
        for cut_after in (0.3, 1.9, 3.95, 7.0, 23.9):
            for changed_after in (0.05, 0.9, 1.5):
                with self.subTest(cut=cut_after, changed=changed_after):
                    await self._check(cut_after, changed_after)

    async def _check(self, cut_after: float, changed_after: float) -> None:
        loop = asyncio.get_running_loop()
        cut_at = loop.time() + cut_after
        source = _CutSource(cut_at, cut_at + changed_after)
        sink = _Sink()
        sink.lost = lambda failure: None  # type: ignore[method-assign]
        sink.regained = lambda: None  # type: ignore[method-assign]
        feed = list_watch.ListWatch(
            store_watches.configuration_watch(_process_settings()),
            source,
            sink,
            virtual_time.LoopClock(loop),
            random.Random(1),
        )
        running = asyncio.create_task(feed.run())
        due = max(
            source.changed_at + _IN_FORCE_AFTER_CHANGE,
            cut_at + _IN_FORCE_AFTER_FAULT,
        )
        await asyncio.sleep(due - loop.time())
        running.cancel()
        self.assertEqual(sink.values, {"main": "main-2"})
