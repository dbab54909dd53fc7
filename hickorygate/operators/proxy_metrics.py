"""Metrics of a proxy on the users' platform."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import functools
from typing import TypeVar

import aioprometheus
from aioprometheus import histogram

from hickorygate.callers import workspace_limits
from hickorygate.core import capacity
from hickorygate.core import events
from hickorygate.core import memory_budget
from hickorygate.core import platform_events
from hickorygate.operators import answer_faults
from hickorygate.operators import caller_usage
from hickorygate.operators import escapes
from hickorygate.operators import serving_metrics
from hickorygate.proxies import serving_links
from hickorygate.proxies import statement_server
from hickorygate.upstreams import group_registry

__all__ = ["EventStatistics", "render"]

_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
"""Upper bounds of the latency histograms, in seconds."""

_SECOND = datetime.timedelta(seconds=1)
_Sample = tuple[dict[str, str], float | histogram.Histogram]
_Cause = TypeVar("_Cause", memory_budget.Cause, caller_usage.MessageCause)


class EventStatistics:
    """Counts events, and the outcomes and latencies of requests."""

    def __init__(self) -> None:
        self._outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.Histogram] = {}
        self._served: collections.Counter[str] = collections.Counter()
        self._forwarded: collections.Counter[str] = collections.Counter()
        self._events: collections.Counter[str] = collections.Counter()
        self._discarded: collections.Counter[answer_faults.AnswerFault] = (
            collections.Counter()
        )

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
    def forwarded(self) -> collections.Counter[str]:
        """Number of requests sent to serving proxies, by outcome."""
        return self._forwarded

    @property
    def events(self) -> collections.Counter[str]:
        """Number of events by class name."""
        return self._events

    @property
    def discarded(self) -> collections.Counter[answer_faults.AnswerFault]:
        """Number of discarded answers of databases, by fault."""
        return self._discarded

    def __repr__(self) -> str:
        return f"EventStatistics(requests={self._outcomes.total()})"

    def record(self, event: events.Event) -> None:
        """Adds an event to the sums."""
        self._events[type(event).__name__] += 1
        _add(event, self)


@functools.singledispatch
def _add(event: events.Event, statistics: EventStatistics) -> None:
    """Adds what an event says beyond its kind to the sums."""


@_add.register
def _(
    event: platform_events.AnswerDiscarded, statistics: EventStatistics
) -> None:
    statistics.discarded[answer_faults.classify(event.reason)] += 1


@_add.register
def _(
    event: platform_events.StatementForwarded, statistics: EventStatistics
) -> None:
    statistics.forwarded[event.outcome] += 1


@_add.register
def _(event: platform_events.RequestEnded, statistics: EventStatistics) -> None:
    statistics.outcomes[event.kind, event.outcome] += 1
    statistics.served[event.served_by] += 1
    if event.kind not in statistics.latency:
        statistics.latency[event.kind] = histogram.Histogram(*_BUCKETS)
    statistics.latency[event.kind].observe(event.took / _SECOND)


def render(
    statistics: EventStatistics,
    fleet: group_registry.GroupRegistry,
    callers: int,
    store_calls: int,
    links: serving_links.ServingLinks,
    server: statement_server.StatementServer,
    limits: workspace_limits.WorkspaceLimits,
    usage: caller_usage.CallerUsage | None = None,
) -> bytes:
    """Renders all metrics in Prometheus text format.

    Args:
      statistics: sums of the events of this process.
      fleet: registry of the databases that this proxy knows.
      callers: number of connected callers.
      store_calls: number of calls to the platform since the start.
      links: links to serving proxies.
      server: listener for other proxies.
      limits: rate limits of the workspaces.
      usage: what the callers occupy, and their rejected messages; None for
        nothing.
    """
    usage = usage or caller_usage.CallerUsage()
    registry = aioprometheus.Registry()

    def show(
        kind: Callable[..., aioprometheus.Collector],
        name: str,
        text: str,
        samples: Iterator[_Sample],
    ) -> None:
        collector = kind(f"hickorygate_{name}", text, registry=registry)
        for labels, value in samples:
            collector.set_value(escapes.label_values(labels), value)

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
        aioprometheus.Counter,
        "answers_discarded_total",
        "Answers of databases that fit no open request, by what was wrong.",
        (
            ({"reason": fault.value}, float(count))
            for fault, count in statistics.discarded.items()
        ),
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
        aioprometheus.Counter,
        "connections_replaced_total",
        "Connections closed for another workspace, by database.",
        _replaced(fleet),
    )
    show(
        aioprometheus.Gauge,
        "database_load",
        "Running and waiting requests of this proxy, by database.",
        _loads(fleet),
    )
    show(
        aioprometheus.Gauge,
        "database_limit",
        "Learned limit of this proxy's statements in flight, by database.",
        _limits(fleet),
    )
    show(
        aioprometheus.Gauge,
        "database_response_ratio",
        "Ratio of recent response times to the usual ones, by database.",
        _response_ratios(fleet),
    )
    show(
        aioprometheus.Gauge,
        "database_service_seconds",
        "Learned response time of a statement, by database and rank.",
        _service_times(fleet),
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
        "messages_rejected_total",
        "Messages of callers that were not understood, by cause.",
        _by_cause(usage.messages),
    )
    show(
        aioprometheus.Counter,
        "store_calls_total",
        "Calls to the platform since the start.",
        iter([({}, float(store_calls))]),
    )
    show(
        aioprometheus.Counter,
        "statements_forwarded_total",
        "Requests sent to serving proxies, by outcome.",
        (
            ({"outcome": outcome}, float(count))
            for outcome, count in statistics.forwarded.items()
        ),
    )
    serving_metrics.show(show, links, server)
    usage = limits.largest_usage()
    show(
        aioprometheus.Gauge,
        "workspace_limit_share",
        "Share of the workspace's rate limit that this proxy may use.",
        (
            ({"workspace": name}, used.share)
            for name, used in usage.items()
            if name != workspace_limits.OTHER
        ),
    )
    show(
        aioprometheus.Counter,
        "workspace_operations_total",
        "Operations that a rate limit admitted or refused, by workspace.",
        _limited(usage),
    )
    content, _ = aioprometheus.render(registry, ())
    return content


def _by_cause(
    counts: Mapping[_Cause, int],
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


def _replaced(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            yield {"database": name}, float(pool.replaced)


def _loads(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            yield {"database": name}, float(pool.load)


def _limited(
    usage: Mapping[str, workspace_limits.Usage],
) -> Iterator[_Sample]:
    for name, used in usage.items():
        for result, count in (
            ("admitted", used.admitted),
            ("refused", used.refused),
        ):
            yield {"workspace": name, "result": result}, float(count)


def _learned(
    fleet: group_registry.GroupRegistry,
) -> Iterator[tuple[str, capacity.CapacityEstimate]]:
    for group in fleet.groups.values():
        for name, pool in group.pools.items():
            if pool.capacity is not None:
                yield name, pool.capacity


def _limits(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for name, estimate in _learned(fleet):
        yield {"database": name}, float(estimate.limit)


def _response_ratios(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for name, estimate in _learned(fleet):
        yield {"database": name}, estimate.response_ratio


def _service_times(fleet: group_registry.GroupRegistry) -> Iterator[_Sample]:
    for name, estimate in _learned(fleet):
        for kind, seconds in estimate.service_seconds().items():
            labels = {
                "database": name,
                "rank": kind.rank,
                "prepared": str(kind.prepared).lower(),
                "commits": str(kind.commits).lower(),
            }
            yield labels, seconds
