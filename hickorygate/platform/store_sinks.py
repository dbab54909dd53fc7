"""Applies the objects of the store to the registry of the databases."""

from __future__ import annotations

from collections.abc import Sequence
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.platform import configuration_decoding
from hickorygate.platform import object_decoding
from hickorygate.store import list_watch
from hickorygate.upstreams import group_registry
from hickorygate.upstreams import member as members

__all__ = ["ConfigurationSink", "DatabaseSink"]


class _RegistrySink:
    """Base class of sinks for store objects; records lists and failures."""

    _kind: str

    def __init__(
        self, registry: group_registry.GroupRegistry, journal: events.Journal
    ) -> None:
        self._registry = registry
        self._journal = journal

    def replace(self, objects: Sequence[list_watch.StoredObject]) -> None:
        """Records that all objects were listed."""
        self._journal.record(
            platform_events.ObjectsListed(self._kind, len(objects))
        )

    def failed(self, failure: errors.Failure, took: datetime.timedelta) -> None:
        """Records a call without a usable answer."""
        self._journal.record(
            platform_events.WatchFailed(self._kind, failure.message, took)
        )

    def lost(self, failure: errors.Failure) -> None:
        """Records that the store is unreachable."""
        self._journal.record(
            platform_events.StoreLost(self._kind, failure.message)
        )

    def regained(self) -> None:
        """Records that the store is reachable again."""
        self._journal.record(platform_events.StoreRegained(self._kind))


class DatabaseSink(_RegistrySink):
    """Applies the databases' service discovery entries to the registry."""

    _kind = object_decoding.SERVERS

    def replace(self, objects: Sequence[list_watch.StoredObject]) -> None:
        """Replaces all databases with those of a complete list."""
        super().replace(objects)
        found = [self._decode(stored) for stored in objects]
        self._registry.replace_members([m for m in found if m is not None])

    def change(self, change: list_watch.Change) -> None:
        """Applies one changed entry; an invalid entry removes its database."""
        member = None if change.deleted else self._decode(change.stored)
        if member is None:
            self._registry.remove_member(change.stored.name)
        else:
            self._registry.put_member(member)

    def lost(self, failure: errors.Failure) -> None:
        """Suspends the expiry of databases and records the outage."""
        self._registry.suspend_expiry()
        super().lost(failure)

    def regained(self) -> None:
        """Resumes the expiry of databases and records the recovery."""
        self._registry.resume_expiry()
        super().regained()

    def _decode(self, stored: list_watch.StoredObject) -> members.Member | None:
        match object_decoding.decode_member(stored.name, stored.value):
            case expression.Result(tag="ok", ok=member):
                return member
            case expression.Result(tag="error", error=failure):
                self._journal.record(
                    platform_events.EntryIgnored(stored.name, failure.message)
                )
        return None


class ConfigurationSink(_RegistrySink):
    """Applies the configuration object to the group registry."""

    _kind = configuration_decoding.CONFIGURATION

    def __init__(
        self,
        registry: group_registry.GroupRegistry,
        journal: events.Journal,
        keys_required: bool,
    ) -> None:
        """Creates the sink.

        Args:
          registry: where configurations are put in force.
          journal: log that events are recorded in.
          keys_required: whether the deployment has workspaces even if a
            configuration lists none.
        """
        super().__init__(registry, journal)
        self._keys_required = keys_required

    def replace(self, objects: Sequence[list_watch.StoredObject]) -> None:
        """Applies the configuration from a complete list of objects."""
        super().replace(objects)
        for stored in objects:
            self._apply(stored)

    def change(self, change: list_watch.Change) -> None:
        """Applies a change; a deletion leaves the configuration in force."""
        if not change.deleted:
            self._apply(change.stored)

    def _apply(self, stored: list_watch.StoredObject) -> None:
        if stored.name != configuration_decoding.CONFIGURATION_NAME:
            return
        match configuration_decoding.decode_catalog(
            stored.value, self._keys_required
        ):
            case expression.Result(tag="ok", ok=catalog):
                self._registry.apply(catalog)
            case expression.Result(tag="error", error=failure):
                self._journal.record(
                    platform_events.CatalogRejected(failure.message)
                )
