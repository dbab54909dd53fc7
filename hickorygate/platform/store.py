"""What a proxy keeps in the platform's store, and the promotion call."""

from __future__ import annotations

from collections.abc import Callable
import datetime
from typing import Annotated

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.platform import objects as apis
from hickorygate.platform import settings as settings_lib
from hickorygate.store import failures
from hickorygate.store import feed as feeds
from hickorygate.store import objects
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import member as members

__all__ = ["PlatformStore"]

_DUTY = objects.Key("hickorygate-duties", "promotion")
_PROXY_KIND = "hickorygate-proxies"


class _Duty(pydantic.BaseModel):
    """The record of who holds a duty, as it is stored."""

    model_config = pydantic.ConfigDict(extra="ignore")

    holder: str
    incarnation: str
    number: Annotated[int, pydantic.Field(ge=0)]
    released: bool
    renewals: Annotated[int, pydantic.Field(ge=0)] = 0


class PlatformStore:
    """Duty, roll and promotions in the platform's names and formats."""

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        self._settings = settings
        self._api = apis.ObjectApi(f"http://{settings.store}")

    @property
    def calls(self) -> int:
        """Calls that were made."""
        return self._api.calls

    def __repr__(self) -> str:
        return f"PlatformStore({self._settings.store})"

    def use(self, settings: settings_lib.PlatformSettings) -> None:
        """Takes in changed settings."""
        self._settings = settings
        self._api.use(f"http://{settings.store}")

    async def close(self) -> None:
        """Closes what is open."""
        await self._api.close()

    async def list(
        self, kind: str
    ) -> expression.Result[feeds.Snapshot, errors.Failure]:
        """Returns all objects of a kind."""
        return await self._api.list(kind)

    async def watch(
        self, kind: str, revision: int, wait: datetime.timedelta
    ) -> expression.Result[feeds.News, errors.Failure]:
        """Returns changes after a revision, waiting for one."""
        return await self._api.watch(kind, revision, wait)

    async def read_duty(
        self,
    ) -> expression.Result[duties.Stored | None, errors.Failure]:
        """Returns who holds the duty of promotion; None if nobody ever did."""
        found = await self._api.read(_DUTY)
        return found.map(lambda f: None if f is None else _decode_duty(f))

    async def write_duty(
        self, record: duties.Record, revision: int | None
    ) -> expression.Result[duties.Stored, errors.Failure]:
        """Stores a record on condition of a revision; None creates it."""
        duty = _Duty(
            holder=record.holder,
            incarnation=record.incarnation,
            number=record.number,
            released=record.released,
            renewals=record.renewals,
        )
        written = await self._api.store(_DUTY, duty.model_dump(), revision or 0)
        match written:
            case expression.Result(
                tag="error", error=failures.ObjectConflict()
            ):
                return expression.Error(duties.Overtaken())
        return written.map(_decode_duty)

    async def announce(
        self, name: types.ProxyName, beat: int, exists: bool
    ) -> expression.Result[None, errors.Failure]:
        """Creates or renews this proxy's object; `beat` must change."""
        key = objects.Key(_PROXY_KIND, name)
        expected = None if exists else 0
        written = await self._api.store(key, {"beat": beat}, expected)
        return written.map(lambda _: None)

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        """Removes a proxy's object."""
        return await self._api.delete(objects.Key(_PROXY_KIND, name))

    async def proxies(
        self,
    ) -> expression.Result[dict[types.ProxyName, int], errors.Failure]:
        """Returns the revisions of all proxies' objects."""
        listed = await self._api.list(_PROXY_KIND)
        return listed.map(
            lambda snapshot: {o.name: o.revision for o in snapshot.objects}
        )

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: duties.Record,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders that a database takes over, under the duty's number."""
        headers = {
            "X-Duty-Holder": record.holder,
            "X-Fencing-Token": str(record.number),
        }
        answered = await self._api.call(
            "POST",
            f"http://{self._settings.duties}/promotion",
            {"service": service, "id": member},
            headers,
            may_send=may_send,
        )
        return answered.bind(apis.Answer.content).map(lambda _: None)


def _decode_duty(found: feeds.StoredObject) -> duties.Stored:
    try:
        duty = _Duty.model_validate(found.value)
    except pydantic.ValidationError:
        # Whoever wrote this holds nothing that we understand; its revision
        # still guards the next change.
        duty = _Duty(holder="", incarnation="", number=0, released=False)
    record = duties.Record(
        duty.holder,
        duty.incarnation,
        duty.number,
        duty.released,
        duty.renewals,
    )
    return duties.Stored(record, found.revision)
