"""`hickorygate timeline`: prints the events of all proxies in causal order."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq

from absl import flags

from hickorygate.core import events
from hickorygate.operators import client as admin_client
from hickorygate.operators import command as commands
from hickorygate.operators import event_codec
from hickorygate.operators import fleet_query

__all__ = ["FAMILY", "ShowTimeline", "merge"]

_NAME = "timeline"
_FLAGS = commands.new_flags()
_ADDRESSES = fleet_query.AddressFlags(_NAME, _FLAGS)
_JSON = flags.DEFINE_bool(
    "json", False, "Print one JSON line per event.", flag_values=_FLAGS
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShowTimeline(commands.Command):
    """Prints the merged events of a fleet.

    Attributes:
      addresses: admin addresses of proxies to query first.
      json: whether to print JSON lines instead of text.
    """

    addresses: tuple[str, ...]
    json: bool


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    return _ADDRESSES.read().map(lambda found: ShowTimeline(found, _JSON.value))


FAMILY = commands.CommandFamily(
    _NAME,
    (
        commands.CommandUsage(
            "timeline --admin HOST:PORT [--json]",
            "show the events of all proxies in order",
        ),
    ),
    _FLAGS,
    _parse,
)


def _order(recorded: events.RecordedEvent) -> tuple[events.Timestamp, str]:
    return recorded.stamp, recorded.process


def merge(
    lines: Iterable[Sequence[events.RecordedEvent]],
) -> tuple[events.RecordedEvent, ...]:
    """Merges the events of several processes into one causal order.

    Events are sorted by timestamp. Timestamps are hybrid logical times: they
    ascend within a process and along each message between processes. So the
    events of a process stay in order, and no event precedes an event of
    another process that could have caused it.

    Args:
      lines: events of each process, oldest first.
    """
    return tuple(heapq.merge(*lines, key=_order))


@commands.execute.register
async def _(command: ShowTimeline) -> commands.Result:
    client = admin_client.AdminClient()
    try:
        fleet_status = await fleet_query.query_fleet(client, command.addresses)
        answers = await asyncio.gather(
            *(client.timeline(address) for address in fleet_status.found)
        )
    finally:
        await client.close()
    missing = [
        *fleet_status.missing,
        *(a.error for a in answers if a.is_error()),
    ]
    encode = (
        event_codec.encode_json if command.json else event_codec.format_text
    )
    for recorded in merge(a.ok for a in answers if a.is_ok()):
        print(encode(recorded))
    return fleet_query.report_failures(missing)
