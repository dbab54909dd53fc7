"""Metrics in Prometheus format, built with aioprometheus at each scrape.

The data path updates no metric. Sums come from the recorder; all other values
are read from the proxy at the time of the scrape.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime

import aioprometheus
from aioprometheus import histogram

from hickorygate.operators import escapes
from hickorygate.operators import status

__all__ = ["CATALOGUE", "Metric", "Sample", "render"]

_PREFIX = "hickorygate_"
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with its labels.

    Attributes:
      value: number or histogram to export.
      labels: label values by label name.
    """

    value: float | histogram.Histogram
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """A metric and the function that reads its samples.

    Attributes:
      name: name of the metric, without the common prefix.
      kind: collector class of aioprometheus.
      help: help line of the metric.
      samples: function that reads the samples from a proxy.
    """

    name: str
    kind: type[aioprometheus.Collector]
    help: str
    samples: Callable[[status.ObservedProxy], Iterator[Sample]]

    @property
    def full_name(self) -> str:
        """Exported name of the metric, with the common prefix."""
        return _PREFIX + self.name


def _statements(subject: status.ObservedProxy) -> Iterator[Sample]:
    for rank, statistics in subject.recorder.ranks.items():
        for verdict, count in statistics.verdicts.items():
            yield Sample(count, {"rank": rank, "verdict": verdict})


def _in_target(subject: status.ObservedProxy) -> Iterator[Sample]:
    for rank, statistics in subject.recorder.ranks.items():
        yield Sample(statistics.in_target, {"rank": rank})


def _latency(subject: status.ObservedProxy) -> Iterator[Sample]:
    for rank, statistics in subject.recorder.ranks.items():
        yield Sample(statistics.latency, {"rank": rank})


def _retries(subject: status.ObservedProxy) -> Iterator[Sample]:
    for rank, statistics in subject.recorder.ranks.items():
        yield Sample(statistics.retries, {"rank": rank})


def _reads(subject: status.ObservedProxy) -> Iterator[Sample]:
    for served_by, count in subject.recorder.reads.items():
        yield Sample(count, {"served_by": served_by.value})


def _gap_last(subject: status.ObservedProxy) -> Iterator[Sample]:
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.last / _SECOND, {"group": group})


def _gap_longest(subject: status.ObservedProxy) -> Iterator[Sample]:
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.longest / _SECOND, {"group": group})


def _gap_open(subject: status.ObservedProxy) -> Iterator[Sample]:
    now = subject.clock.now()
    for group, gap in subject.recorder.gaps.items():
        yield Sample(gap.open_duration(now) / _SECOND, {"group": group})


def _databases(
    subject: status.ObservedProxy,
) -> Iterator[status.DatabaseStatus]:
    for group in status.read(subject).groups:
        yield from group.databases


def _connections(subject: status.ObservedProxy) -> Iterator[Sample]:
    for database in _databases(subject):
        name, pool = database.name, database.pool
        yield Sample(pool.idle, {"database": name, "state": "idle"})
        yield Sample(pool.leased, {"database": name, "state": "leased"})


def _waiting(subject: status.ObservedProxy) -> Iterator[Sample]:
    for database in _databases(subject):
        for rank, count in database.pool.waiting.items():
            yield Sample(count, {"database": database.name, "rank": rank})


def _pool_refused(subject: status.ObservedProxy) -> Iterator[Sample]:
    for database in _databases(subject):
        yield Sample(database.pool.refused, {"database": database.name})


def _lag(subject: status.ObservedProxy) -> Iterator[Sample]:
    for database in _databases(subject):
        if database.lag_entries is not None:
            labels = {"database": database.name}
            yield Sample(database.lag_entries, labels)


def _database_up(subject: status.ObservedProxy) -> Iterator[Sample]:
    for database in _databases(subject):
        answers = database.seen_ms is not None
        yield Sample(int(answers), {"database": database.name})


