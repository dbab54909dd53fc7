"""Reports of a load test over the line protocol, as text and as HTML."""

from __future__ import annotations

import html

from hickorygate.operators import chart
from hickorygate.testing import line_load

__all__ = ["render_html", "text"]

_BUCKET_SECONDS = 0.25


def text(report: line_load.Report) -> str:
    """Returns the results as human-readable text."""
    lines = [
        f"longest time without an acknowledged write {report.gap:.2f} s; "
        f"{report.promotions} promotions; {report.lost} acknowledged writes "
        "lost"
    ]
    for rank in report.ranks:
        target = rank.rank.target.total_seconds() * 1_000
        lines.append(
            f"  {rank.rank.name:<8} offered {len(rank.outcomes):>6}  served "
            f"{rank.served:7.2%}  in {target:.0f} ms {rank.in_time:7.2%}"
            f"{_failure_counts(rank)}"
        )
    return "\n".join(lines)


def render_html(report: line_load.Report) -> str:
    """Returns the results as one HTML page with charts."""
    marks = [
        chart.Span(
            type(fault).__name__,
            fault.at.total_seconds(),
            (fault.at + fault.lasts).total_seconds(),
        )
        for fault in report.setup.faults
    ]
    images = [
        chart.render_svg(
            "share answered within the rank's target, by second of arrival",
            [_in_time_series(rank) for rank in report.ranks],
            marks,
        ),
        chart.render_svg(
            "acknowledged writes a second, by second of their answer",
            [_write_rate_series(report)],
            marks,
        ),
    ]
    body = "\n".join(f"<p>{image}</p>" for image in images)
    return (
        "<!doctype html>\n<meta charset='utf-8'>\n"
        "<title>hickorygate bench</title>\n"
        f"<pre>{html.escape(text(report))}</pre>\n"
        f"<pre>{html.escape(repr(report.setup))}</pre>\n{body}\n"
    )


def _failure_counts(rank: line_load.RankReport) -> str:
    codes = [outcome.code for outcome in rank.outcomes if outcome.code]
    counts = {code: codes.count(code) for code in sorted(set(codes))}
    return "".join(f"  {code}: {count}" for code, count in counts.items())


def _in_time_series(rank: line_load.RankReport) -> chart.Series:
    target = rank.rank.target.total_seconds()
    found: dict[int, list[bool]] = {}
    for outcome in rank.outcomes:
        good = not outcome.code and outcome.took <= target
        bucket = int(outcome.arrived / _BUCKET_SECONDS)
        found.setdefault(bucket, []).append(good)
    points = [
        (bucket * _BUCKET_SECONDS, sum(good) / len(good))
        for bucket, good in sorted(found.items())
    ]
    return chart.Series(rank.rank.name, points)


def _write_rate_series(report: line_load.Report) -> chart.Series:
    ends = [
        outcome.ended
        for rank in report.ranks
        for outcome in rank.outcomes
        if outcome.wrote and not outcome.code
    ]
    last = int(max(ends, default=0) / _BUCKET_SECONDS)
    counts = [0] * (last + 1)
    for end in ends:
        counts[int(end / _BUCKET_SECONDS)] += 1
    points = [
        (bucket * _BUCKET_SECONDS, count / _BUCKET_SECONDS)
        for bucket, count in enumerate(counts)
    ]
    return chart.Series("writes", points)
