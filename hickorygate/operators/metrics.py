"""Metrics in Prometheus form, built by aioprometheus when they are asked for.

The data path touches no metric: sums come from the recorder, the rest is
read off the proxy at the moment of the request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime

import aioprometheus
from aioprometheus import histogram

from hickorygate.operators import status as statuses

__all__ = ["CATALOGUE", "Metric", "Sample", "render"]

_PREFIX = "hickorygate_"
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with its labels."""

    value: float | histogram.Histogram
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """A metric and where its samples come from.

    Attributes:
      name: without the prefix that all share.
      kind: the library's collector.
      help: one line for people.
      samples: reads the samples off a proxy.
    """

    name: str
    kind: type[aioprometheus.Collector]
    help: str
    samples: Callable[[statuses.Subject], Iterator[Sample]]

    @property
    def full_name(self) -> str:
        """The name as it is scraped."""
        return _PREFIX + self.name


def _statements(subject: statuses.Subject) -> Iterator[Sample]:
    for rank, tally in subject.recorder.ranks.items():
        for verdict, count in tally.verdicts.items():
            yield Sample(count, {"rank": rank, "verdict": verdict})


def _in_target(subject: statuses.Subject) -> Iterator[Sample]:
    for rank, tally in subject.recorder.ranks.items():
        yield Sample(tally.in_target, {"rank": rank})


def _latency(subject: statuses.Subject) -> Iterator[Sample]:
    for rank, tally in subject.recorder.ranks.items():
        yield Sample(tally.latency, {"rank": rank})


def _retries(subject: statuses.Subject) -> Iterator[Sample]:
    for rank, tally in subject.recorder.ranks.items():
        yield Sample(tally.retries, {"rank": rank})


def _reads(subject: statuses.Subject) -> Iterator[Sample]:
    for served_by, count in subject.recorder.reads.items():
        yield Sample(count, {"served_by": served_by.value})


def _gap_last(subject: statuses.Subject) -> Iterator[Sample]:
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.last / _SECOND, {"group": group})


def _gap_longest(subject: statuses.Subject) -> Iterator[Sample]:
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.longest / _SECOND, {"group": group})


def _gap_open(subject: statuses.Subject) -> Iterator[Sample]:
    now = subject.clock.now()
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.open_for(now) / _SECOND, {"group": group})


def _databases(
    subject: statuses.Subject,
) -> Iterator[statuses.DatabaseStatus]:
    for group in statuses.read(subject).groups:
        yield from group.databases


def _connections(subject: statuses.Subject) -> Iterator[Sample]:
    for database in _databases(subject):
        name, pool = database.name, database.pool
        yield Sample(pool.idle, {"database": name, "state": "idle"})
        yield Sample(pool.leased, {"database": name, "state": "leased"})


def _waiting(subject: statuses.Subject) -> Iterator[Sample]:
    for database in _databases(subject):
        for rank, count in database.pool.waiting.items():
            yield Sample(count, {"database": database.name, "rank": rank})


def _pool_refused(subject: statuses.Subject) -> Iterator[Sample]:
    for database in _databases(subject):
        yield Sample(database.pool.refused, {"database": database.name})


def _lag(subject: statuses.Subject) -> Iterator[Sample]:
    for database in _databases(subject):
        if database.lag_entries is not None:
            labels = {"database": database.name}
            yield Sample(database.lag_entries, labels)


def _database_up(subject: statuses.Subject) -> Iterator[Sample]:
    for database in _databases(subject):
        answers = database.seen_ms is not None
        yield Sample(int(answers), {"database": database.name})


def _terms(subject: statuses.Subject) -> Iterator[Sample]:
    for link in subject.groups:
        yield Sample(link.view.term, {"group": link.view.group.name})


def _primaries(subject: statuses.Subject) -> Iterator[Sample]:
    for link in subject.groups:
        known = link.view.primary is not None
        yield Sample(int(known), {"group": link.view.group.name})


def _events(subject: statuses.Subject) -> Iterator[Sample]:
    for kind, count in subject.time_line.counts.items():
        yield Sample(count, {"kind": kind.__name__})


def _sheet(subject: statuses.Subject) -> Iterator[Sample]:
    yield Sample(subject.sheet.version if subject.sheet else 0)


def _peers(subject: statuses.Subject) -> Iterator[Sample]:
    yield Sample(len(subject.mesh.membership.members))


def _callers(subject: statuses.Subject) -> Iterator[Sample]:
    yield Sample(subject.callers)


def _ready(subject: statuses.Subject) -> Iterator[Sample]:
    yield Sample(int(not statuses.unready_reasons(subject)))


_COUNTER = aioprometheus.Counter
_GAUGE = aioprometheus.Gauge
_HISTOGRAM = aioprometheus.Histogram

CATALOGUE: Sequence[Metric] = (
    Metric(
        "statements_total",
        _COUNTER,
        "Statements by rank and verdict: served, failed, refused, unknown.",
        _statements,
    ),
    Metric(
        "statements_in_target_total",
        _COUNTER,
        "Statements settled within their rank's target.",
        _in_target,
    ),
    Metric(
        "statement_seconds",
        _HISTOGRAM,
        "Time from a statement's arrival to its answer.",
        _latency,
    ),
    Metric("retries_total", _COUNTER, "Further tries by rank.", _retries),
    Metric("reads_total", _COUNTER, "Answered reads by who served.", _reads),
    Metric(
        "write_gap_last_seconds",
        _GAUGE,
        "Time before the newest answered write without any.",
        _gap_last,
    ),
    Metric(
        "write_gap_longest_seconds",
        _GAUGE,
        "Longest time that writes came and none was answered.",
        _gap_longest,
    ),
    Metric(
        "write_gap_open_seconds",
        _GAUGE,
        "How long writes have been failing; 0 while they succeed.",
        _gap_open,
    ),
    Metric(
        "connections",
        _GAUGE,
        "Connections of this proxy by database and state.",
        _connections,
    ),
    Metric("waiting", _GAUGE, "Statements that wait for a slot.", _waiting),
    Metric(
        "pool_refused_total",
        _COUNTER,
        "Statements that a pool refused or that waited too long there.",
        _pool_refused,
    ),
    Metric("lag_entries", _GAUGE, "Entries behind the primary.", _lag),
    Metric("database_up", _GAUGE, "1 if it answers probes.", _database_up),
    Metric("group_term", _GAUGE, "Newest term of the group.", _terms),
    Metric("group_primary", _GAUGE, "1 if a primary is known.", _primaries),
    Metric("events_total", _COUNTER, "Time line events by kind.", _events),
    Metric("sheet_version", _GAUGE, "Sheet in force; 0 if none.", _sheet),
    Metric("peers", _GAUGE, "Other proxies that are alive.", _peers),
    Metric("callers", _GAUGE, "Connected callers.", _callers),
    Metric("ready", _GAUGE, "1 if it should get callers.", _ready),
)


def render(
    subject: statuses.Subject, accepts: Sequence[str]
) -> tuple[bytes, dict[str, str]]:
    """Returns all metrics of a proxy.

    Args:
      subject: the proxy.
      accepts: the request's Accept headers.

    Returns:
      The body and its headers.
    """
    registry = aioprometheus.Registry()
    for metric in CATALOGUE:
        collector = metric.kind(
            metric.full_name, metric.help, registry=registry
        )
        for sample in metric.samples(subject):
            collector.set_value(sample.labels, sample.value)
    return aioprometheus.render(registry, accepts)
