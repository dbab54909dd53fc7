"""Tests what a status prober records about databases that come and go."""

from __future__ import annotations

import datetime
import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.testing import clock
from hickorygate.upstreams import group_procedures
from hickorygate.upstreams import group_view
from hickorygate.upstreams import status_prober

_DATABASE = sheet.Database("a", "127.0.0.1", 1, "hobart", 20, 3)


class _Control:
    """Control connections to a database that answers, or doesn't."""

    def __init__(self) -> None:
        self.answers = True

    async def status(self) -> group_procedures.StatusResult:
        if not self.answers:
            return expression.Error(errors.ConnectFailed("a", "refused"))
        return expression.Ok(
            position.DatabaseStatus(
                "a",
                position.Role.PRIMARY,
                term=1,
                base=0,
                log_term=1,
                received=1,
                applied=1,
                fenced=1,
                primary_silence=datetime.timedelta(),
                boot="x",
            )
        )


class StatusProberTest(unittest.IsolatedAsyncioTestCase):
    """The timeline of a database that stops answering and returns."""

    def setUp(self) -> None:
        self.control = _Control()
        time = clock.FakeClock()
        self.timeline = events.Timeline("p", events.HybridLogicalClock(time))
        self.prober = status_prober.StatusProber(
            group_view.GroupView(sheet.Group("g", ("s",), (_DATABASE,))),
            {"a": self.control},
            settings_lib.UpstreamSettings(),
            time,
            self.timeline,
        )

    async def probe(self, *answers: bool) -> None:
        for self.control.answers in answers:
            await self.prober.refresh("a")

    async def test_a_database_that_returns_is_recorded(self) -> None:
        await self.probe(True, False, True)
        self.assertEqual(self.timeline.counts[events.DatabaseLost], 1)
        self.assertEqual(self.timeline.counts[events.DatabaseReturned], 1)

    async def test_each_loss_and_return_is_recorded_once(self) -> None:
        await self.probe(True, True, False, False, True, True, False, True)
        self.assertEqual(self.timeline.counts[events.DatabaseLost], 2)
        self.assertEqual(self.timeline.counts[events.DatabaseReturned], 2)

    async def test_a_status_that_is_read_anew_is_no_return(self) -> None:
        await self.probe(True)
        self.prober.invalidate("a")
        await self.probe(True)
        self.assertEqual(self.timeline.counts[events.DatabaseReturned], 0)
