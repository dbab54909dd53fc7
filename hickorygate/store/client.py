"""A client for the sheet and the list of instances in the object API."""

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
from hickorygate.store import list_watch
from hickorygate.store import objects

__all__ = ["Client", "VALUE_LIMIT"]

VALUE_LIMIT = 1_048_576
"""Maximum size of a value that the store accepts, in bytes."""

_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=100)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
_MAX_ATTEMPTS = 3
"""Number of times that a change with a lost answer is sent."""

ValueT = TypeVar("ValueT", bound=pydantic.BaseModel)
SheetResult = expression.Result[
    objects.StoredSheet | objects.Unchanged, errors.Failure
]
InstancesResult = expression.Result[
    objects.StoredValue[objects.InstanceList] | objects.Unchanged,
    errors.Failure,
]
VersionResult = expression.Result[types.SheetVersion, errors.Failure]


class Client:
    """Reads, watches and conditionally changes objects."""

    __slots__ = ("_api", "_clock", "_generator", "_last_list")

    def __init__(
        self,
        api: apis.Api,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        """Creates the client; makes no call.

        Args:
          api: object API that the calls are made to.
          clock: source of delays between attempts.
          generator: source of jitter.
        """
        self._api = api
        self._clock = clock
        self._generator = generator
        self._last_list: objects.InstanceList | None = None

    def __repr__(self) -> str:
        return f"Client({self._api!r})"

    async def close(self) -> None:
        """Closes idle connections."""
        await self._api.close()

    async def read(
        self, key: objects.Key, model: type[ValueT]
    ) -> expression.Result[objects.StoredValue[ValueT] | None, errors.Failure]:
        """Returns the object of a key; None if the store has none.

        Args:
          key: the key.
          model: model to validate the object against.
        """
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
        """Stores a value if the stored version is the expected one.

        If the answer to a change is lost, the object is read back to find out
        whether the change took effect. If it didn't, the change is sent again
        under the same condition.

        Args:
          key: key of the object.
          value: new content of the object.
          expected: version to replace; 0 if there must be no object yet.

        Returns:
          The new version, or why the change failed or is in doubt.
        """
        size = len(value.model_dump_json().encode())
        if size > VALUE_LIMIT:
            return expression.Error(
                failures.ValueTooLarge(key.text, size, VALUE_LIMIT)
            )
        lost: VersionResult | None = None
        delays = backoff.Backoff(
            _FIRST_RETRY_DELAY, _MAX_RETRY_DELAY, self._generator
        )
        for _ in range(_MAX_ATTEMPTS):
            result = await self._put(key, value, expected)
            if result.is_ok() or (lost is None and _is_final(result)):
                return result
            if lost is not None or _is_in_doubt(result):
                lost = lost or result
                settled = await self._read_back(key, value, expected, lost)
                if not _is_in_doubt(settled):
                    return settled
            await self._clock.sleep(delays.record_failure())
        return lost or result

    async def sheet(
        self,
    ) -> expression.Result[objects.StoredSheet | None, errors.Failure]:
        """Returns the stored sheet; None if the store has none."""
        return await self.read(objects.SHEET_KEY, objects.SheetObject)

    async def newer_sheet(
        self,
        after: types.SheetVersion,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> SheetResult:
        """Returns a sheet that is newer than a version.

        Args:
          after: version that the sheet must exceed.
          wait: maximum time to wait for a newer sheet; zero to read only.
        """
        key = objects.SHEET_KEY
        listed = await self._api.list(key.kind)
        if listed.is_error():
            return expression.Error(listed.error)
        found = _latest(key, listed.ok.objects)
        if wait and (found is None or found.revision <= after):
            batch = await self._api.watch(key.kind, listed.ok.revision, wait)
            if batch.is_error():
                return _watch_failure(batch.error, found)
            found = _latest(key, _existing(batch.ok)) or found
        if found is None or found.revision <= after:
            return _unchanged(found)
        return _stored(key, objects.SheetObject, found)

    async def newer_instances(
        self,
        after: int,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> InstancesResult:
        """Returns a list of instances that is newer than a version.

        Args:
          after: version that the list must exceed.
          wait: maximum time to wait for a changed list; zero to read only.
        """
        listed = await self._api.list_instances()
        if listed.is_error():
            return expression.Error(listed.error)
        if wait and listed.ok.listed == self._last_list:
            watched = await self._api.watch_instances(listed.ok.revision, wait)
            if watched.is_ok() and watched.ok.changes:
                listed = await self._api.list_instances()
            if listed.is_error():
                return expression.Error(listed.error)
        return expression.Ok(self._newer_list(listed.ok, after))

    async def store_sheet(
        self, sheet: objects.SheetObject, expected: types.SheetVersion
    ) -> VersionResult:
        """Stores a sheet if the stored version is the expected one.

        If the stored sheet already has the same text, the call succeeds, so
        that a load can be repeated after a lost answer.

        Args:
          sheet: the sheet.
          expected: version to replace; 0 if there must be no sheet yet.

        Returns:
          The version of the stored sheet, or why the change failed or is in
          doubt.
        """
        result = await self.store(objects.SHEET_KEY, sheet, expected)
        match result:
            case expression.Result(
                tag="error", error=failures.ObjectConflict(found=found)
            ):
                return await self._resolve_conflict(sheet, expected, found)
        return result

    async def _resolve_conflict(
        self,
        sheet: objects.SheetObject,
        expected: types.SheetVersion,
        found: types.SheetVersion,
    ) -> VersionResult:
        """Distinguishes a conflict from a repeated load of the same text."""
        stored = await self.sheet()
        if stored.is_ok() and stored.ok and stored.ok.value.text == sheet.text:
            return expression.Ok(stored.ok.version)
        return expression.Error(errors.SheetConflict(expected, found))

    def _newer_list(
        self, listed: objects.ListedInstances, after: int
    ) -> objects.StoredValue[objects.InstanceList] | objects.Unchanged:
        """Returns a list of instances and stores it as the last, if newer."""
        if listed.listed == self._last_list or listed.revision <= after:
            return objects.Unchanged(after)
        self._last_list = listed.listed
        return objects.StoredValue(listed.revision, listed.listed)

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

    async def _read_back(
        self,
        key: objects.Key,
        value: pydantic.BaseModel,
        expected: types.SheetVersion,
        lost: VersionResult,
    ) -> VersionResult:
        """Reads back an object to find out whether a change took effect.

        Args:
          key: key of the object.
          value: value that the change was to store.
          expected: version that the change was to replace.
          lost: result of the change whose answer was lost.

        Returns:
          The version if the value is stored, `ObjectSuperseded` if another
          value has replaced the expected version, and `lost` otherwise.
        """
        found = await self.read(key, type(value))
        if found.is_error():
            return lost
        version = found.ok.version if found.ok else 0
        if found.ok and found.ok.value == value:
            return expression.Ok(version)
        if version > expected:
            return expression.Error(
                failures.ObjectSuperseded(key.text, expected, version)
            )
        return lost


def _is_in_doubt(result: VersionResult) -> bool:
    match result:
        case expression.Result(
            tag="error", error=errors.StoreUnavailable(sent=True)
        ):
            return True
    return False


def _is_final(result: VersionResult) -> bool:
    """Returns whether another attempt would have the same result."""
    match result:
        case expression.Result(tag="error", error=errors.StoreUnavailable()):
            return False
    return True


def _latest(
    key: objects.Key, found: Iterable[list_watch.StoredObject]
) -> list_watch.StoredObject | None:
    """Returns the last object with the name of a key; None without one."""
    matching = [stored for stored in found if stored.name == key.name]
    return matching[-1] if matching else None


def _existing(batch: list_watch.ChangeBatch) -> list[list_watch.StoredObject]:
    return [change.stored for change in batch.changes if not change.deleted]


def _unchanged(
    found: list_watch.StoredObject | None,
) -> expression.Result[objects.Unchanged, errors.Failure]:
    return expression.Ok(objects.Unchanged(found.revision if found else 0))


def _watch_failure(
    failure: errors.Failure, found: list_watch.StoredObject | None
) -> expression.Result[objects.Unchanged, errors.Failure]:
    """Handles a failed watch.

    If the store no longer has the history of changes, the object counts as
    unchanged, and the next call lists the objects again.
    """
    match failure:
        case list_watch.HistoryLost():
            return _unchanged(found)
    return expression.Error(failure)


def _stored(
    key: objects.Key, model: type[ValueT], found: list_watch.StoredObject
) -> expression.Result[objects.StoredValue[ValueT], errors.Failure]:
    try:
        value = model.model_validate(found.value)
    except pydantic.ValidationError as error:
        reason = error.errors(include_url=False)[0]["msg"]
        return expression.Error(failures.ObjectMalformed(key.text, reason))
    return expression.Ok(objects.StoredValue(found.revision, value))
