"""The object API that proxies need, independent of its wire format."""

from __future__ import annotations

import datetime
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.store import failures
from hickorygate.store import list_watch
from hickorygate.store import objects
from hickorygate.store import token_bucket

__all__ = ["Api", "RateLimitedApi"]


class Api(Protocol):
    """An object store, implemented by an adapter that makes the calls."""

    async def close(self) -> None:
        """Closes open connections."""

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        """Returns all objects of a kind."""

    async def watch(
        self, kind: str, revision: int, wait: datetime.timedelta
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns changes of a kind after a revision; waits if needed."""

    async def read(
        self, key: objects.Key
    ) -> expression.Result[list_watch.StoredObject | None, errors.Failure]:
        """Returns the object of a key; None if there is none."""

    async def store(
        self, key: objects.Key, value: object, expected: int | None
    ) -> expression.Result[list_watch.StoredObject, errors.Failure]:
        """Stores a value if the stored revision is the expected one."""

    async def list_instances(
        self,
    ) -> expression.Result[objects.ListedInstances, errors.Failure]:
        """Returns the instances, those that are leaving included."""

    async def watch_instances(
        self, revision: int, wait: datetime.timedelta
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns changes of the instances; waits for one if needed."""


class RateLimitedApi:
    """An object API that enforces the call rates of the settings.

    A call beyond the rates fails without being sent.
    """

    __slots__ = ("_api", "_clock", "_reads", "_writes")

    def __init__(
        self,
        api: Api,
        settings: settings_lib.PlatformSettings,
        clock: clocks.Clock,
    ) -> None:
        self._api = api
        self._clock = clock
        self._reads = token_bucket.TokenBucket(
            settings.reads_per_second, settings.call_burst
        )
        self._writes = token_bucket.TokenBucket(
            settings.writes_per_second, settings.call_burst
        )

    def __repr__(self) -> str:
        return f"RateLimitedApi({self._api!r})"

    async def close(self) -> None:
        """Closes open connections."""
        await self._api.close()

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        """Returns all objects of a kind."""
        spent = self._take_token(self._reads)
        return spent or await self._api.list(kind)

    async def watch(
        self, kind: str, revision: int, wait: datetime.timedelta
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns changes of a kind after a revision; waits if needed."""
        spent = self._take_token(self._reads)
        return spent or await self._api.watch(kind, revision, wait)

    async def read(
        self, key: objects.Key
    ) -> expression.Result[list_watch.StoredObject | None, errors.Failure]:
        """Returns the object of a key; None if there is none."""
        spent = self._take_token(self._reads)
        return spent or await self._api.read(key)

    async def store(
        self, key: objects.Key, value: object, expected: int | None
    ) -> expression.Result[list_watch.StoredObject, errors.Failure]:
        """Stores a value if the stored revision is the expected one."""
        spent = self._take_token(self._writes)
        return spent or await self._api.store(key, value, expected)

    async def list_instances(
        self,
    ) -> expression.Result[objects.ListedInstances, errors.Failure]:
        """Returns the instances, those that are leaving included."""
        spent = self._take_token(self._reads)
        return spent or await self._api.list_instances()

    async def watch_instances(
        self, revision: int, wait: datetime.timedelta
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns changes of the instances; waits for one if needed."""
        spent = self._take_token(self._reads)
        return spent or await self._api.watch_instances(revision, wait)

    def _take_token(
        self, bucket: token_bucket.TokenBucket
    ) -> expression.Result[object, errors.Failure] | None:
        """Takes one token; returns the failure of the call if none is left."""
        wait = bucket.try_take(self._clock.now())
        if not wait:
            return None
        return expression.Error(failures.StoreRateLimited(wait))
