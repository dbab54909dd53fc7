"""A client for the platform's object API, over aiohttp."""

from __future__ import annotations

import asyncio
import datetime

import aiohttp
import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import types
from hickorygate.platform import objects

__all__ = ["Client"]

_SHEET_PATH = "/v1/objects/sheets/current"
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412

StoredResult = expression.Result[objects.Stored | None, errors.Failure]


class Client:
    """Reads, conditionally changes and watches objects."""

    __slots__ = ("_http", "_settings")

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        self._settings = settings
        self._http: aiohttp.ClientSession | None = None

    def __repr__(self) -> str:
        return f"Client({self._settings.url!r})"

    async def close(self) -> None:
        """Closes idle connections."""
        if self._http is not None:
            await self._http.close()

    async def sheet(self) -> StoredResult:
        """Returns the stored sheet; None if none was ever stored."""
        return await self._read({}, self._settings.timeout)

    async def watch_sheet(
        self, after: types.SheetVersion, wait: datetime.timedelta
    ) -> StoredResult:
        """Waits for a sheet newer than a version; None if none came."""
        query = {"after": str(after), "wait": str(wait.total_seconds())}
        return await self._read(query, wait + self._settings.timeout)

    async def store_sheet(
        self, sheet: objects.SheetObject, expected: types.SheetVersion
    ) -> expression.Result[types.SheetVersion, errors.Failure]:
        """Stores a sheet if the stored version is still the expected one.

        A lost answer is settled by reading back: the sheet is ours if the
        stored value is.
        """
        result = await self._store(sheet, expected)
        match result:
            case expression.Result(
                tag="error", error=errors.StoreUnavailable(sent=True)
            ):
                return await self._settle(sheet, expected, result)
        return result

    async def _settle(
        self,
        sheet: objects.SheetObject,
        expected: types.SheetVersion,
        lost: expression.Result[types.SheetVersion, errors.Failure],
    ) -> expression.Result[types.SheetVersion, errors.Failure]:
        found = await self.sheet()
        if found.is_error():
            return lost
        version = found.ok.version if found.ok else 0
        if found.ok and found.ok.value == sheet:
            return expression.Ok(version)
        if version != expected:
            return expression.Error(errors.SheetConflict(expected, version))
        return lost

    async def _store(
        self, sheet: objects.SheetObject, expected: types.SheetVersion
    ) -> expression.Result[types.SheetVersion, errors.Failure]:
        headers = {"If-Match": f'"{expected}"'}
        timeout = self._settings.timeout
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                async with self._session().put(
                    self._settings.url + _SHEET_PATH,
                    json=sheet.model_dump(mode="json"),
                    headers=headers,
                ) as response:
                    if response.status == _PRECONDITION_FAILED:
                        tag = response.headers["ETag"]
                        found = int(tag.strip('"'))
                        return expression.Error(
                            errors.SheetConflict(expected, found)
                        )
                    if response.status != _OK:
                        return expression.Error(_refused(response))
                    body = await response.read()
                    stored = objects.Stored.model_validate_json(body)
                    return expression.Ok(stored.version)
        except aiohttp.ClientConnectorError as error:
            return expression.Error(errors.StoreUnavailable(str(error), False))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return expression.Error(_lost(error))

    async def _read(
        self, query: dict[str, str], timeout: datetime.timedelta
    ) -> StoredResult:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                async with self._session().get(
                    self._settings.url + _SHEET_PATH, params=query
                ) as response:
                    if response.status in (_NOT_FOUND, _NOT_MODIFIED):
                        return expression.Ok(None)
                    if response.status != _OK:
                        return expression.Error(_refused(response))
                    body = await response.read()
                    return expression.Ok(
                        objects.Stored.model_validate_json(body)
                    )
        except (
            aiohttp.ClientError,
            OSError,
            pydantic.ValidationError,
        ) as error:
            return expression.Error(_lost(error))

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            self._http = aiohttp.ClientSession()
        return self._http


def _refused(response: aiohttp.ClientResponse) -> errors.StoreUnavailable:
    reason = f"status {response.status}"
    return errors.StoreUnavailable(reason, sent=False)


def _lost(error: Exception) -> errors.StoreUnavailable:
    reason = str(error) or type(error).__name__
    return errors.StoreUnavailable(reason, sent=True)
