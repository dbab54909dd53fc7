"""The proxy's records in the platform's store, and the promotion call."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Annotated

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.platform import object_client
from hickorygate.platform import settings as settings_lib
from hickorygate.store import failures
from hickorygate.store import list_watch
from hickorygate.store import objects
from hickorygate.store import registration
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import member as members

__all__ = ["PlatformStore"]

_LEASE_KEY = objects.Key("hickorygate-duties", "promotion")
_PROXY_KIND = "hickorygate-proxies"


class _StoredLease(pydantic.BaseModel):
    """The stored form of the promotion lease."""

    model_config = pydantic.ConfigDict(extra="ignore")

    holder: str
    incarnation: str
    number: Annotated[int, pydantic.Field(ge=0)]
    released: bool
    renewals: Annotated[int, pydantic.Field(ge=0)] = 0
    era: Annotated[int, pydantic.Field(ge=0)] = 0


def _ignore_era(era: int) -> None:
    pass


class _StoredProxy(pydantic.BaseModel):
    """The stored form of a proxy's registration."""

    model_config = pydantic.ConfigDict(extra="ignore")

    address: settings_lib.AddressField
    zone: Annotated[str, pydantic.Field(min_length=1)]
    capacity: Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _StoredMembership(pydantic.BaseModel):
    """What the stored form says of shares of rate limits."""

    model_config = pydantic.ConfigDict(extra="ignore")

    fleet: str = ""
    active: bool = False


