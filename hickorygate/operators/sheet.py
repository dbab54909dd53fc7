"""`hickorygate sheet`: validates, stores and prints the sheet.

The sheet in force is stored in the object API of the platform.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import getpass
import pathlib
import random

from absl import flags
import expression
import pydantic

from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.core import yaml_validation
from hickorygate.operators import client as admin_client
from hickorygate.operators import command as commands
from hickorygate.operators import failures
from hickorygate.operators import fleet_query
from hickorygate.platform import connect
from hickorygate.store import client as clients
from hickorygate.store import objects

__all__ = ["FAMILY", "CheckSheet", "LoadSheet", "ShowSheet", "CompareSheets"]

_NAME = "sheet"
_USAGES = (
    commands.CommandUsage("sheet check FILE", "validate a sheet"),
    commands.CommandUsage(
        "sheet load FILE --platform URL [--replaces N]",
        "store a sheet and put it in force",
    ),
    commands.CommandUsage(
        "sheet show --platform URL", "print the stored sheet"
    ),
    commands.CommandUsage(
        "sheet status --admin HOST:PORT",
        "compare the sheet versions of the proxies",
    ),
)

_FLAGS = commands.new_flags()
_PLATFORM = flags.DEFINE_string(
    "platform",
    None,
    "Base URL of the platform's object API.",
    flag_values=_FLAGS,
)
_ADDRESSES = fleet_query.AddressFlags(_NAME, _FLAGS)
_REPLACES = flags.DEFINE_integer(
    "replaces",
    None,
    "Store the sheet only if this version is stored; 0 if no sheet is stored.",
    lower_bound=0,
    flag_values=_FLAGS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckSheet(commands.Command):
    """Validates a sheet without storing it.

    Attributes:
      path: path of the sheet.
    """

    path: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSheet(commands.Command):
    """Stores a sheet.

    Attributes:
      path: path of the sheet.
      platform: settings of the platform that stores the sheet.
      replaces: version that must be stored for the command to succeed; 0 for no
        sheet, None for the version that is stored when the command starts.
    """

    path: pathlib.Path
    platform: settings_lib.PlatformSettings
    replaces: types.SheetVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class ShowSheet(commands.Command):
    """Prints the stored sheet.

    Attributes:
      platform: settings of the platform that stores the sheet.
    """

    platform: settings_lib.PlatformSettings


@dataclasses.dataclass(frozen=True, slots=True)
class CompareSheets(commands.Command):
    """Prints the version of the sheet in force on each proxy.

    Attributes:
      addresses: admin addresses of proxies to query first.
    """

    addresses: tuple[str, ...]


def _parse(words: Sequence[str]) -> commands.ParseResult:
    match tuple(words):
        case ("check", path):
            return expression.Ok(CheckSheet(pathlib.Path(path)))
        case ("load", path):
            return _platform_settings().map(
                lambda platform: LoadSheet(
                    pathlib.Path(path), platform, _REPLACES.value
                )
            )
        case ("show",):
            return _platform_settings().map(ShowSheet)
        case ("status",):
            return _ADDRESSES.read().map(CompareSheets)
    known = "\n".join(f"  {usage.syntax}" for usage in _USAGES)
    return commands.usage_error(_NAME, f"expected one of:\n{known}")


def _platform_settings() -> expression.Result[
    settings_lib.PlatformSettings, errors.Failure
]:
    if _PLATFORM.value is not None:
        return _settings_for_url(_PLATFORM.value)
    if _ADDRESSES.settings is not None:
        path = _ADDRESSES.settings
        return settings_lib.load(path).map(lambda found: found.platform)
    reason = "needs --platform URL or --settings FILE"
    return expression.Error(failures.UsageError(_NAME, reason))


def _settings_for_url(
    url: str,
) -> expression.Result[settings_lib.PlatformSettings, errors.Failure]:
    """Returns settings for a platform at a URL, with defaults for the rest."""
    try:
        return expression.Ok(settings_lib.PlatformSettings(url=url))
    except pydantic.ValidationError:
        reason = f"expected http://HOST:PORT (found {url!r})"
        return expression.Error(failures.UsageError("--platform", reason))


FAMILY = commands.CommandFamily(_NAME, _USAGES, _FLAGS, _parse)


def _read(
    path: pathlib.Path,
) -> expression.Result[sheets.Sheet, errors.FileInvalid]:
    return yaml_validation.read_file(path).bind(
        lambda text: sheets.parse(text, path=str(path))
    )


@commands.execute.register
async def _(command: CheckSheet) -> commands.Result:
    sheet = _read(command.path)
    if sheet.is_ok():
        print(f"{command.path}: valid, {_summary(sheet.ok)}")
    return sheet.map(lambda _: None)


def _summary(sheet: sheets.Sheet) -> str:
    groups = [group for s in sheet.services for group in s.groups]
    count = sum(len(group.databases) for group in groups)
    return (
        f"{len(sheet.services)} services, {len(groups)} groups, "
        f"{count} databases"
    )


@commands.execute.register
async def _(command: LoadSheet) -> commands.Result:
    sheet = _read(command.path)
    if sheet.is_error():
        return expression.Error(sheet.error)
    client = _client(command.platform)
    try:
        stored = await _store(client, sheet.ok, command.replaces)
    finally:
        await client.close()
    if stored.is_ok():
        print(f"{command.path}: in force as version {stored.ok}")
    return stored.map(lambda _: None)


def _client(settings: settings_lib.PlatformSettings) -> clients.Client:
    return connect.build_client(settings, clock.SystemClock(), random.Random())


async def _store(
    client: clients.Client,
    sheet: sheets.Sheet,
    replaces: types.SheetVersion | None,
) -> expression.Result[types.SheetVersion, errors.Failure]:
    if replaces is None:
        found = await client.sheet()
        if found.is_error():
            return expression.Error(found.error)
        if found.ok and found.ok.value.text == sheet.text:
            return expression.Ok(found.ok.version)
        replaces = found.ok.version if found.ok else 0
    value = objects.SheetObject(
        text=sheet.text,
        loaded_by=getpass.getuser(),
        loaded_at=clock.SystemClock().now(),
    )
    return await client.store_sheet(value, replaces)


@commands.execute.register
async def _(command: ShowSheet) -> commands.Result:
    client = _client(command.platform)
    try:
        found = await client.sheet()
    finally:
        await client.close()
    if found.is_error():
        return expression.Error(found.error)
    if found.ok is None:
        print("# no sheet is stored; use `hickorygate sheet load`")
        return expression.Ok(None)
    value = found.ok.value
    print(
        f"# version {found.ok.version}, loaded by {value.loaded_by} "
        f"at {value.loaded_at.isoformat()}"
    )
    print(value.text, end="")
    return expression.Ok(None)


@commands.execute.register
async def _(command: CompareSheets) -> commands.Result:
    client = admin_client.AdminClient()
    try:
        fleet_status = await fleet_query.query_fleet(client, command.addresses)
    finally:
        await client.close()
    versions = {status.sheet for status in fleet_status.found.values()}
    for address, status in sorted(fleet_status.found.items()):
        print(f"{status.name} ({address}): version {status.sheet or 'none'}")
    if fleet_status.missing:
        return fleet_query.report_failures(fleet_status.missing)
    if len(versions) > 1:
        return expression.Error(failures.SheetsDiffer())
    return expression.Ok(None)
