"""Reads, changes and follows the sheet and the list of instances."""

from __future__ import annotations

from collections.abc import Iterable
import datetime
import random
from typing import TypeVar

import expression
import pydantic

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.store import api as apis
from hickorygate.store import backoff
from hickorygate.store import failures
from hickorygate.store import feed as feeds
from hickorygate.store import objects

__all__ = ["Client", "VALUE_LIMIT"]

VALUE_LIMIT = 1_048_576
"""Bytes of the longest value that the store takes."""

_FIRST_WAIT = datetime.timedelta(milliseconds=100)
_LONGEST_WAIT = datetime.timedelta(seconds=1)
_TRIES = 3
"""How often a change with a lost answer is sent before giving up."""

ValueT = TypeVar("ValueT", bound=pydantic.BaseModel)
SheetResult = expression.Result[
    objects.StoredSheet | objects.Unchanged, errors.Failure
]
InstancesResult = expression.Result[
    objects.Stored[objects.InstanceList] | objects.Unchanged, errors.Failure
]
VersionResult = expression.Result[types.SheetVersion, errors.Failure]


class Client:
    """Reads, conditionally changes and watches objects."""

    __slots__ = ("_api", "_backoff", "_clock", "_instances")

    def __init__(
        self,
        api: apis.Api,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        """Makes no call yet.

        Args:
          api: makes the calls.
          clock: for pauses between attempts.
          generator: source of jitter.
        """
        self._api = api
        self._clock = clock
        self._backoff = backoff.Backoff(_FIRST_WAIT, _LONGEST_WAIT, generator)
        self._instances: objects.InstanceList | None = None

    def __repr__(self) -> str:
        return f"Client({self._api!r})"

    async def close(self) -> None:
        """Closes idle connections."""
        await self._api.close()

    async def read(
        self, key: objects.Key, model: type[ValueT]
    ) -> expression.Result[objects.Stored[ValueT] | None, errors.Failure]:
        """Returns an object; None if the store has none of that key."""
        found = await self._api.read(key)
        if found.is_error() or found.ok is None:
            return found
        return _stored(key, model, found.ok)

    async def store(
        self,
        key: objects.Key,
        value: pydantic.BaseModel,
        expected: types.SheetVersion,
    ) -> VersionResult:
        """Stores a value if the stored version is still the expected one.

        Expect 0 for a key without an object. A change whose answer is lost
        is settled by reading back, and sent again under the same condition
        if it had no effect.
        """
        size = len(value.model_dump_json().encode())
        if size > VALUE_LIMIT:
            return expression.Error(
                failures.ValueTooLarge(key.text, size, VALUE_LIMIT)
            )
        lost: VersionResult | None = None
        for _ in range(_TRIES):
            result = await self._put(key, value, expected)
            if result.is_ok() or (lost is None and _is_final(result)):
                return result
            if lost is not None or _unsettled(result):
                lost = lost or result
                settled = await self._settle(key, value, expected, lost)
                if not _unsettled(settled):
                    return settled
            await self._clock.sleep(self._backoff.fail())
        return lost or result

    async def sheet(
        self,
    ) -> expression.Result[objects.StoredSheet | None, errors.Failure]:
        """Returns the stored sheet; None if none was ever stored."""
        return await self.read(objects.SHEET_KEY, objects.SheetObject)

    async def newer_sheet(
        self,
        after: types.SheetVersion,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> SheetResult:
        """Returns a sheet newer than a version, waiting for one if asked."""
        key = objects.SHEET_KEY
        listed = await self._api.list(key.kind)
        if listed.is_error():
            return expression.Error(listed.error)
        found = _named(key, listed.ok.objects)
        if wait and (found is None or found.revision <= after):
            news = await self._api.watch(key.kind, listed.ok.revision, wait)
            if news.is_error():
                return _unless_lost(news.error, found)
            found = _named(key, _kept(news.ok)) or found
        if found is None or found.revision <= after:
            return _unchanged(found)
        return _stored(key, objects.SheetObject, found)

    async def newer_instances(
        self,
        after: int,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> InstancesResult:
        """Returns a list of instances newer than a version, as for a sheet."""
        listed = await self._api.list_instances()
        if listed.is_error():
            return expression.Error(listed.error)
        if wait and listed.ok.listed == self._instances:
            watched = await self._api.watch_instances(listed.ok.revision, wait)
            if watched.is_ok() and watched.ok.changes:
                listed = await self._api.list_instances()
            if listed.is_error():
                return expression.Error(listed.error)
        return expression.Ok(self._note_instances(listed.ok, after))

    async def store_sheet(
        self, sheet: objects.SheetObject, expected: types.SheetVersion
    ) -> VersionResult:
        """Stores a sheet if the stored version is still the expected one.

        A sheet whose text is the stored one counts as stored, so a load may
        be repeated after a lost answer.
        """
        result = await self.store(objects.SHEET_KEY, sheet, expected)
        match result:
            case expression.Result(
                tag="error", error=failures.ObjectConflict(found=found)
            ):
                return await self._compare(sheet, expected, found)
        return result

    async def _compare(
        self,
        sheet: objects.SheetObject,
        expected: types.SheetVersion,
        found: types.SheetVersion,
    ) -> VersionResult:
        """Tells a conflict from a repeated load of the stored text."""
        stored = await self.sheet()
        if stored.is_ok() and stored.ok and stored.ok.value.text == sheet.text:
            return expression.Ok(stored.ok.version)
        return expression.Error(errors.SheetConflict(expected, found))

    def _note_instances(
        self, listed: objects.ListedInstances, after: int
    ) -> objects.Stored[objects.InstanceList] | objects.Unchanged:
        """Tells whether a list brings anything new."""
        if listed.listed == self._instances or listed.revision <= after:
            return objects.Unchanged(after)
        self._instances = listed.listed
        return objects.Stored(listed.revision, listed.listed)

    async def _put(
        self,
        key: objects.Key,
        value: pydantic.BaseModel,
        expected: types.SheetVersion,
    ) -> VersionResult:
        content = value.model_dump(mode="json")
        stored = await self._api.store(key, content, expected)
        if stored.is_ok() and stored.ok.revision < expected:
            reason = f"a change answered with version {stored.ok.revision}"
            return expression.Error(errors.StoreUnavailable(reason, True))
        return stored.map(lambda found: found.revision)

    async def _settle(
        self,
        key: objects.Key,
        value: pydantic.BaseModel,
        expected: types.SheetVersion,
        lost: VersionResult,
    ) -> VersionResult:
        """Finds out what became of a change whose answer was lost."""
        found = await self.read(key, type(value))
        if found.is_error():
            return lost
        version = found.ok.version if found.ok else 0
        if found.ok and found.ok.value == value:
            return expression.Ok(version)
        if version > expected:
            return expression.Error(
                failures.ObjectOvertaken(key.text, expected, version)
            )
        return lost


def _unsettled(result: VersionResult) -> bool:
    match result:
        case expression.Result(
            tag="error", error=errors.StoreUnavailable(sent=True)
        ):
            return True
    return False


def _is_final(result: VersionResult) -> bool:
    """Whether another attempt would end the same way."""
    match result:
        case expression.Result(tag="error", error=errors.StoreUnavailable()):
            return False
    return True


def _named(
    key: objects.Key, found: Iterable[feeds.StoredObject]
) -> feeds.StoredObject | None:
    """Returns the last object of a key."""
    matching = [stored for stored in found if stored.name == key.name]
    return matching[-1] if matching else None


def _kept(news: feeds.News) -> list[feeds.StoredObject]:
    return [change.stored for change in news.changes if not change.gone]


def _unchanged(
    found: feeds.StoredObject | None,
) -> expression.Result[objects.Unchanged, errors.Failure]:
    return expression.Ok(objects.Unchanged(found.revision if found else 0))


def _unless_lost(
    failure: errors.Failure, found: feeds.StoredObject | None
) -> expression.Result[objects.Unchanged, errors.Failure]:
    """Lists again at the next call if the history of changes is gone."""
    match failure:
        case feeds.HistoryLost():
            return _unchanged(found)
    return expression.Error(failure)


def _stored(
    key: objects.Key, model: type[ValueT], found: feeds.StoredObject
) -> expression.Result[objects.Stored[ValueT], errors.Failure]:
    try:
        value = model.model_validate(found.value)
    except pydantic.ValidationError as error:
        reason = error.errors(include_url=False)[0]["msg"]
        return expression.Error(failures.ObjectMalformed(key.text, reason))
    return expression.Ok(objects.Stored(found.revision, value))
