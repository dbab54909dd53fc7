"""HTTP client for the admin ports of proxies."""

from __future__ import annotations

import asyncio
import datetime

import aiohttp
import expression
import pydantic

from hickorygate.core import events
from hickorygate.operators import admin
from hickorygate.operators import event_codec
from hickorygate.operators import failures
from hickorygate.operators import status as statuses

__all__ = ["AdminClient"]

_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_RESPONSE_BYTES = 16 * 1_048_576
"""Number of bytes of a response body that are read at most."""


class AdminClient:
    """A client for the admin ports of any number of proxies.

    All requests share one HTTP session, which is opened at the first request.
    """

    __slots__ = ("_http",)

    def __init__(self) -> None:
        self._http: aiohttp.ClientSession | None = None

    def __repr__(self) -> str:
        return "AdminClient()"

    async def close(self) -> None:
        """Closes the connections of this client."""
        if self._http is not None:
            await self._http.close()

    async def status(
        self, address: str
    ) -> expression.Result[statuses.ProxyStatus, failures.ProxyUnreachable]:
        """Returns the status of the proxy at an admin address."""
        text = await self._send("GET", address, admin.Paths.STATUS)
        return text.bind(lambda found: _read_status(found, address))

    async def timeline(
        self, address: str
    ) -> expression.Result[
        tuple[events.RecordedEvent, ...], failures.ProxyUnreachable
    ]:
        """Returns the recorded events of a proxy, oldest first."""
        text = await self._send("GET", address, admin.Paths.TIMELINE)
        return text.bind(lambda found: _read_events(found, address))

    async def drain(
        self, address: str
    ) -> expression.Result[str, failures.ProxyUnreachable]:
        """Starts a graceful shutdown of a proxy; returns its response text."""
        return await self._send("POST", address, admin.Paths.DRAIN)

    async def _send(
        self, method: str, address: str, path: str
    ) -> expression.Result[str, failures.ProxyUnreachable]:
        if self._http is None:
            self._http = aiohttp.ClientSession()
        url = f"http://{address}{path}"
        try:
            async with asyncio.timeout(_TIMEOUT.total_seconds()):
                async with self._http.request(method, url) as response:
                    body = await response.content.read(_MAX_RESPONSE_BYTES)
                    text = body.decode(errors="replace")
                    if response.ok:
                        return expression.Ok(text)
                    reason = f"status {response.status}"
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
        return expression.Error(failures.ProxyUnreachable(address, reason))


def _read_status(
    text: str, address: str
) -> expression.Result[statuses.ProxyStatus, failures.ProxyUnreachable]:
    try:
        return expression.Ok(statuses.ProxyStatus.model_validate_json(text))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        reason = f"malformed status: {first['msg']}"
        return expression.Error(failures.ProxyUnreachable(address, reason))


def _read_events(
    text: str, address: str
) -> expression.Result[
    tuple[events.RecordedEvent, ...], failures.ProxyUnreachable
]:
    found = []
    for line in filter(None, text.split("\n")):
        match event_codec.decode_json(line, address):
            case expression.Result(tag="error", error=failure):
                return expression.Error(failure)
            case expression.Result(tag="ok", ok=recorded):
                found.append(recorded)
    return expression.Ok(tuple(found))
