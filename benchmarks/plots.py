"""Draws the plots of docs/MEASUREMENTS.md from the committed results.

python -m benchmarks.plots
"""

from __future__ import annotations

from collections.abc import Sequence
import json
import pathlib
from typing import Any

from absl import app
import matplotlib as mpl
from matplotlib import pyplot

_ROOT = pathlib.Path(__file__).parent.parent
_RESULTS = _ROOT / "benchmarks" / "results"
_PLOTS = _ROOT / "docs" / "plots"
_GAP_TARGET_SECONDS = 2.0
_CONTROL_BUDGET_PERCENT = 1.8
_CONTROL_BUDGET_BYTES = 14_000
_FAULTS = ("Killed", "Silent", "CutOff", "CutFromProxy", "Leaving")
_RANKS = ("urgent", "normal", "history")
_BAR_WIDTH = 0.25
_SIZE_INCHES = (7, 3.5)


def _read_result(name: str) -> Any:
    return json.loads((_RESULTS / f"{name}.json").read_text())


def _save_figure(figure: pyplot.Figure, name: str) -> None:
    _PLOTS.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(_PLOTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def _plot_failover() -> None:
    report = _read_result("failover")
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for offset, key in enumerate(("gap_p50_s", "gap_p99_s", "gap_max_s")):
        bar_positions = [n + offset * _BAR_WIDTH for n in range(len(_FAULTS))]
        gaps = [report[fault][key] for fault in _FAULTS]
        axes.bar(bar_positions, gaps, _BAR_WIDTH, label=key)
    axes.axhline(_GAP_TARGET_SECONDS, color="black", linestyle="--")
    axes.set_xticks([n + _BAR_WIDTH for n in range(len(_FAULTS))], _FAULTS)
    axes.set_ylabel("seconds without a write")
    axes.set_title("Failover gap by fault; the line is the target")
    axes.legend()
    _save_figure(figure, "failover_gap")


def _plot_admission() -> None:
    reports = _read_result("admission")
    scenarios = list(dict.fromkeys(r["scenario"] for r in reports))
    figure, panels = pyplot.subplots(
        1, len(scenarios), figsize=_SIZE_INCHES, sharey=True
    )
    for axes, scenario in zip(panels, scenarios, strict=True):
        selected = [r for r in reports if r["scenario"] == scenario]
        for offset, rank in enumerate(_RANKS):
            bar_positions = [
                n + offset * _BAR_WIDTH for n in range(len(selected))
            ]
            shares = [
                next(x for x in r["ranks"] if x["rank"] == rank)["share"]
                for r in selected
            ]
            axes.bar(bar_positions, shares, _BAR_WIDTH, label=rank)
        names = [r["policy"] for r in selected]
        axes.set_xticks(
            [n + _BAR_WIDTH for n in range(len(names))],
            names,
            rotation=45,
            fontsize=7,
        )
        axes.set_title(scenario, fontsize=9)
    panels[0].set_ylabel("useful work, part of capacity")
    panels[0].legend(fontsize=7)
    _save_figure(figure, "service_by_rank")


def _plot_control() -> None:
    idle = _read_result("control")["idle"]
    sizes = [row["proxies"] for row in idle]
    figure, panels = pyplot.subplots(1, 2, figsize=_SIZE_INCHES)
    quantities = (
        ("core_percent", "% of a core a daemon", _CONTROL_BUDGET_PERCENT),
        ("bytes_a_second", "bytes a second a daemon", _CONTROL_BUDGET_BYTES),
    )
    for axes, (key, label, budget) in zip(panels, quantities, strict=True):
        medians = [row[key]["median"] for row in idle]
        below = [row[key]["median"] - row[key]["least"] for row in idle]
        above = [row[key]["greatest"] - row[key]["median"] for row in idle]
        axes.errorbar(sizes, medians, yerr=[below, above], marker="o")
        axes.axhline(budget, color="black", linestyle="--")
        axes.set_xlabel("proxies")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
    figure.suptitle("Idle control cost; the lines are the budget")
    _save_figure(figure, "control_cost")


def main(argv: Sequence[str]) -> None:
    """Draws and saves all plots."""
    del argv
    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "hickorygate"
    _plot_failover()
    _plot_admission()
    _plot_control()


if __name__ == "__main__":
    app.run(main)
