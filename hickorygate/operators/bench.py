"""`hickorygate bench`: load tests against stand-in databases.

Over the MySQL protocol, the command compares admission policies in front of
one database. Over the line protocol, it puts load on whole proxies in front of
a group and injects faults into the group's primary at given times.
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
from hickorygate.testing import line_load
from hickorygate.testing import pool_load

__all__ = ["Bench", "FAMILY", "LineBench"]

_NAME = "bench"
_POLICIES = {
    "plain": pool_load.Plain(),
    "fifo": admission.Fifo(),
    "priority": admission.StrictPriority(),
    "floors": admission.Floors(),
}


def _milliseconds(count: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


_URGENT = ranks.Rank("urgent", 0, _milliseconds(250), 0.5)
_NORMAL = ranks.Rank("normal", 1, _milliseconds(1_000), 0.2)
_HISTORY = ranks.Rank("history", 2, _milliseconds(10_000), 0.05)


def _streams(
    urgent: float, normal: float, history: float
) -> tuple[pool_load.Stream, ...]:
    """Returns one request stream per rank.

    Args:
      urgent: load of the urgent rank, as a fraction of the database's capacity.
      normal: load of the normal rank, as the same fraction.
      history: load of the history rank, as the same fraction.
    """
    return (
        pool_load.Stream(_URGENT, _milliseconds(20), urgent),
        pool_load.Stream(_NORMAL, _milliseconds(20), normal),
        pool_load.Stream(_HISTORY, _milliseconds(50), history),
    )


_SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        pool_load.Scenario("capacity", _streams(0.3, 0.3, 0.4)),
        pool_load.Scenario("histories", _streams(0.3, 0.3, 10.0)),
        pool_load.Scenario("urgent", _streams(5.0, 0.4, 0.2)),
    )
}

_FAULT_PATTERN = re.compile(
    r"(?P<kind>[a-z]+)@(?P<at>[0-9.]+)\+(?P<lasts>[0-9.]+)"
)

_FLAGS = commands.new_flags()
_POLICY = flags.DEFINE_list(
    "policy",
    list(_POLICIES),
    f"Admission policies to compare: {', '.join(_POLICIES)}.",
    flag_values=_FLAGS,
)
_SCENARIO = flags.DEFINE_list(
    "scenario",
    list(_SCENARIOS),
    f"Load scenarios to run: {', '.join(_SCENARIOS)}.",
    flag_values=_FLAGS,
)
_SECONDS = flags.DEFINE_integer(
    "seconds",
    10,
    "Length of a run, in seconds.",
    lower_bound=1,
    flag_values=_FLAGS,
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Random seed of the request arrivals.", flag_values=_FLAGS
)
_PROXIES = flags.DEFINE_integer(
    "proxies", 5, "Number of proxies.", lower_bound=1, flag_values=_FLAGS
)
_CONNECTIONS = flags.DEFINE_integer(
    "connections",
    20,
    "Connections that the database accepts.",
    lower_bound=1,
    flag_values=_FLAGS,
)
_SLOTS = flags.DEFINE_integer(
    "slots",
    3,
    "Statements that the database can run at once without slowing down.",
    lower_bound=1,
    flag_values=_FLAGS,
)
_JSON = flags.DEFINE_string(
    "json",
    None,
    "MySQL protocol: JSON file to write the reports to.",
    flag_values=_FLAGS,
)
_PROTOCOL = flags.DEFINE_enum(
    "protocol",
    "mysql",
    ["mysql", "line"],
    "Protocol of the load; `line` is the protocol of the users' platform.",
    flag_values=_FLAGS,
)
_LOAD = flags.DEFINE_list(
    "load",
    ["0.1", "0.3", "0.1"],
    "Line protocol: load of the urgent, normal and history rank, each as a "
    "fraction of the group's capacity.",
    flag_values=_FLAGS,
)
_FAULT = flags.DEFINE_list(
    "fault",
    [],
    "Line protocol: faults of the primary as KIND@START+DURATION, in seconds; "
    f"kinds: {', '.join(line_load.FAULTS)}.",
    flag_values=_FLAGS,
)
_HTML = flags.DEFINE_string(
    "html",
    None,
    "Line protocol: HTML file to write the report with its charts to.",
    flag_values=_FLAGS,
)
_FLAGS_OF_OTHER_PROTOCOLS = {
    "mysql": (_LOAD, _FAULT, _HTML),
    "line": (_POLICY, _SCENARIO, _CONNECTIONS, _JSON),
}
"""Flags that a protocol's bench would ignore."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bench(commands.Command):
    """Runs each scenario under each admission policy.

    Attributes:
      policies: admission policies to compare.
      scenarios: load scenarios to run.
      setup: parameters of each run.
      json: file for the reports; None to write none.
    """

    policies: tuple[admission.SchedulingPolicy, ...]
    scenarios: tuple[pool_load.Scenario, ...]
    setup: pool_load.Setup
    json: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class LineBench(commands.Command):
    """Puts load on whole proxies over the line protocol.

    Attributes:
      setup: parameters of the run.
      html: file for the report with its charts; None to write none.
    """

    setup: line_load.Setup
    html: pathlib.Path | None


