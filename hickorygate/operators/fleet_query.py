"""Queries the status of a whole fleet of proxies.

A command names some proxies; further proxies are found through the member lists
in their answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import sys

from absl import flags
import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.operators import client as admin_client
from hickorygate.operators import failures
from hickorygate.operators import status as statuses

__all__ = ["AddressFlags", "FleetStatus", "query_fleet", "report_failures"]


class AddressFlags:
    """The flags that select proxies by their admin addresses."""

    __slots__ = ("_admin", "_name", "_settings")

    def __init__(self, name: str, values: flags.FlagValues) -> None:
        self._name = name
        self._admin = flags.DEFINE_list(
            "admin",
            [],
            "HOST:PORT of admin ports; commands that query the fleet also "
            "query the proxies that these proxies list as members.",
            flag_values=values,
        )
        self._settings = flags.DEFINE_string(
            "settings",
            None,
            "Settings file of a proxy, to read addresses from.",
            flag_values=values,
        )

    def __repr__(self) -> str:
        return f"AddressFlags({self._name!r})"

    @property
    def settings(self) -> pathlib.Path | None:
        """Path from the `--settings` flag; None if the flag is absent."""
        value = self._settings.value
        return None if value is None else pathlib.Path(value)

    def read(self) -> expression.Result[tuple[str, ...], errors.Failure]:
        """Returns the admin addresses that the flags select."""
        if self._admin.value:
            return expression.Ok(tuple(self._admin.value))
        if self.settings is not None:
            return settings_lib.load(self.settings).map(
                lambda found: (f"{found.admin.host}:{found.admin.port}",)
            )
        reason = "needs --admin HOST:PORT[,HOST:PORT...] or --settings FILE"
        return expression.Error(failures.UsageError(self._name, reason))


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """The answers of the proxies of a fleet.

    Attributes:
      found: status of each proxy that answered, by admin address.
      missing: failure of each proxy that did not answer.
    """

    found: dict[str, statuses.ProxyStatus]
    missing: tuple[failures.ProxyUnreachable, ...]


async def query_fleet(
    client: admin_client.AdminClient, addresses: Sequence[str]
) -> FleetStatus:
    """Queries the given proxies, then the members that they list.

    Args:
      client: client for the admin ports.
      addresses: admin addresses to query first.
    """
    first = await _query(client, addresses)
    known = {
        member.admin
        for status in first.found.values()
        for member in status.members
        if member.admin
    }
    others = sorted(known - set(addresses))
    second = await _query(client, others)
    return FleetStatus(
        {**first.found, **second.found}, (*first.missing, *second.missing)
    )


def report_failures(
    missing: Sequence[failures.ProxyUnreachable],
) -> expression.Result[None, errors.Failure]:
    """Returns the first failure as an error and prints the others."""
    for failure in missing[1:]:
        print(failure.message, file=sys.stderr)
    return expression.Error(missing[0]) if missing else expression.Ok(None)


async def _query(
    client: admin_client.AdminClient, addresses: Iterable[str]
) -> FleetStatus:
    names = list(addresses)
    answers = await asyncio.gather(*(client.status(name) for name in names))
    found = {}
    missing = []
    for address, answer in zip(names, answers, strict=True):
        match answer:
            case expression.Result(tag="ok", ok=status):
                found[address] = status
            case expression.Result(tag="error", error=failure):
                missing.append(failure)
    return FleetStatus(found, tuple(missing))
