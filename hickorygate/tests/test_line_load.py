"""Tests of the line protocol load, its faults, report and options."""

from __future__ import annotations

import asyncio
import datetime
import unittest
import xml.etree.ElementTree as ElementTree

from hickorygate.core import rank as ranks
from hickorygate.operators import bench
from hickorygate.operators import chart
from hickorygate.operators import line_report
from hickorygate.operators import main
from hickorygate.testing import line_load
from hickorygate.testing import virtual_time

_SECOND = datetime.timedelta(seconds=1)


async def _run(setup: line_load.Setup) -> line_load.Report:
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    return await line_load.run(setup, clock)


class LineLoadTest(unittest.TestCase):
    """Runs in virtual time, so that the machine's load has no effect."""

    def test_write_gap_of_a_crash_is_measured(self) -> None:
        setup = line_load.Setup(
            proxies=2,
            loads=(0.1, 0.1, 0.1),
            duration=3 * _SECOND,
            faults=(line_load.Crash(1 * _SECOND, 1 * _SECOND),),
        )
        report = virtual_time.run(_run(setup))
        self.assertEqual(report.lost, 0)
        self.assertEqual(report.promotions, 1)
        # The promotion alone takes 0.4 s; a failover may take up to 11 s.
        self.assertGreater(report.gap, 0.4)
        self.assertLess(report.gap, 11)
        for rank in report.ranks:
            self.assertGreater(len(rank.outcomes), 0)
            self.assertGreater(rank.served, 0.5, rank.rank.name)


class ReportTest(unittest.TestCase):
    """Reports of fixed outcomes."""

    def setUp(self) -> None:
        rank = ranks.Rank("urgent", 0, 0.1 * _SECOND, 0.05)
        outcomes = (
            line_load.Outcome(0.0, 0.05, "", True),
            line_load.Outcome(0.5, 0.2, "", False),
            line_load.Outcome(1.0, 0.05, "BUSY", True),
            line_load.Outcome(3.0, 0.05, "", True),
        )
        self.setting = line_load.Setup(
            faults=(line_load.Mute(1 * _SECOND, 1 * _SECOND),)
        )
        self.report = line_load.Report(
            self.setting, (line_load.RankReport(rank, outcomes),), 1, 0
        )

    def test_shares_and_gap(self) -> None:
        (rank,) = self.report.ranks
        self.assertEqual(rank.in_time, 0.5)
        self.assertEqual(rank.served, 0.75)
        self.assertAlmostEqual(self.report.gap, 3.0)

    def test_the_text_counts_failures_by_code(self) -> None:
        text = line_report.text(self.report)
        self.assertIn("BUSY: 1", text)
        self.assertIn("3.00 s", text)

    def test_page_has_two_charts_and_marks_the_fault(self) -> None:
        page = line_report.render_html(self.report)
        self.assertEqual(page.count("<svg"), 2)
        self.assertIn("Mute", page)


class ChartTest(unittest.TestCase):
    """Charts are well-formed XML, also without any series."""

    def test_points_are_inside_the_view_box(self) -> None:
        series = chart.Series("a & b", [(0, 0), (10, 5)])
        drawn = chart.render_svg("t", [series], [chart.Span("m", 2, 30)])
        root = ElementTree.fromstring(drawn)
        (line,) = root.iter("{http://www.w3.org/2000/svg}polyline")
        width, height = (float(v) for v in root.get("viewBox").split()[2:])
        for point in line.get("points").split():
            x, y = (float(value) for value in point.split(","))
            self.assertTrue(0 <= x <= width and 0 <= y <= height)

    def test_chart_without_series(self) -> None:
        ElementTree.fromstring(chart.render_svg("t", []))


class CommandLineTest(unittest.TestCase):
    """Decoding of the benchmark command's options."""

    def test_faults_and_loads_are_decoded(self) -> None:
        words = "bench --protocol line --fault crash@1+2,leave@4+0.5"
        parsed = main.parse([*words.split(), "--load", "0.1,0.2,0"])
        command = parsed.ok
        self.assertIsInstance(command, bench.LineBench)
        self.assertEqual(command.setup.loads, (0.1, 0.2, 0.0))
        self.assertEqual(
            command.setup.faults,
            (
                line_load.Crash(1 * _SECOND, 2 * _SECOND),
                line_load.Leave(4 * _SECOND, 0.5 * _SECOND),
            ),
        )

    def test_decoding_error_names_the_value(self) -> None:
        for flag, value in (
            ("--fault", "flood@1+1"),
            ("--fault", "crash@1"),
            ("--fault", "crash@soon+1"),
            ("--load", "1,2"),
            ("--load", "a,b,c"),
        ):
            with self.subTest(value=value):
                words = ["bench", "--protocol", "line", flag, value]
                parsed = main.parse(words)
                self.assertIn(value.split(",")[0], parsed.error.message)


if __name__ == "__main__":
    unittest.main()