def _parse_fault(text: str) -> line_load.Fault:
    """Parses `KIND@START+DURATION`, with both times in seconds.

    Raises:
      ValueError: the text has another form, or the kind is unknown.
    """
    found = _FAULT_PATTERN.fullmatch(text)
    if found is None or found["kind"] not in line_load.FAULTS:
        known = ", ".join(line_load.FAULTS)
        raise ValueError(
            f"invalid fault {text!r}; expected KIND@START+DURATION, with KIND "
            f"one of: {known}"
        )
    return line_load.FAULTS[found["kind"]](
        datetime.timedelta(seconds=float(found["at"])),
        datetime.timedelta(seconds=float(found["lasts"])),
    )


def _parse_loads(texts: Sequence[str]) -> tuple[float, float, float]:
    """Parses the loads of the urgent, normal and history rank.

    Raises:
      ValueError: the texts are not three numbers.
    """
    given = ",".join(texts)
    try:
        urgent, normal, history = (float(text) for text in texts)
    except ValueError:
        raise ValueError(
            f"invalid load {given!r}; expected three numbers, as in 0.1,0.3,0.1"
        ) from None
    return urgent, normal, history


def _find_unused_flag(protocol: str) -> str | None:
    """Returns a flag that was given although the protocol doesn't use it."""
    for flag in _FLAGS_OF_OTHER_PROTOCOLS[protocol]:
        if flag.present:
            return flag.name
    return None


def _parse_line_bench() -> commands.ParseResult:
    try:
        faults = tuple(_parse_fault(text) for text in _FAULT.value)
        loads = _parse_loads(_LOAD.value)
    except ValueError as error:
        return commands.usage_error(_NAME, str(error))
    setup = line_load.Setup(
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
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    unused = _find_unused_flag(_PROTOCOL.value)
    if unused is not None:
        other = "mysql" if _PROTOCOL.value == "line" else "line"
        return commands.usage_error(
            _NAME, f"--{unused} needs --protocol {other}"
        )
    if _PROTOCOL.value == "line":
        return _parse_line_bench()
    for name in _POLICY.value:
        if name not in _POLICIES:
            known = ", ".join(_POLICIES)
            return commands.usage_error(
                _NAME, f"unknown policy {name!r}; expected one of: {known}"
            )
    for name in _SCENARIO.value:
        if name not in _SCENARIOS:
            known = ", ".join(_SCENARIOS)
            return commands.usage_error(
                _NAME, f"unknown scenario {name!r}; expected one of: {known}"
            )
    setup = pool_load.Setup(
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


FAMILY = commands.CommandFamily(
    _NAME,
    (
        commands.CommandUsage(
            "bench [--policy P,..] [--scenario S,..] [--seconds N] [--seed N]",
            "overload a stand-in database and compare admission policies",
        ),
        commands.CommandUsage(
            "bench --protocol line [--fault KIND@S+S,..] [--html FILE]",
            "put load on proxies in front of a group whose primary fails",
        ),
    ),
    _FLAGS,
    _parse,
)


def _format_report(report: pool_load.Report) -> str:
    """Returns a report as human-readable text."""
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
            report = await pool_load.run(policy, scenario, command.setup, clock)
            print(_format_report(report), flush=True)
            reports.append(dataclasses.asdict(report))
    if command.json is not None:
        text = orjson.dumps(reports, option=orjson.OPT_INDENT_2)
        command.json.write_bytes(text + b"\n")
    return expression.Ok(None)


@commands.execute.register
async def _(command: LineBench) -> commands.Result:
    report = await line_load.run(command.setup, clocks.SystemClock())
    print(line_report.text(report))
    if command.html is not None:
        command.html.write_text(
            line_report.render_html(report), encoding="utf-8"
        )
    return expression.Ok(None)
