"""`hickorygate demo`: runs the whole system in one process, with a failover."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime
import random

from absl import flags
import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import rank as ranks
from hickorygate.operators import command as commands
from hickorygate.operators import event_codec
from hickorygate.operators import failures
from hickorygate.operators import log
from hickorygate.operators import recorder as recorders
from hickorygate.operators import signals
from hickorygate.operators import timeline
from hickorygate.testing import cluster
from hickorygate.testing import ledger
from hickorygate.testing import mixed_load

__all__ = ["FAMILY", "Demo"]

_NAME = "demo"
_SCHEMA = "alerts_1"
_PROXIES = 2
_CALLERS = 4
_READY_TIMEOUT = datetime.timedelta(seconds=30)
_STOP_TIMEOUT = datetime.timedelta(seconds=30)
_SECOND = datetime.timedelta(seconds=1)

_SHEET_HEAD = """\
format: 1
proxies: 5
services:
  - name: alert-db
    ranks:
      - {name: report, target_ms: 250, floor: 0.5}
      - {name: sighting, target_ms: 1000, floor: 0.2}
      - {name: history, target_ms: 10000, floor: 0.05}
    reads:
      - {name: lookup, staleness_ms: 2000}
    users:
      - {name: vindpoot, rank: sighting}
    groups:
      - name: alert-db-1
        schemas: [alerts_1]
        databases:
