"""Which instances are leaving: decisions without I/O.

The platform's list lags behind reality, so it is one source of three: the
sheet's planned stops count before they happen, and an instance that was
listed and is no longer listed counts as leaving. Whether an instance answers
is for those who probe it.
"""

from __future__ import annotations

import dataclasses
import datetime

import pydantic

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import sheet as sheets
from hickorygate.store import configuration as configurations
from hickorygate.store import objects

__all__ = ["Directory", "Hold", "Leaving"]

_PLAN_LEAD = datetime.timedelta(seconds=5)
"""Time before a planned stop from which an instance gets no new work."""
_PLAN_HOLD = datetime.timedelta(minutes=10)
"""Time after a planned stop from which the list alone counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hold(configurations.Effect):
    """A newer list is held."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(configurations.Effect):
    """These instances, and no others, get no new work from now on."""

    names: frozenset[str]


class Directory:
    """The newest list of instances, and the planned stops."""

    __slots__ = (
        "_departed",
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
        self._departed: frozenset[str] = frozenset()
        self._stops: tuple[sheets.PlannedStop, ...] = ()
        self._leaving: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version of the list held; 0 without one."""
        return self._version

    @property
    def examined(self) -> int:
        """The newest version held or rejected."""
        return max(self._version, self._rejected)

    @property
    def ready(self) -> bool:
        """True: a proxy serves without a list, so none is sought in haste."""
        return True

    @property
    def text(self) -> str:
        """The list as JSON, to pass on."""
        return self._text

    @property
    def instances(self) -> tuple[objects.Instance, ...]:
        """The list held."""
        return self._list.instances

    @property
    def leaving(self) -> frozenset[str]:
        """Names that get no new work, as of the last review."""
        return self._leaving

    def __repr__(self) -> str:
        return f"Directory(version={self._version})"

    def offer(
        self, candidate: documents.Candidate
    ) -> tuple[configurations.Effect, ...]:
        """Takes a list if it is newer and valid."""
        if candidate.version <= self._version:
            return ()
        try:
            found = objects.InstanceList.model_validate_json(candidate.text)
        except pydantic.ValidationError as error:
            return self._reject(candidate, error)
        self._replace(found)
        self._version = candidate.version
        self._text = candidate.text
        return (Hold(candidate.version),)

    def compare(self, found: int) -> tuple[configurations.Effect, ...]:
        """A store with an older list changes nothing."""
        return ()

    def plan(self, stops: tuple[sheets.PlannedStop, ...]) -> None:
        """Takes in the planned stops of the sheet in force."""
        self._stops = stops

    def review(
        self, now: datetime.datetime
    ) -> tuple[configurations.Effect, ...]:
        """Tells which instances are leaving if that changed."""
        leaving = self._listed_leaving() | self._planned_leaving(now)
        if leaving == self._leaving:
            return ()
        self._leaving = leaving
        return (Leaving(leaving),)

    def _replace(self, found: objects.InstanceList) -> None:
        before = {instance.name for instance in self._list.instances}
        now = {instance.name for instance in found.instances}
        self._departed = (self._departed | before) - now
        self._list = found

    def _listed_leaving(self) -> frozenset[str]:
        marked = frozenset(
            instance.name
            for instance in self._list.instances
            if instance.state is objects.InstanceState.LEAVING
        )
        return marked | self._departed

    def _planned_leaving(self, now: datetime.datetime) -> frozenset[str]:
        return frozenset(
            stop.instance
            for stop in self._stops
            if stop.at - _PLAN_LEAD <= now < stop.at + _PLAN_HOLD
        )

    def _reject(
        self,
        candidate: documents.Candidate,
        error: pydantic.ValidationError,
    ) -> tuple[configurations.Effect, ...]:
        if candidate.version <= self._rejected:
            return ()
        self._rejected = candidate.version
        reason = error.errors(include_url=False)[0]["msg"]
        failure = errors.FileInvalid(
            "instances", (errors.Problem(None, "list", reason),)
        )
        return (
            configurations.Reject(
                documents.DocumentKind.INSTANCES,
                candidate.version,
                candidate.source,
                failure,
            ),
        )
