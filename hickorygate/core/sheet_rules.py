"""What a well-formed sheet may still do wrong, part by part.

Each rule sees one part of the sheet and the place where it stands; `check`
dispatches on the part's type. Names that must be unique over the whole sheet
are collected in the order of the file, so the second use is the one refused.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import functools

import pydantic

from hickorygate.core import border
from hickorygate.core import sheet_model

__all__ = ["breaches"]

_CONNECTIONS_A_PROXY = 2
"""One for control and at least one for statements."""

_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Names:
    """Names of one kind that were used so far."""

    kind: str
    used: set[object] = dataclasses.field(default_factory=set)

    def use(self, name: object, place: border.Place) -> Iterator[border.Breach]:
        """Takes a name; one that is taken already is a breach."""
        if name in self.used:
            reason = f"this {self.kind} stands twice; keep one"
            yield border.Breach(place, name, reason)
        self.used.add(name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Scope:
    """The sheet that is checked, and its names so far."""

    sheet: sheet_model.SheetModel
    services: _Names
    groups: _Names
    schemas: _Names
    databases: _Names
    addresses: _Names


def breaches(sheet: sheet_model.SheetModel) -> Iterator[border.Breach]:
    """Finds all rules that a sheet breaks, in the order of the file."""
    scope = _Scope(
        sheet,
        _Names("service"),
        _Names("group"),
        _Names("schema"),
        _Names("database"),
        _Names("address"),
    )
    yield from _check(sheet, (), scope)


@functools.singledispatch
def _check(
    part: pydantic.BaseModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    """Finds what a part and the parts inside it do wrong."""
    return iter(())


def _check_each(
    parts: Iterable[pydantic.BaseModel], place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    for index, part in enumerate(parts):
        yield from _check(part, (*place, index), scope)


@_check.register
def _(
    part: sheet_model.SheetModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    yield from _check_each(part.services, ("services",), scope)
    yield from _check_each(part.planned_stops, ("planned_stops",), scope)


@_check.register
def _(
    part: sheet_model.ServiceModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    yield from scope.services.use(part.name, (*place, "name"))
    yield from _unique(part.ranks, "rank", (*place, "ranks"))
    yield from _unique(part.reads, "kind of read", (*place, "reads"))
    yield from _unique(part.users, "user", (*place, "users"))
    yield from _floors(part, place)
    yield from _users(part, place)
    yield from _check_each(part.groups, (*place, "groups"), scope)


@_check.register
def _(
    part: sheet_model.GroupModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    yield from scope.groups.use(part.name, (*place, "name"))
    for index, schema in enumerate(part.schemas):
        yield from scope.schemas.use(schema, (*place, "schemas", index))
    yield from _check_each(part.databases, (*place, "databases"), scope)


@_check.register
def _(
    part: sheet_model.DatabaseModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    yield from scope.databases.use(part.name, (*place, "name"))
    address = f"{part.host}:{part.port}"
    yield from scope.addresses.use(address, (*place, "port"))
    yield from _limits(part, place, scope.sheet.proxies)


@_check.register
def _(
    part: sheet_model.PlannedStopModel, place: border.Place, scope: _Scope
) -> Iterator[border.Breach]:
    known = scope.databases.used | set(scope.sheet.entry_instances)
    if part.instance not in known:
        reason = (
            "names no database of the sheet and no entry instance; correct "
            "the name or list it under entry_instances"
        )
        yield border.Breach((*place, "instance"), part.instance, reason)


def _unique(
    parts: Iterable[
        sheet_model.RankModel
        | sheet_model.ReadClassModel
        | sheet_model.UserModel
    ],
    kind: str,
    place: border.Place,
) -> Iterator[border.Breach]:
    names = _Names(kind)
    for index, part in enumerate(parts):
        yield from names.use(part.name, (*place, index, "name"))


def _floors(
    service: sheet_model.ServiceModel, place: border.Place
) -> Iterator[border.Breach]:
    total = sum(rank.floor for rank in service.ranks)
    if total > 1 + _ROUNDING:
        reason = f"the floors add up to {total:g}; lower them to 1 or less"
        yield border.Breach((*place, "ranks"), None, reason)


def _users(
    service: sheet_model.ServiceModel, place: border.Place
) -> Iterator[border.Breach]:
    ranks = {rank.name for rank in service.ranks}
    reads = {read.name for read in service.reads}
    for index, user in enumerate(service.users):
        where = (*place, "users", index)
        if user.rank not in ranks:
            reason = f"no rank of this service; known: {_listed(ranks)}"
            yield border.Breach((*where, "rank"), user.rank, reason)
        if user.reads is not None and user.reads not in reads:
            reason = f"no kind of read here; known: {_listed(reads)}"
            yield border.Breach((*where, "reads"), user.reads, reason)


def _limits(
    database: sheet_model.DatabaseModel, place: border.Place, proxies: int
) -> Iterator[border.Breach]:
    needed = proxies * _CONNECTIONS_A_PROXY
    if database.connections < needed:
        reason = (
            f"no share fits: {proxies} proxies need {needed} connections, "
            "one for control and one for statements each; raise it or lower "
            "proxies"
        )
        yield border.Breach(
            (*place, "connections"), database.connections, reason
        )
    if database.slots > database.connections:
        reason = f"more than the {database.connections} connections; lower it"
        yield border.Breach((*place, "slots"), database.slots, reason)


def _listed(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"