class PlatformStore:
    """The promotion lease, proxy registrations and promotions in the store.

    Uses the names and formats of the platform.
    """

    def __init__(
        self,
        settings: settings_lib.ProcessSettings,
        on_era: Callable[[int], None] = _ignore_era,
    ) -> None:
        """Initializes the store; makes no call yet.

        Args:
          settings: settings of the process.
          on_era: called with the first era that the store tells, and with each
            later one, before the response is used.
        """
        self._settings = settings
        self._api = object_client.ObjectStoreClient(
            f"http://{settings.store}", on_era=on_era
        )

    @property
    def calls(self) -> int:
        """Number of calls to the object store and the promotion API."""
        return self._api.calls

    def __repr__(self) -> str:
        return f"PlatformStore({self._settings.store})"

    def set_settings(self, settings: settings_lib.ProcessSettings) -> None:
        """Sets the settings for later calls."""
        self._settings = settings
        self._api.set_url(f"http://{settings.store}")

    async def close(self) -> None:
        """Closes the connections to the store."""
        await self._api.close()

    async def list(
        self, kind: str
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        """Returns all objects of a kind."""
        return await self._api.list(kind)

    async def watch(
        self, settings: list_watch.WatchSettings, revision: int
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns the changes after a revision, waiting for the first one."""
        return await self._api.watch(
            settings.kind, revision, settings.wait, settings.may_be_outdated
        )

    async def read_lease(
        self,
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Returns the record of the promotion lease, if there is one."""
        found = await self._api.read_with_era(_LEASE_KEY)
        return found.map(_decode_reading)

    async def write_lease(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Stores the record of the promotion lease with a conditional update.

        Args:
          record: new record.
          revision: revision that must be the current one; None creates the
            record.

        Returns:
          The record as stored, or `LeaseConflict` if the condition failed.
        """
        lease = _StoredLease(
            holder=record.holder,
            incarnation=record.incarnation,
            number=record.number,
            released=record.released,
            renewals=record.renewals,
            era=record.era,
        )
        written = await self._api.store_with_era(
            _LEASE_KEY, lease.model_dump(), revision or 0
        )
        match written:
            case expression.Result(
                tag="error", error=failures.ObjectConflict()
            ):
                return expression.Error(lease_record.LeaseConflict())
        return written.map(_decode_reading).bind(
            lambda reading: _confirm(record, reading)
        )

    async def announce(
        self,
        name: types.ProxyName,
        beat: int,
        exists: bool,
        description: registration.ProxyDescription = registration.NOT_SERVING,
    ) -> expression.Result[None, errors.Failure]:
        """Creates or renews the registration of this proxy.

        Args:
          name: name of the proxy.
          beat: counter that must change with each renewal.
          exists: whether the registration exists already.
          description: what other proxies need to know of this one.
        """
        key = objects.Key(_PROXY_KIND, name)
        expected = None if exists else 0
        value: dict[str, object] = {"beat": beat}
        if description.fleet:
            value |= {"fleet": description.fleet, "active": description.active}
        if description.address:
            value |= dataclasses.asdict(description)
        written = await self._api.store(key, value, expected)
        return written.map(lambda _: None)

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        """Deletes the registration of a proxy."""
        return await self._api.delete(objects.Key(_PROXY_KIND, name))

    async def proxies(
        self, may_be_outdated: bool
    ) -> expression.Result[
        dict[types.ProxyName, registration.RegisteredProxy], errors.Failure
    ]:
        """Returns all registered proxies by name.

        A registration without a valid address, as an older build writes it,
        counts as a proxy that can't serve.

        Args:
          may_be_outdated: whether changes of the last seconds may be missing.
        """
        listed = await self._api.list(_PROXY_KIND, may_be_outdated)
        return listed.map(
            lambda snapshot: {
                o.name: _decode_proxy(o) for o in snapshot.objects
            }
        )

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: lease_record.LeaseRecord,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders the platform to promote a database.

        Args:
          service: service of the database.
          member: database to promote.
          record: lease record; its number is the fencing token of the call.
          may_send: checked right before the request is sent.
        """
        headers = {
            "X-Duty-Holder": record.holder,
            "X-Fencing-Token": str(record.number),
        }
        answered = await self._api.call(
            "POST",
            f"http://{self._settings.promotion_api}/promotion",
            {"service": service, "id": member},
            headers,
            may_send=may_send,
        )
        return answered.bind(object_client.HttpResponse.success_body).map(
            lambda _: None
        )


def _decode_reading(
    found: object_client.ObjectReading,
) -> lease_record.LeaseReading:
    stored = None if found.stored is None else _decode_lease(found.stored)
    return lease_record.LeaseReading(stored, found.era)


def _confirm(
    record: lease_record.LeaseRecord, reading: lease_record.LeaseReading
) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
    """Returns what an update stored; fails if that isn't the record sent.

    The response then belongs to another update, such as an earlier renewal.
    """
    if reading.stored is not None and reading.stored.record == record:
        return expression.Ok(reading)
    reason = "the answer is about another update of the lease"
    return expression.Error(errors.StoreUnavailable(reason, True))


def _decode_lease(
    found: list_watch.StoredObject,
) -> lease_record.StoredLeaseRecord:
    try:
        lease = _StoredLease.model_validate(found.value)
    except pydantic.ValidationError:
        # An invalid record counts as a lease without a holder; its revision
        # still guards the next update.
        lease = _StoredLease(
            holder="", incarnation="", number=0, released=False
        )
    record = lease_record.LeaseRecord(
        lease.holder,
        lease.incarnation,
        lease.number,
        lease.released,
        lease.renewals,
        lease.era,
    )
    return lease_record.StoredLeaseRecord(record, found.revision)


def _decode_proxy(
    found: list_watch.StoredObject,
) -> registration.RegisteredProxy:
    try:
        member = _StoredMembership.model_validate(found.value)
    except pydantic.ValidationError:
        member = _StoredMembership()
    decoded = registration.RegisteredProxy(
        fleet=member.fleet, active=member.active, revision=found.revision
    )
    try:
        proxy = _StoredProxy.model_validate(found.value)
    except pydantic.ValidationError:
        return decoded
    return dataclasses.replace(
        decoded,
        address=str(proxy.address),
        zone=proxy.zone,
        capacity=proxy.capacity,
    )
