"""Metrics of a proxy on the users' platform."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime

import aioprometheus
from aioprometheus import histogram

from hickorygate.core import events
from hickorygate.core import memory_budget
from hickorygate.core import platform_events
from hickorygate.upstreams import group_registry

__all__ = ["EventStatistics", "render"]

_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
"""Upper bounds of the latency histograms, in seconds."""

_SECOND = datetime.timedelta(seconds=1)
_Sample = tuple[dict[str, str], float | histogram.Histogram]


class EventStatistics:
    """Counts events, and the outcomes and latencies of requests."""

    def __init__(self) -> None:
        self._outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.Histogram] = {}
        self._served: collections.Counter[str] = collections.Counter()
        self._events: collections.Counter[str] = collections.Counter()

    @property
    def outcomes(self) -> collections.Counter[tuple[str, str]]:
        """Number of requests by kind and outcome."""
        return self._outcomes

    @property
    def latency(self) -> dict[str, histogram.Histogram]:
        """Histograms of the seconds from arrival to answer, by request kind."""
        return self._latency

    @property
    def served(self) -> collections.Counter[str]:
        """Number of requests by the database of the last attempt."""
        return self._served

    @property
    def events(self) -> collections.Counter[str]:
        """Number of events by class name."""
        return self._events

    def __repr__(self) -> str:
        return f"EventStatistics(requests={self._outcomes.total()})"

    def record(self, event: events.Event) -> None:
        """Adds an event to the sums."""
        self._events[type(event).__name__] += 1
        if not isinstance(event, platform_events.RequestEnded):
            return
        self._outcomes[event.kind, event.outcome] += 1
        self._served[event.served_by] += 1
        if event.kind not in self._latency:
            self._latency[event.kind] = histogram.Histogram(*_BUCKETS)
        self._latency[event.kind].observe(event.took / _SECOND)


def render(
    statistics: EventStatistics,
    fleet: group_registry.GroupRegistry,
    callers: int,
    store_calls: int,
    usage: memory_budget.BufferUsage | None = None,
) -> bytes:
    """Renders all metrics in Prometheus text format.

    Args:
      statistics: sums of the events of this process.
      fleet: registry of the databases that this proxy knows.
      callers: number of connected callers.
      store_calls: number of calls to the platform since the start.
      usage: what the callers' connections occupy; None for nothing.
    """
    usage = usage or memory_budget.BufferUsage()
    registry = aioprometheus.Registry()

    def show(
        kind: Callable[..., aioprometheus.Collector],
        name: str,
        text: str,
        samples: Iterator[_Sample],
    ) -> None:
        collector = kind(f"hickorygate_{name}", text, registry=registry)
        for labels, value in samples:
            collector.set_value(labels, value)

    show(
        aioprometheus.Counter,
        "requests_total",
        "Requests by kind and outcome.",
        (
            ({"kind": kind, "outcome": outcome}, float(count))
            for (kind, outcome), count in statistics.outcomes.items()
        ),
    )
    show(
        aioprometheus.Histogram,
        "request_seconds",
        "Time from a request's arrival to its answer.",
        (({"kind": kind}, value) for kind, value in statistics.latency.items()),
    )
    show(
        aioprometheus.Counter,
        "served_total",
        "Requests by the database of the last attempt.",
        (
            ({"database": name}, float(count))
            for name, count in statistics.served.items()
        ),
    )
    show(
        aioprometheus.Counter,
        "events_total",
        "Events by kind.",
        (({"kind": k}, float(count)) for k, count in statistics.events.items()),
    )
    show(
        aioprometheus.Gauge,
        "connections",
        "Open connections by database.",
        _connections(fleet),
    )
    show(
        aioprometheus.Counter,
        "connections_opened_total",
        "Connections opened since the start, by database.",
        _opened(fleet),
    )
    show(
        aioprometheus.Gauge,
        "database_load",
        "Running and waiting requests of this proxy, by database.",
        _loads(fleet),
    )
    show(
        aioprometheus.Gauge,
        "group_primary",
        "1 if the primary of the service is known.",
        (
            ({"service": name}, float(group.leader is not None))
            for name, group in fleet.groups.items()
        ),
    )
    show(
        aioprometheus.Gauge,
        "configuration_version",
        "Version of the configuration in force; 0 if none.",
        iter([({}, float(fleet.version))]),
    )
    show(
        aioprometheus.Gauge,
        "callers",
        "Connected callers.",
        iter([({}, float(callers))]),
    )
    show(
        aioprometheus.Gauge,
        "caller_buffer_bytes",
        "Bytes of callers' messages and answers that the process holds.",
        iter([({}, float(usage.total))]),
    )
    show(
        aioprometheus.Gauge,
        "callers_paused",
        "Callers from which nothing is read, because of what they hold.",
        iter([({}, float(usage.paused))]),
    )
    show(
        aioprometheus.Counter,
        "callers_rejected_total",
        "Connections that were rejected, by cause.",
        _by_cause(usage.rejected),
    )
    show(
        aioprometheus.Counter,
        "callers_closed_total",
        "Connections that were closed because of a limit, by cause.",
        _by_cause(usage.closed),
    )
    show(
        aioprometheus.Counter,
        "store_calls_total",
        "Calls to the platform since the start.",
        iter([({}, float(store_calls))]),
    )
    content, _ = aioprometheus.render(registry, ())
    return content


def _by_cause(
    counts: Mapping[memory_budget.Cause, int],
) -> Iterator[_Sample]:
    for cause, count in counts.items():
        yield {"cause": cause.name.lower()}, float(count)


def _connections(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            yield {"database": name}, float(pool.open_count)


def _opened(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            yield {"database": name}, float(pool.opened)


def _loads(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            yield {"database": name}, float(pool.load)
