"""`hickorygate status` and `hickorygate drain`: query and stop proxies."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from absl import flags
import expression

from hickorygate.operators import client as admin_client
from hickorygate.operators import command as commands
from hickorygate.operators import fleet_query
from hickorygate.operators import status as statuses

__all__ = ["DRAIN", "STATUS", "Drain", "ShowStatus"]

_STATUS_FLAGS = commands.new_flags()
_STATUS_ADDRESSES = fleet_query.AddressFlags("status", _STATUS_FLAGS)
_JSON = flags.DEFINE_bool(
    "json", False, "Print one JSON line per proxy.", flag_values=_STATUS_FLAGS
)
_DRAIN_FLAGS = commands.new_flags()
_DRAIN_ADDRESSES = fleet_query.AddressFlags("drain", _DRAIN_FLAGS)


@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus(commands.Command):
    """Prints the status of a fleet.

    Attributes:
      addresses: admin addresses of proxies to query first.
      json: whether to print JSON lines instead of text.
    """

    addresses: tuple[str, ...]
    json: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Drain(commands.Command):
    """Shuts one proxy down gracefully.

    Attributes:
      address: admin address of the proxy.
    """

    address: str


def _parse_status(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(
            "status", f"unexpected argument {words[0]!r}"
        )
    return _STATUS_ADDRESSES.read().map(
        lambda found: ShowStatus(found, _JSON.value)
    )


def _parse_drain(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(
            "drain", f"unexpected argument {words[0]!r}"
        )
    return _DRAIN_ADDRESSES.read().bind(_one_address)


def _one_address(addresses: tuple[str, ...]) -> commands.ParseResult:
    if len(addresses) != 1:
        return commands.usage_error(
            "drain", "needs the address of exactly one proxy"
        )
    return expression.Ok(Drain(addresses[0]))


STATUS = commands.CommandFamily(
    "status",
    (
        commands.CommandUsage(
            "status --admin HOST:PORT [--json]",
            "show the status of proxies and databases",
        ),
    ),
    _STATUS_FLAGS,
    _parse_status,
)
DRAIN = commands.CommandFamily(
    "drain",
    (
        commands.CommandUsage(
            "drain --admin HOST:PORT", "shut one proxy down gracefully"
        ),
    ),
    _DRAIN_FLAGS,
    _parse_drain,
)


@commands.execute.register
async def _(command: ShowStatus) -> commands.Result:
    client = admin_client.AdminClient()
    try:
        fleet_status = await fleet_query.query_fleet(client, command.addresses)
    finally:
        await client.close()
    for address, status in sorted(fleet_status.found.items()):
        if command.json:
            print(status.model_dump_json())
        else:
            print("\n".join(_format_status(address, status)))
    return fleet_query.report_failures(fleet_status.missing)


@commands.execute.register
async def _(command: Drain) -> commands.Result:
    client = admin_client.AdminClient()
    try:
        answer = await client.drain(command.address)
    finally:
        await client.close()
    if answer.is_ok():
        print(f"{command.address}: {answer.ok.strip()}")
    return answer.map(lambda _: None)


def _format_status(address: str, status: statuses.ProxyStatus) -> Iterator[str]:
    state = "ready" if status.ready else "; ".join(status.unready)
    share = status.replica_share
    reads = "" if share is None else f", {share:.1%} of reads from replicas"
    yield (
        f"{status.name} ({status.zone}, admin {address}): {state}, "
        f"sheet {status.sheet or 'none'}, {status.callers} callers, "
        f"{len(status.members)} peers{reads}"
    )
    for group in status.groups:
        primary = group.primary or "no primary"
        yield f"  {group.name}: {primary}, term {group.term}"
        for database in group.databases:
            yield f"    {_format_database(database)}"


def _format_database(database: statuses.DatabaseStatus) -> str:
    if database.role is None:
        return f"{database.name}: no answer"
    pool = database.pool
    return (
        f"{database.name}: {database.role.value}, applied {database.applied}, "
        f"{database.lag_entries} behind, {pool.leased} leased, "
        f"{pool.idle} idle, {sum(pool.waiting.values())} waiting"
    )
