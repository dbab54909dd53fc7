"""A client for the platform's object API and its list of instances."""

from __future__ import annotations

import datetime
import random
from typing import TypeVar

import expression
import pydantic

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.store import backoff
from hickorygate.store import failures
from hickorygate.store import objects
from hickorygate.store import transport

__all__ = ["Client", "VALUE_LIMIT"]

VALUE_LIMIT = 1_048_576
"""Bytes of the longest value that the store takes."""

_INSTANCES_PATH = "/v1/instances"
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

    __slots__ = ("_backoff", "_clock", "_settings", "_transport")

    def __init__(
        self,
        settings: settings_lib.PlatformSettings,
        clock: clocks.Clock,
        generator: random.Random,
        caller: transport.Caller | None = None,
    ) -> None:
        """Makes no call yet.

        Args:
          settings: of the platform.
          clock: for time-outs and the budget.
          generator: source of jitter.
          caller: makes the calls; over HTTP if None.
        """
        self._settings = settings
        self._clock = clock
        self._backoff = backoff.Backoff(_FIRST_WAIT, _LONGEST_WAIT, generator)
        self._transport = caller or transport.Transport(settings, clock)

    def __repr__(self) -> str:
        return f"Client({self._settings.url!r})"

    async def close(self) -> None:
        """Closes idle connections."""
        await self._transport.close()

    async def read(
        self, key: objects.Key, model: type[ValueT]
    ) -> expression.Result[objects.Stored[ValueT] | None, errors.Failure]:
        """Returns an object; None if the store has none of that key."""
        answered = await self._transport.make(transport.Call(key.path))
        if answered.is_error():
            return answered
        if not answered.ok.found:
            return expression.Ok(None)
        return _stored(key.path, model, answered.ok)

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
        body = value.model_dump_json().encode()
        if len(body) > VALUE_LIMIT:
            return expression.Error(
                failures.ValueTooLarge(key.path, len(body), VALUE_LIMIT)
            )
        call = transport.Call(key.path, body=body, expected=expected)
        lost: VersionResult | None = None
        for _ in range(_TRIES):
            result = await self._put(call)
            if result.is_ok() or (lost is None and not _unsettled(result)):
                return result
            lost = lost or result
            settled = await self._settle(key, value, expected, lost)
            if not _unsettled(settled):
                return settled
            await self._clock.sleep(self._backoff.fail())
        return lost

    async def sheet(
        self,
    ) -> expression.Result[objects.StoredSheet | None, errors.Failure]:
        """Returns the stored sheet; None if none was ever stored."""
        return await self.read(objects.SHEET_KEY, objects.SheetObject)

    async def newer(
        self,
        path: str,
        model: type[ValueT],
        after: int,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> expression.Result[
        objects.Stored[ValueT] | objects.Unchanged, errors.Failure
    ]:
        """Returns an object newer than a version, waiting for one if asked."""
        query = {"after": str(after)}
        if wait:
            query["wait"] = str(wait.total_seconds())
        call = transport.Call(path, query, wait=wait)
        answered = await self._transport.make(call)
        if answered.is_error():
            return answered
        if not answered.ok.found:
            return expression.Ok(objects.Unchanged(answered.ok.version))
        return _stored(path, model, answered.ok)

    async def newer_sheet(
        self,
        after: types.SheetVersion,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> SheetResult:
        """Returns a sheet newer than a version, waiting for one if asked."""
        path = objects.SHEET_KEY.path
        return await self.newer(path, objects.SheetObject, after, wait)

    async def newer_instances(
        self,
        after: int,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> InstancesResult:
        """Returns a list of instances newer than a version, as for a sheet."""
        model = objects.InstanceList
        return await self.newer(_INSTANCES_PATH, model, after, wait)

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

    async def _put(self, call: transport.Call) -> VersionResult:
        answered = await self._transport.make(call)
        if answered.is_error():
            return answered
        answer = answered.ok
        if answer.conflicts:
            return expression.Error(
                failures.ObjectConflict(
                    call.path, call.expected, answer.version
                )
            )
        if answer.version <= call.expected:
            reason = f"a change answered with version {answer.version}"
            return expression.Error(errors.StoreUnavailable(reason, True))
        return expression.Ok(answer.version)

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
                failures.ObjectOvertaken(key.path, expected, version)
            )
        return lost


def _unsettled(result: VersionResult) -> bool:
    match result:
        case expression.Result(
            tag="error", error=errors.StoreUnavailable(sent=True)
        ):
            return True
    return False


def _stored(
    path: str, model: type[ValueT], answer: transport.Answer
) -> expression.Result[objects.Stored[ValueT], errors.Failure]:
    try:
        return expression.Ok(
            objects.Stored[model].model_validate_json(answer.body)
        )
    except pydantic.ValidationError as error:
        return _malformed(path, error)


def _malformed(
    path: str, error: pydantic.ValidationError
) -> expression.Result[object, errors.Failure]:
    reason = error.errors(include_url=False)[0]["msg"]
    return expression.Error(failures.ObjectMalformed(path, reason))