"""

_FLAGS = commands.new_flags()
_KEEP_RUNNING = flags.DEFINE_bool(
    "keep-running",
    False,
    "Keep running after the report, until Ctrl-C.",
    flag_values=_FLAGS,
)
_SECONDS = flags.DEFINE_integer(
    "seconds",
    8,
    "Duration of the load in seconds; the primary is stopped after a third of "
    "it.",
    lower_bound=3,
    upper_bound=600,
    flag_values=_FLAGS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Demo(commands.Command):
    """Runs a small fleet with load and a failover in this process.

    Attributes:
      duration: duration of the load.
      keep_running: whether the fleet keeps running after the report.
    """

    duration: datetime.timedelta
    keep_running: bool


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    duration = datetime.timedelta(seconds=_SECONDS.value)
    return expression.Ok(Demo(duration, _KEEP_RUNNING.value))


FAMILY = commands.CommandFamily(
    _NAME,
    (
        commands.CommandUsage(
            "demo [--seconds N] [--keep-running]",
            "run a small fleet with load and a failover in this process",
        ),
    ),
    _FLAGS,
    _parse,
)


@commands.execute.register
async def _(command: Demo) -> commands.Result:
    clock = clocks.SystemClock()
    log.configure_critical_logging(_NAME)
    stand_in_cluster = await cluster.start(_PROXIES, _SHEET_HEAD)
    try:
        await stand_in_cluster.wait_until_ready(_READY_TIMEOUT)
        return await _run(command, stand_in_cluster, clock)
    except errors.FailureError as error:
        return expression.Error(error.failure)
    finally:
        await stand_in_cluster.stop()


async def _run(
    command: Demo, stand_in_cluster: cluster.StandInCluster, clock: clocks.Clock
) -> commands.Result:
    _print(_connection_hints(stand_in_cluster))
    callers = events.Timeline("callers", events.HybridLogicalClock(clock))
    recorder = recorders.Recorder(callers)
    load = mixed_load.MixedLoad(
        _plan(stand_in_cluster), clock, recorder, random.Random(0)
    )
    await load.prepare()
    tasks = load.start()
    await clock.sleep(command.duration / 3)
    stopped = stand_in_cluster.primary
    print(f"\nstopping the primary, {stopped.name}", flush=True)
    callers.record(events.DatabaseStopped(stopped.name))
    await stopped.stop()
    await clock.sleep(command.duration * 2 / 3)
    load.stop()
    await asyncio.wait(tasks, timeout=_STOP_TIMEOUT.total_seconds())
    rows = await mixed_load.read_back(load.plan)
    if rows.is_error():
        _print(_timeline(stand_in_cluster, callers))
        return expression.Error(rows.error)
    audit = load.ledger.audit(rows.ok)
    _print(_report(stand_in_cluster, load, recorder, audit))
    _print(_timeline(stand_in_cluster, callers))
    if command.keep_running:
        print("\nstill running; press Ctrl-C to stop", flush=True)
        await signals.wait_for_stop_signal()
    return _check(load, audit)


def _check(
    load: mixed_load.MixedLoad, audit: ledger.WriteAudit
) -> commands.Result:
    if audit.clean and not load.missing_own_writes:
        return expression.Ok(None)
    broken = len(audit.lost) + len(audit.doubled) + len(load.missing_own_writes)
    return expression.Error(
        failures.GuaranteeViolated(broken + len(audit.ran_though_refused))
    )


def _plan(stand_in_cluster: cluster.StandInCluster) -> mixed_load.LoadPlan:
    sheet = stand_in_cluster.daemons[0].sheet
    assert sheet is not None, "proxy is ready, so it has a sheet"
    service = sheet.services[0]
    reports, sightings, histories = service.ranks
    return mixed_load.LoadPlan(
        ports=tuple(daemon.port for daemon in stand_in_cluster.daemons),
        user=cluster.USER,
        password=cluster.PASSWORD,
        schema=_SCHEMA,
        ranks=(reports, sightings, histories),
        callers=_CALLERS,
        group=service.groups[0].name,
    )


def _print(lines: Iterator[str]) -> None:
    print("\n".join(lines), flush=True)


def _connection_hints(
    stand_in_cluster: cluster.StandInCluster,
) -> Iterator[str]:
    yield "one platform, a group of three databases, two proxies; connect with:"
    for daemon in stand_in_cluster.daemons:
        yield (
            f"  mysql --host=127.0.0.1 --port={daemon.port} "
            f"--user={cluster.USER} --password={cluster.PASSWORD} {_SCHEMA}"
        )
    for daemon in stand_in_cluster.daemons:
        yield f"  http://{daemon.admin}/status (and /metrics, /timeline)"


def _report(
    stand_in_cluster: cluster.StandInCluster,
    load: mixed_load.MixedLoad,
    recorder: recorders.Recorder,
    audit: ledger.WriteAudit,
) -> Iterator[str]:
    yield ""
    yield from _rank_table(load.plan.ranks, recorder)
    yield ""
    yield from _replica_reads(stand_in_cluster)
    gap = recorder.gaps[load.plan.group]
    yield f"failover gap             {gap.longest / _SECOND:.2f} s"
    yield f"sessions moved           {load.moves}"
    yield f"own writes not visible   {len(load.missing_own_writes)}"
    yield f"writes acknowledged      {audit.acknowledged}"
    yield f"  lost                   {len(audit.lost)}"
    yield f"  doubled                {len(audit.doubled)}"
    yield f"  refused but executed   {len(audit.ran_though_refused)}"
    yield f"  outcome unknown        {audit.unknown}"


def _rank_table(
    ranks: Sequence[ranks.Rank], recorder: recorders.Recorder
) -> Iterator[str]:
    yield "rank        target       calls  in target  refused  unknown"
    for rank in ranks:
        statistics = recorder.ranks[rank.name]
        calls = statistics.verdicts.total()
        share = statistics.in_target / calls if calls else 0
        yield (
            f"{rank.name:<10} {rank.target / _SECOND:5.2f} s  {calls:>9}"
            f"  {share:>9.1%}  {statistics.verdicts['refused']:>7}"
            f"  {statistics.verdicts['unknown']:>7}"
        )


def _replica_reads(stand_in_cluster: cluster.StandInCluster) -> Iterator[str]:
    reads = sum(
        (daemon.recorder.reads for daemon in stand_in_cluster.daemons),
        start=type(stand_in_cluster.daemons[0].recorder.reads)(),
    )
    total = reads.total()
    replicas = recorders.replica_share(reads)
    share = "no reads" if replicas is None else f"{replicas:.1%} of {total}"
    yield f"reads from replicas      {share}"


def _timeline(
    stand_in_cluster: cluster.StandInCluster, callers: events.Timeline
) -> Iterator[str]:
    yield "\ntimeline of all processes:"
    lines = [daemon.timeline.events for daemon in stand_in_cluster.daemons]
    for recorded in timeline.merge([*lines, callers.events]):
        yield "  " + event_codec.format_text(recorded)
