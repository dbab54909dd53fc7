"""`hickorygate bench`: loads stand-ins, in either front end's protocol.

In MySQL's, policy beside policy in front of one database; in the line protocol,
whole proxies before a group, with faults at set times.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import datetime
import pathlib
import re

from absl import flags
import expression
import orjson

from hickorygate.core import admission
from hickorygate.core import clock as clocks
from hickorygate.core import rank as ranks
from hickorygate.operators import command as commands
from hickorygate.operators import line_report
from hickorygate.testing import flood
from hickorygate.testing import line_bench

__all__ = ["Bench", "FAMILY", "LineBench"]

_NAME = "bench"
_POLICIES = {
    "plain": flood.Plain(),
    "fifo": admission.Fifo(),
    "priority": admission.StrictPriority(),
    "floors": admission.Floors(),
}


def _milliseconds(count: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


_URGENT = ranks.Rank("urgent", 0, _milliseconds(250), 0.5)
_NORMAL = ranks.Rank("normal", 1, _milliseconds(1_000), 0.2)
_HISTORY = ranks.Rank("history", 2, _milliseconds(10_000), 0.05)


def _mix(
    urgent: float, normal: float, history: float
) -> tuple[flood.Stream, ...]:
    """Returns streams by their load, as parts of the capacity."""
    return (
        flood.Stream(_URGENT, _milliseconds(20), urgent),
        flood.Stream(_NORMAL, _milliseconds(20), normal),
        flood.Stream(_HISTORY, _milliseconds(50), history),
    )


_SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        flood.Scenario("capacity", _mix(0.3, 0.3, 0.4)),
        flood.Scenario("histories", _mix(0.3, 0.3, 10.0)),
        flood.Scenario("urgent", _mix(5.0, 0.4, 0.2)),
    )
}

_FAULT_FORM = re.compile(
    r"(?P<kind>[a-z]+)@(?P<at>[0-9.]+)\+(?P<lasts>[0-9.]+)"
)

_FLAGS = commands.new_flags()
_POLICY = flags.DEFINE_list(
    "policy",
    list(_POLICIES),
    f"Policies to compare: {', '.join(_POLICIES)}.",
    flag_values=_FLAGS,
)
_SCENARIO = flags.DEFINE_list(
    "scenario",
    list(_SCENARIOS),
    f"Loads to offer: {', '.join(_SCENARIOS)}.",
    flag_values=_FLAGS,
)
_SECONDS = flags.DEFINE_integer(
    "seconds", 10, "Length of a run.", lower_bound=1, flag_values=_FLAGS
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of the arrivals.", flag_values=_FLAGS
)
_PROXIES = flags.DEFINE_integer(
    "proxies", 5, "Proxies.", lower_bound=1, flag_values=_FLAGS
)
_CONNECTIONS = flags.DEFINE_integer(
    "connections",
    20,
    "Connections that the database takes.",
    lower_bound=1,
    flag_values=_FLAGS,
)
_SLOTS = flags.DEFINE_integer(
    "slots",
    3,
    "Statements that the database runs well at once.",
    lower_bound=1,
    flag_values=_FLAGS,
)
_JSON = flags.DEFINE_string(
    "json", None, "File for the reports as JSON.", flag_values=_FLAGS
)
_PROTOCOL = flags.DEFINE_enum(
    "protocol",
    "mysql",
    ["mysql", "line"],
    "Front end to load; `line` is that of the users' platform.",
    flag_values=_FLAGS,
)
_LOAD = flags.DEFINE_list(
    "load",
    ["0.1", "0.3", "0.1"],
    "Line protocol: load of the urgent, normal and history rank, as parts of "
    "the group's capacity.",
    flag_values=_FLAGS,
)
_FAULT = flags.DEFINE_list(
    "fault",
    [],
    "Line protocol: what happens to the primary, as KIND@SECONDS+SECONDS; "
    f"kinds: {', '.join(line_bench.FAULTS)}.",
    flag_values=_FLAGS,
)
_HTML = flags.DEFINE_string(
    "html",
    None,
    "Line protocol: file for the report with its charts.",
    flag_values=_FLAGS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bench(commands.Command):
    """Runs each scenario under each policy."""

    policies: tuple[admission.Policy, ...]
    scenarios: tuple[flood.Scenario, ...]
    setup: flood.Setup
    json: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class LineBench(commands.Command):
    """Loads whole proxies in the line protocol."""

    setup: line_bench.Setup
    html: pathlib.Path | None


def _parse_fault(text: str) -> line_bench.Fault:
    """Decodes `KIND@SECONDS+SECONDS`.

    Raises:
      ValueError: the text is something else.
    """
    found = _FAULT_FORM.fullmatch(text)
    if found is None or found["kind"] not in line_bench.FAULTS:
        known = ", ".join(line_bench.FAULTS)
        raise ValueError(
            f"fault {text!r}; write KIND@SECONDS+SECONDS, kinds: {known}"
        )
    return line_bench.FAULTS[found["kind"]](
        datetime.timedelta(seconds=float(found["at"])),
        datetime.timedelta(seconds=float(found["lasts"])),
    )


def _parse_loads(texts: Sequence[str]) -> tuple[float, float, float]:
    """Decodes the load of each rank.

    Raises:
      ValueError: they are not three numbers.
    """
    given = ",".join(texts)
    try:
        urgent, normal, history = (float(text) for text in texts)
    except ValueError:
        raise ValueError(
            f"load {given!r}; write three numbers, as 0.1,0.3,0.1"
        ) from None
    return urgent, normal, history


def _parse_line() -> commands.ParseResult:
    try:
        faults = tuple(_parse_fault(text) for text in _FAULT.value)
        loads = _parse_loads(_LOAD.value)
    except ValueError as error:
        return commands.usage(_NAME, str(error))
    setup = line_bench.Setup(
        proxies=_PROXIES.value,
        slots=_SLOTS.value,
        loads=loads,
        duration=datetime.timedelta(seconds=_SECONDS.value),
        faults=faults,
        seed=_SEED.value,
    )
    page = pathlib.Path(_HTML.value) if _HTML.value else None
    return expression.Ok(LineBench(setup, page))


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage(_NAME, f"takes no {words[0]!r}")
    if _PROTOCOL.value == "line":
        return _parse_line()
    for name in _POLICY.value:
        if name not in _POLICIES:
            known = ", ".join(_POLICIES)
            return commands.usage(_NAME, f"policy {name!r}; known: {known}")
    for name in _SCENARIO.value:
        if name not in _SCENARIOS:
            known = ", ".join(_SCENARIOS)
            return commands.usage(_NAME, f"scenario {name!r}; known: {known}")
    setup = flood.Setup(
        proxies=_PROXIES.value,
        connections=_CONNECTIONS.value,
        slots=_SLOTS.value,
        duration=datetime.timedelta(seconds=_SECONDS.value),
        seed=_SEED.value,
    )
    return expression.Ok(
        Bench(
            tuple(_POLICIES[name] for name in _POLICY.value),
            tuple(_SCENARIOS[name] for name in _SCENARIO.value),
            setup,
            pathlib.Path(_JSON.value) if _JSON.value else None,
        )
    )


FAMILY = commands.Family(
    _NAME,
    (
        commands.Usage(
            "bench [--policy P,..] [--scenario S,..] [--seconds N] [--seed N]",
            "flood a stand-in database and compare policies",
        ),
        commands.Usage(
            "bench --protocol line [--fault KIND@S+S,..] [--html FILE]",
            "load proxies before a group whose primary fails",
        ),
    ),
    _FLAGS,
    _parse,
)


def _text(report: flood.Report) -> str:
    """Returns a report for a person."""
    lines = [
        f"{report.scenario}, {report.policy}: useful work {report.useful:.1%} "
        f"of capacity; at most {report.most_running} statements and "
        f"{report.most_connections} connections at once"
    ]
    for rank in report.ranks:
        lines.append(
            f"  {rank.rank:<8} offered {rank.offered:>6}  answered "
            f"{rank.answered:>5}  refused {rank.refused:>6} "
            f"(p99 {rank.refused_p99:7.1f} ms)  in {rank.target:.0f} ms "
            f"{rank.within_target:7.2%}  p99.9 {rank.p999:8.1f} ms  share "
            f"{rank.share:6.1%} (floor {rank.floor:.0%})"
        )
    return "\n".join(lines)


@commands.execute.register
async def _(command: Bench) -> commands.Result:
    clock = clocks.SystemClock()
    reports = []
    for scenario in command.scenarios:
        for policy in command.policies:
            report = await flood.run(policy, scenario, command.setup, clock)
            print(_text(report), flush=True)
            reports.append(dataclasses.asdict(report))
    if command.json is not None:
        text = orjson.dumps(reports, option=orjson.OPT_INDENT_2)
        command.json.write_bytes(text + b"\n")
    return expression.Ok(None)


@commands.execute.register
async def _(command: LineBench) -> commands.Result:
    report = await line_bench.run(command.setup, clocks.SystemClock())
    print(line_report.text(report))
    if command.html is not None:
        command.html.write_text(line_report.page(report), encoding="utf-8")
    return expression.Ok(None)
