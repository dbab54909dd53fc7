"""The proxies that a command asks: those named, and those that they know."""

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

__all__ = ["AddressFlags", "Survey", "survey", "unless_missing"]


class AddressFlags:
    """The flags that name proxies by their admin ports."""

    __slots__ = ("_admin", "_name", "_settings")

    def __init__(self, name: str, values: flags.FlagValues) -> None:
        self._name = name
        self._admin = flags.DEFINE_list(
            "admin",
            [],
            "HOST:PORT of admin ports; the proxies that these know are "
            "asked too.",
            flag_values=values,
        )
        self._settings = flags.DEFINE_string(
            "settings",
            None,
            "A proxy's settings file, to take addresses from.",
            flag_values=values,
        )

    def __repr__(self) -> str:
        return f"AddressFlags({self._name!r})"

    @property
    def settings(self) -> pathlib.Path | None:
        """The settings file that the command line names."""
        value = self._settings.value
        return None if value is None else pathlib.Path(value)

    def read(self) -> expression.Result[tuple[str, ...], errors.Failure]:
        """Returns the addresses that the command line names."""
        if self._admin.value:
            return expression.Ok(tuple(self._admin.value))
        if self.settings is not None:
            return settings_lib.load(self.settings).map(
                lambda found: (f"{found.admin.host}:{found.admin.port}",)
            )
        reason = "needs --admin HOST:PORT[,HOST:PORT...] or --settings FILE"
        return expression.Error(failures.UsageError(self._name, reason))


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """What the proxies of a fleet said.

    Attributes:
      found: statuses by admin address.
      missing: proxies that did not answer.
    """

    found: dict[str, statuses.ProxyStatus]
    missing: tuple[failures.ProxyUnreachable, ...]


async def survey(
    client: admin_client.AdminClient, addresses: Sequence[str]
) -> Survey:
    """Asks the named proxies, then those that they know."""
    first = await _ask(client, addresses)
    known = {
        member.admin
        for status in first.found.values()
        for member in status.members
        if member.admin
    }
    others = sorted(known - set(addresses))
    second = await _ask(client, others)
    return Survey(
        {**first.found, **second.found}, (*first.missing, *second.missing)
    )


def unless_missing(
    missing: Sequence[failures.ProxyUnreachable],
) -> expression.Result[None, errors.Failure]:
    """Fails with the first proxy that is missing and prints the others."""
    for failure in missing[1:]:
        print(failure.message, file=sys.stderr)
    return expression.Error(missing[0]) if missing else expression.Ok(None)


async def _ask(
    client: admin_client.AdminClient, addresses: Iterable[str]
) -> Survey:
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
    return Survey(found, tuple(missing))
