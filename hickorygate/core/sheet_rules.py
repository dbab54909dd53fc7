"""Rules for a sheet that the pydantic models can't express.

Each rule gets one part of the sheet and its location; `_check` dispatches on
the type of the part. Names that must be unique in the whole sheet are collected
in the order of the file, so that the second use of a name is the one reported.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import functools

import pydantic

from hickorygate.core import sheet_model
from hickorygate.core import yaml_validation

__all__ = ["find_violations"]

_CONNECTIONS_PER_PROXY = 2
"""Minimum number of connections to a database for each proxy: one for control
and at least one for statements."""

_ROUNDING_TOLERANCE = 1e-9
"""Tolerance for the sum of floors, which are floating-point numbers."""


@dataclasses.dataclass(slots=True)
class _UniqueNames:
    """The names of one kind that were found so far.

    Attributes:
      kind: what the names denote, for error messages.
      seen: names that were found.
    """

    kind: str
    seen: set[object] = dataclasses.field(default_factory=set)

    def add(
        self, name: object, place: yaml_validation.KeyPath
    ) -> Iterator[yaml_validation.RuleViolation]:
        """Adds a name; yields a rule violation if the name was added before."""
        if name in self.seen:
            reason = f"this {self.kind} occurs twice; keep one"
            yield yaml_validation.RuleViolation(place, name, reason)
        self.seen.add(name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    """The sheet under validation and the names that were found in it so far.

    The fields besides `sheet` hold the names that must be unique in the sheet.
    """

    sheet: sheet_model.SheetModel
    services: _UniqueNames
    groups: _UniqueNames
    schemas: _UniqueNames
    databases: _UniqueNames
    addresses: _UniqueNames


def find_violations(
    sheet: sheet_model.SheetModel,
) -> Iterator[yaml_validation.RuleViolation]:
    """Yields all rule violations of a sheet, in the order of the file."""
    context = _Context(
        sheet,
        _UniqueNames("service"),
        _UniqueNames("group"),
        _UniqueNames("schema"),
        _UniqueNames("database"),
        _UniqueNames("address"),
    )
    yield from _check(sheet, (), context)


@functools.singledispatch
def _check(
    part: pydantic.BaseModel, place: yaml_validation.KeyPath, context: _Context
) -> Iterator[yaml_validation.RuleViolation]:
    """Yields the rule violations of a part and of the parts inside it."""
    return iter(())


def _check_each(
    parts: Iterable[pydantic.BaseModel],
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    for index, part in enumerate(parts):
        yield from _check(part, (*place, index), context)


@_check.register
def _(
    part: sheet_model.SheetModel,
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    yield from _check_each(part.services, ("services",), context)
    yield from _check_each(part.planned_stops, ("planned_stops",), context)


@_check.register
def _(
    part: sheet_model.ServiceModel,
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    yield from context.services.add(part.name, (*place, "name"))
    yield from _check_unique(part.ranks, "rank", (*place, "ranks"))
    yield from _check_unique(part.reads, "kind of read", (*place, "reads"))
    yield from _check_unique(part.users, "user", (*place, "users"))
    yield from _check_floors(part, place)
    yield from _check_users(part, place)
    yield from _check_each(part.groups, (*place, "groups"), context)


@_check.register
def _(
    part: sheet_model.GroupModel,
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    yield from context.groups.add(part.name, (*place, "name"))
    for index, schema in enumerate(part.schemas):
        yield from context.schemas.add(schema, (*place, "schemas", index))
    yield from _check_each(part.databases, (*place, "databases"), context)


@_check.register
def _(
    part: sheet_model.DatabaseModel,
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    yield from context.databases.add(part.name, (*place, "name"))
    address = f"{part.host}:{part.port}"
    yield from context.addresses.add(address, (*place, "port"))
    yield from _check_limits(part, place, context.sheet.proxies)


@_check.register
def _(
    part: sheet_model.PlannedStopModel,
    place: yaml_validation.KeyPath,
    context: _Context,
) -> Iterator[yaml_validation.RuleViolation]:
    known = context.databases.seen | set(context.sheet.entry_instances)
    if part.instance not in known:
        reason = (
            "neither a database of the sheet nor an entry instance; correct "
            "the name or list it under entry_instances"
        )
        yield yaml_validation.RuleViolation(
            (*place, "instance"), part.instance, reason
        )


def _check_unique(
    parts: Iterable[
        sheet_model.RankModel
        | sheet_model.ReadClassModel
        | sheet_model.UserModel
    ],
    kind: str,
    place: yaml_validation.KeyPath,
) -> Iterator[yaml_validation.RuleViolation]:
    names = _UniqueNames(kind)
    for index, part in enumerate(parts):
        yield from names.add(part.name, (*place, index, "name"))


def _check_floors(
    service: sheet_model.ServiceModel, place: yaml_validation.KeyPath
) -> Iterator[yaml_validation.RuleViolation]:
    total = sum(rank.floor for rank in service.ranks)
    if total > 1 + _ROUNDING_TOLERANCE:
        reason = f"the floors add up to {total:g}; lower them to 1 or less"
        yield yaml_validation.RuleViolation((*place, "ranks"), None, reason)


def _check_users(
    service: sheet_model.ServiceModel, place: yaml_validation.KeyPath
) -> Iterator[yaml_validation.RuleViolation]:
    ranks = {rank.name for rank in service.ranks}
    reads = {read.name for read in service.reads}
    for index, user in enumerate(service.users):
        where = (*place, "users", index)
        if user.rank not in ranks:
            reason = f"unknown rank; this service has: {_joined(ranks)}"
            yield yaml_validation.RuleViolation(
                (*where, "rank"), user.rank, reason
            )
        if user.reads is not None and user.reads not in reads:
            reason = f"unknown kind of read; this service has: {_joined(reads)}"
            yield yaml_validation.RuleViolation(
                (*where, "reads"), user.reads, reason
            )


def _check_limits(
    database: sheet_model.DatabaseModel,
    place: yaml_validation.KeyPath,
    proxies: int,
) -> Iterator[yaml_validation.RuleViolation]:
    needed = proxies * _CONNECTIONS_PER_PROXY
    if database.connections < needed:
        reason = (
            f"too few: {proxies} proxies need {needed} connections, "
            "one for control and one for statements each; raise it or lower "
            "proxies"
        )
        yield yaml_validation.RuleViolation(
            (*place, "connections"), database.connections, reason
        )
    if database.slots > database.connections:
        reason = f"more than the {database.connections} connections; lower it"
        yield yaml_validation.RuleViolation(
            (*place, "slots"), database.slots, reason
        )


def _joined(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"
