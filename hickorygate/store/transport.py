"""One call to the object API: HTTP in, a typed answer or failure out."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import datetime
from typing import Protocol

import aiohttp
import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.store import budget
from hickorygate.store import failures

__all__ = ["Answer", "AnswerResult", "Call", "Caller", "Transport"]

_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_SERVER_ERRORS = 500
_EXPECTED = frozenset({_OK, _NOT_MODIFIED, _NOT_FOUND, _PRECONDITION_FAILED})


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request.

    Attributes:
      path: below the base address.
      query: of the address.
      body: JSON to store; None to read.
      expected: the version that a change replaces.
      wait: how long a watch may hold the answer back.
    """

    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    expected: int = 0
    wait: datetime.timedelta = datetime.timedelta()

    @property
    def writes(self) -> bool:
        """Whether it changes an object."""
        return self.body is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a status that the API documents.

    Attributes:
      status: HTTP status.
      version: from the ETag; 0 without one.
      body: bytes.
    """

    status: int
    version: int
    body: bytes

    @property
    def found(self) -> bool:
        """Whether the body holds an object."""
        return self.status == _OK

    @property
    def conflicts(self) -> bool:
        """Whether a change's condition was not met."""
        return self.status == _PRECONDITION_FAILED


AnswerResult = expression.Result[Answer, errors.Failure]


class Caller(Protocol):
    """Who makes calls."""

    async def make(self, call: Call) -> AnswerResult:
        """Makes a call."""

    async def close(self) -> None:
        """Closes what is open."""


class Transport:
    """Makes calls within a budget; each has a time-out."""

    __slots__ = ("_clock", "_http", "_reads", "_settings", "_writes")

    def __init__(
        self, settings: settings_lib.PlatformSettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._http: aiohttp.ClientSession | None = None
        self._reads = budget.CallBudget(
            settings.reads_per_second, settings.call_burst
        )
        self._writes = budget.CallBudget(
            settings.writes_per_second, settings.call_burst
        )

    def __repr__(self) -> str:
        return f"Transport({self._settings.url!r})"

    async def close(self) -> None:
        """Closes idle connections."""
        if self._http is not None:
            await self._http.close()

    async def make(self, call: Call) -> AnswerResult:
        """Makes a call; one beyond the budget is refused unsent."""
        bucket = self._writes if call.writes else self._reads
        wait = bucket.take(self._clock.now())
        if wait:
            return expression.Error(failures.StoreBudgetSpent(wait))
        timeout = call.wait + self._settings.timeout
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._send(call)
        except aiohttp.ClientConnectorError as error:
            return expression.Error(errors.StoreUnavailable(str(error), False))
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            return expression.Error(errors.StoreUnavailable(reason, True))

    async def _send(self, call: Call) -> AnswerResult:
        headers = {}
        if call.writes:
            headers["If-Match"] = f'"{call.expected}"'
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(call.body or b""))
        async with self._session().request(
            "PUT" if call.writes else "GET",
            self._settings.url + call.path,
            params=call.query,
            data=None if call.body is None else _once(call.body),
            headers=headers,
        ) as response:
            if response.status not in _EXPECTED:
                return expression.Error(_refused(response.status))
            body = await response.read()
            return expression.Ok(
                Answer(response.status, _version(response.headers), body)
            )

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            self._http = aiohttp.ClientSession()
        return self._http


async def _once(body: bytes) -> AsyncIterator[bytes]:
    """Yields a body in a form that can't be sent a second time.

    aiohttp repeats a PUT by itself after a broken connection if its body can
    be sent again; the repeat would meet the effect of the first and report
    it as a conflict.
    """
    yield body


def _refused(status: int) -> errors.StoreUnavailable:
    """Makes a failure; a server error proves nothing about the effect."""
    return errors.StoreUnavailable(
        f"status {status}", sent=status >= _SERVER_ERRORS
    )


def _version(headers: aiohttp.typedefs.LooseHeaders) -> int:
    tag = headers.get("ETag", "").strip('"')
    return int(tag) if tag.isdecimal() else 0
