"""Decides which instances are leaving, without I/O.

The platform's list of instances lags behind reality, so the states in the list
are only one of three sources. An instance with a planned stop in the sheet
counts as leaving from shortly before the stop, and an instance that disappeared
from the list counts as leaving too. Whether an instance answers is not decided
here but by the code that probes it.
"""

from __future__ import annotations

import dataclasses
import datetime

import pydantic

from hickorygate.core import document
from hickorygate.core import errors
from hickorygate.core import sheet
from hickorygate.store import objects
from hickorygate.store import sheet_state

__all__ = ["InstanceDirectory", "AnnounceInstances", "SetLeaving"]

_LEAVING_BEFORE_STOP = datetime.timedelta(seconds=5)
"""Time before a planned stop from which the instance gets no new work."""
_LEAVING_AFTER_STOP = datetime.timedelta(minutes=10)
"""Time after a planned stop at which the stop expires. From then on, only the
list determines whether the instance is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceInstances(sheet_state.Effect):
    """Report that a newer list is in force.

    Attributes:
      version: version of the list.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetLeaving(sheet_state.Effect):
    """Give no new work to the named instances, and to no others.

    Attributes:
      names: names of all instances that are leaving.
    """

    names: frozenset[str]


class InstanceDirectory:
    """The newest list of instances, and the planned stops."""

    __slots__ = (
        "_delisted",
        "_leaving",
        "_list",
        "_rejected",
        "_stops",
        "_text",
        "_version",
    )

    def __init__(self) -> None:
        self._list = objects.InstanceList(instances=())
        self._text = ""
        self._version = 0
        self._rejected = 0
        self._delisted: frozenset[str] = frozenset()
        self._stops: tuple[sheet.PlannedStop, ...] = ()
        self._leaving: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version of the list in force; 0 without one."""
        return self._version

    @property
    def examined_version(self) -> int:
        """The newest version applied or rejected."""
        return max(self._version, self._rejected)

    @property
    def ready(self) -> bool:
        """Always True, as a proxy can serve without a list of instances."""
        return True

    @property
    def text(self) -> str:
        """The list as JSON, to pass on to other proxies; empty without one."""
        return self._text

    @property
    def instances(self) -> tuple[objects.Instance, ...]:
        """The instances of the list in force."""
        return self._list.instances

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the leaving instances, as of the last `update_leaving`."""
        return self._leaving

    def __repr__(self) -> str:
        return f"InstanceDirectory(version={self._version})"

    def offer(
        self, candidate: document.ReceivedDocument
    ) -> tuple[sheet_state.Effect, ...]:
        """Puts a list in force if it is newer and valid.

        Returns:
          The actions to carry out. An invalid version is reported once.
        """
        if candidate.version <= self._version:
            return ()
        try:
            found = objects.InstanceList.model_validate_json(candidate.text)
        except pydantic.ValidationError as error:
            return self._reject(candidate, error)
        self._replace(found)
        self._version = candidate.version
        self._text = candidate.text
        return (AnnounceInstances(candidate.version),)

    def compare_store_version(
        self, found: int
    ) -> tuple[sheet_state.Effect, ...]:
        """Returns no actions: an older list in the store has no effect."""
        return ()

    def set_planned_stops(self, stops: tuple[sheet.PlannedStop, ...]) -> None:
        """Sets the planned stops, which are those of the sheet in force."""
        self._stops = stops

    def update_leaving(
        self, now: datetime.datetime
    ) -> tuple[sheet_state.Effect, ...]:
        """Updates the set of leaving instances.

        Args:
          now: current time.

        Returns:
          The actions to carry out; none if the set didn't change.
        """
        leaving = self._listed_leaving() | self._planned_leaving(now)
        if leaving == self._leaving:
            return ()
        self._leaving = leaving
        return (SetLeaving(leaving),)

    def _replace(self, found: objects.InstanceList) -> None:
        before = {instance.name for instance in self._list.instances}
        now = {instance.name for instance in found.instances}
        self._delisted = (self._delisted | before) - now
        self._list = found

    def _listed_leaving(self) -> frozenset[str]:
        marked = frozenset(
            instance.name
            for instance in self._list.instances
            if instance.state is objects.InstanceState.LEAVING
        )
        return marked | self._delisted

    def _planned_leaving(self, now: datetime.datetime) -> frozenset[str]:
        return frozenset(
            stop.instance
            for stop in self._stops
            if stop.at - _LEAVING_BEFORE_STOP
            <= now
            < stop.at + _LEAVING_AFTER_STOP
        )

    def _reject(
        self,
        candidate: document.ReceivedDocument,
        error: pydantic.ValidationError,
    ) -> tuple[sheet_state.Effect, ...]:
        if candidate.version <= self._rejected:
            return ()
        self._rejected = candidate.version
        reason = error.errors(include_url=False)[0]["msg"]
        failure = errors.FileInvalid(
            "instances", (errors.FileProblem(None, "list", reason),)
        )
        return (
            sheet_state.RejectDocument(
                document.DocumentKind.INSTANCES,
                candidate.version,
                candidate.source,
                failure,
            ),
        )