def _terms(subject: status.ObservedProxy) -> Iterator[Sample]:
    for link in subject.groups:
        yield Sample(link.view.term, {"group": link.view.group.name})


def _primaries(subject: status.ObservedProxy) -> Iterator[Sample]:
    for link in subject.groups:
        known = link.view.primary is not None
        yield Sample(int(known), {"group": link.view.group.name})


def _events(subject: status.ObservedProxy) -> Iterator[Sample]:
    for kind, count in subject.timeline.counts.items():
        yield Sample(count, {"kind": kind.__name__})


def _sheet(subject: status.ObservedProxy) -> Iterator[Sample]:
    yield Sample(subject.sheet.version if subject.sheet else 0)


def _peers(subject: status.ObservedProxy) -> Iterator[Sample]:
    yield Sample(len(subject.mesh.membership.members))


def _callers(subject: status.ObservedProxy) -> Iterator[Sample]:
    yield Sample(subject.callers)


def _ready(subject: status.ObservedProxy) -> Iterator[Sample]:
    yield Sample(int(not status.unready_reasons(subject)))


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
        "Statements answered by a database within their rank's target.",
        _in_target,
    ),
    Metric(
        "statement_seconds",
        _HISTOGRAM,
        "Time from a statement's arrival to its answer.",
        _latency,
    ),
    Metric("retries_total", _COUNTER, "Retries by rank.", _retries),
    Metric(
        "reads_total",
        _COUNTER,
        "Answered reads by role of the database that served them.",
        _reads,
    ),
    Metric(
        "write_gap_last_seconds",
        _GAUGE,
        "Length of the write gap that ended with the newest answered write.",
        _gap_last,
    ),
    Metric(
        "write_gap_longest_seconds",
        _GAUGE,
        "Longest time in which writes arrived and none was answered.",
        _gap_longest,
    ),
    Metric(
        "write_gap_open_seconds",
        _GAUGE,
        "Length of the open write gap; 0 while writes are answered.",
        _gap_open,
    ),
    Metric(
        "connections",
        _GAUGE,
        "Connections from this proxy by database and state.",
        _connections,
    ),
    Metric(
        "waiting",
        _GAUGE,
        "Statements waiting for a slot, by database and rank.",
        _waiting,
    ),
    Metric(
        "pool_refused_total",
        _COUNTER,
        "Statements that a pool refused or that timed out in its queue.",
        _pool_refused,
    ),
    Metric(
        "lag_entries",
        _GAUGE,
        "Replication lag behind the primary, in log entries.",
        _lag,
    ),
    Metric(
        "database_up", _GAUGE, "1 if the database answers probes.", _database_up
    ),
    Metric("group_term", _GAUGE, "Newest known term of the group.", _terms),
    Metric(
        "group_primary",
        _GAUGE,
        "1 if the primary of the group is known.",
        _primaries,
    ),
    Metric("events_total", _COUNTER, "Timeline events by kind.", _events),
    Metric(
        "sheet_version",
        _GAUGE,
        "Version of the sheet in force; 0 if none.",
        _sheet,
    ),
    Metric("peers", _GAUGE, "Other live proxies.", _peers),
    Metric("callers", _GAUGE, "Connected callers.", _callers),
    Metric("ready", _GAUGE, "1 if the proxy is ready for new callers.", _ready),
)


def render(
    subject: status.ObservedProxy, accepts: Sequence[str]
) -> tuple[bytes, dict[str, str]]:
    """Renders all metrics of a proxy.

    Args:
      subject: proxy to read the metrics from.
      accepts: values of the Accept headers of the HTTP request.

    Returns:
      The body and the headers of the HTTP response.
    """
    registry = aioprometheus.Registry()
    for metric in CATALOGUE:
        collector = metric.kind(
            metric.full_name, metric.help, registry=registry
        )
        for sample in metric.samples(subject):
            labels = escapes.label_values(sample.labels)
            collector.set_value(labels, sample.value)
    return aioprometheus.render(registry, accepts)
