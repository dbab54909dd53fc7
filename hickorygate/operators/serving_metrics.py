"""Metrics of the statements that proxies run for each other."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import aioprometheus

from hickorygate.proxies import serving_links
from hickorygate.proxies import statement_server

__all__ = ["show"]

Sample = tuple[dict[str, str], float]
Show = Callable[[Callable[..., object], str, str, Iterator[Sample]], None]


def show(
    show_metric: Show,
    links: serving_links.ServingLinks,
    server: statement_server.StatementServer,
) -> None:
    """Shows the metrics of the links in both directions.

    Args:
      show_metric: adds a metric; gets its kind, name, text and samples.
      links: links to serving proxies.
      server: listener for gateways.
    """
    show_metric(
        aioprometheus.Counter,
        "statements_served_total",
        "Statements run for other proxies, by outcome.",
        (
            ({"outcome": outcome}, float(count))
            for outcome, count in server.served.items()
        ),
    )
    show_metric(
        aioprometheus.Gauge,
        "links",
        "Open links to other proxies, by what this proxy is on them.",
        iter(
            (
                ({"role": "gateway"}, float(_open_links(links))),
                ({"role": "server"}, float(len(server.links))),
            )
        ),
    )
    show_metric(
        aioprometheus.Counter,
        "links_lost_total",
        "Links to serving proxies that were lost or fell silent.",
        iter([({}, float(links.lost))]),
    )
    show_metric(
        aioprometheus.Gauge,
        "link_round_trip_seconds",
        "Time between the last ping of an open link and its answer.",
        _round_trips(links),
    )


def _open_links(links: serving_links.ServingLinks) -> int:
    return sum(link.connection is not None for link in links.links.values())


def _round_trips(links: serving_links.ServingLinks) -> Iterator[Sample]:
    for name, link in links.links.items():
        if link.connection is not None:
            yield {"server": name}, link.state.round_trip.total_seconds()
