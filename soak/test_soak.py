"""Tests of the soak: its plans, its checks, and a short run.

The tests guard against checks that miss a broken guarantee or report one that
holds, and against faults of the soak itself that earlier runs met.
"""

from __future__ import annotations

import asyncio
import datetime
import pathlib
import random
import tempfile
import unittest

from hickorygate.core import position
from hickorygate.testing import line_group
from hickorygate.testing import line_log
from soak import checker
from soak import odd_text
from soak import plan
from soak import proxy as proxies
from soak import run
from soak import session as sessions

_SEEDS = pathlib.Path(__file__).parent / "seeds.txt"
_SMALL = plan.RunSize(proxies=3, services=1, callers=8, seconds=4.0)


def _commit(number: int, request: str, **versions: int) -> line_log.Commit:
    writes = tuple((item, str(version)) for item, version in versions.items())
    return line_log.Commit(position.Position(1, number), request, writes)


def _seen(version: int, **changed: float | int) -> checker.ObservedRead:
    values = {"sent": 10.0, "staleness": 0.0, "own_version": 0, **changed}
    return checker.ObservedRead("r", "x", version, **values)


class PlanTest(unittest.TestCase):
    """A seed determines all faults of a run."""

    def test_a_seed_gives_the_same_faults(self) -> None:
        size = plan.RunSize()
        self.assertEqual(plan.draw_faults(7, size), plan.draw_faults(7, size))
        self.assertNotEqual(
            plan.draw_faults(7, size), plan.draw_faults(8, size)
        )

    def test_faults_overlap_and_every_kind_is_drawn(self) -> None:
        drawn = [plan.draw_faults(seed, plan.RunSize()) for seed in range(60)]
        kinds = {type(f).__name__ for faults in drawn for f in faults}
        known = {kind.__name__ for kind in plan.Fault.__subclasses__()}
        self.assertEqual(kinds, known)
        overlapping = [
            faults
            for faults in drawn
            if any(
                a.ends > b.at for a, b in zip(faults, faults[1:], strict=False)
            )
        ]
        self.assertGreater(len(overlapping), 50)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    """Faults of databases work while a group has no primary or is restarted.

    Runs failed when a fault asked for the primary while the group had none,
    and when two overlapping crashes both restarted one database.
    """

    async def test_without_a_primary_the_most_advanced_database_is_used(
        self,
    ) -> None:
        group = line_group.LineGroup()
        for database in group.databases.values():
            database.log.role = line_log.Role.REPLICA
        group.databases["c"].log.append("r", (("x", "1"),))
        self.assertEqual(group.primary.name, "c")
        self.assertEqual({d.name for d in group.replicas}, {"a", "b"})

    async def test_starting_a_running_database_again_has_no_effect(
        self,
    ) -> None:
        group = line_group.LineGroup()
        self.addAsyncCleanup(group.close)
        await group.start()
        database = group.databases["a"]
        database.crash()
        await database.start()
        await database.start()
        self.assertTrue(database.running)


class ConsistencyCheckerTest(unittest.TestCase):
    """Each broken guarantee is reported, and no kept one."""

    def setUp(self) -> None:
        self.consistency_checker = checker.ConsistencyChecker()

    def write(self, request: str, **versions: int) -> checker.SentWrite:
        write = checker.SentWrite(request, versions)
        self.consistency_checker.record_sent(write)
        return write

    def assert_broken(self, *promises: checker.Guarantee) -> None:
        broken = [v.promise for v in self.consistency_checker.violations]
        self.assertEqual(broken, list(promises))

    def test_a_statement_must_run_with_the_values_of_its_session(self) -> None:
        self.consistency_checker.check_values("a", {"m": "1"}, {"m": "1"})
        self.assert_broken()
        self.consistency_checker.check_values("b", {"m": "1"}, {"m": "2"})
        self.assert_broken(checker.Guarantee.OWN_SESSION)

    def test_a_read_must_see_what_was_acknowledged_before(self) -> None:
        self.consistency_checker.record_acknowledged(self.write("a", x=1), 5.0)
        self.consistency_checker.read(_seen(1))
        self.consistency_checker.read(_seen(0, sent=4.0))
        self.consistency_checker.read(_seen(0, sent=6.0, staleness=2.0))
        self.assert_broken()
        self.consistency_checker.read(_seen(0))
        self.consistency_checker.read(_seen(0, sent=6.0, staleness=0.5))
        self.assert_broken(*2 * [checker.Guarantee.FRESH])

    def test_a_session_must_see_its_own_commits(self) -> None:
        self.consistency_checker.read(_seen(2, staleness=9.0, own_version=2))
        self.assert_broken()
        self.consistency_checker.read(_seen(1, staleness=9.0, own_version=2))
        self.assert_broken(checker.Guarantee.FRESH)

    def test_a_statement_must_run_unchanged(self) -> None:
        for request, text in (("a", "WRITE x 1"), ("b", "EXECUTE s y")):
            self.consistency_checker.record_text(request, text)
        self.consistency_checker.audit_runs(
            [("a", "WRITE x 1"), ("b", "EXECUTE p7 y")]
        )
        self.assert_broken()
        self.consistency_checker.audit_runs(
            [("a", "WRITE x"), ("b", "EXECUTE s z"), ("c", "WRITE x 1")]
        )
        self.assert_broken(*3 * [checker.Guarantee.UNCHANGED])

    def test_acknowledged_commits_are_kept(self) -> None:
        self.consistency_checker.record_acknowledged(self.write("a", x=1), 5.0)
        self.consistency_checker.audit_durability(["a"])
        self.assert_broken()
        self.consistency_checker.audit_durability([])
        self.assert_broken(checker.Guarantee.DURABLE)

    def test_a_promoted_database_has_what_callers_were_told(self) -> None:
        self.consistency_checker.record_acknowledged(self.write("a", x=1), 5.0)
        self.write("b", x=2)
        withheld = _commit(2, "b", x=2)
        self.consistency_checker.audit_promoted([withheld])
        self.assert_broken()
        self.consistency_checker.audit_promoted(
            [_commit(1, "a", x=1), withheld]
        )
        self.assert_broken(checker.Guarantee.DURABLE)

    def test_what_was_refused_did_not_run(self) -> None:
        self.consistency_checker.record_refused(self.write("a", x=1), "BUSY")
        self.consistency_checker.record_refused(self.write("b", x=2), "INDOUBT")
        self.consistency_checker.audit_durability(["b"])
        self.assert_broken()
        self.consistency_checker.audit_durability(["a"])
        self.assert_broken(checker.Guarantee.NOT_RUN)

    def test_a_write_takes_effect_once(self) -> None:
        self.write("a", x=1)
        commits = [_commit(1, "a", x=1), _commit(2, "a", x=1)]
        self.consistency_checker.audit(commits)
        self.assert_broken(*2 * [checker.Guarantee.AT_MOST_ONCE])

    def test_a_transaction_takes_effect_whole(self) -> None:
        self.write("a", x=1, y=1)
        self.consistency_checker.audit([_commit(1, "a", x=1, y=1)])
        self.assert_broken()
        self.consistency_checker.audit([_commit(1, "a", x=1)])
        self.assert_broken(checker.Guarantee.ATOMIC)

    def test_fencing_tokens_never_decrease(self) -> None:
        self.consistency_checker.audit_promotions(
            [("p", 1), ("p", 1), ("q", 2)]
        )
        self.assert_broken()
        self.consistency_checker.audit_promotions([("p", 2), ("q", 1)])
        self.assert_broken(checker.Guarantee.FENCED)

    def test_a_fencing_token_has_one_holder(self) -> None:
        self.consistency_checker.audit_promotions([("p", 1), ("q", 1)])
        self.assert_broken(checker.Guarantee.FENCED)


class OddTextTest(unittest.TestCase):
    """Odd bytes end no field, no message, and are told from the text."""

    def test_odd_bytes_end_nothing(self) -> None:
        rng = random.Random(1)
        for _ in range(500):
            field, rest = odd_text.field("7", rng), odd_text.rest("7", rng)
            self.assertNotIn(" ", field)
            self.assertNotIn("\r\n", f"{field} {rest}")
            self.assertEqual({odd_text.plain(t) for t in (field, rest)}, {"7"})
            self.assertEqual(checker.version_of(rest), 7)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """A caller notices a message that answers no request of its own."""

    async def open(self, extra: bytes) -> sessions.Session:
        """Opens a session whose first answer is followed by something else."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I -\r\n" + extra)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        session, _ = await sessions.Session.open(host, port, "d")
        self.addCleanup(session.close)
        return session

    async def test_an_answer_to_nothing_is_noticed(self) -> None:
        session = await self.open(b"COMPLETE -\r\nREADY I -\r\n")
        with self.assertRaises(sessions.UnaskedAnswer):
            await session.query("READ x")

    async def test_an_error_before_a_close_is_no_answer(self) -> None:
        session = await self.open(b"ERROR BUSY -\r\n")
        with self.assertRaises(sessions.SessionEnded) as caught:
            await session.query("READ x")
        self.assertNotIsInstance(caught.exception, sessions.UnaskedAnswer)

    async def test_nothing_is_written_to_a_connection_that_closes(self) -> None:
        # Guards against an error of the transport that ended the caller.
        session = await self.open(b"")

        async def close_during_check() -> None:
            session.close()

        session._check_quiet = close_during_check
        with self.assertRaisesRegex(sessions.SessionEnded, "while idle"):
            await session.query("READ x")


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """A proxy never has two processes.

    A second process would be left running when the run ends.
    """

    async def test_two_concurrent_starts_make_one_process(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            proxy = proxies.Proxy(0, pathlib.Path(folder))
            launched: list[object] = []

            async def launch() -> object:
                await asyncio.sleep(0)
                launched.append(_RunningProcess())
                return launched[-1]

            proxy._launch = launch
            await asyncio.gather(proxy.start(), proxy.start())
        self.assertEqual(len(launched), 1)


class _RunningProcess:
    """A process that hasn't ended."""

    returncode = None


class RunTest(unittest.TestCase):
    """Runs real processes under the faults of a seed."""

    def test_a_short_run_breaks_no_guarantee(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(3, _SMALL, pathlib.Path(folder)))
        self.assertEqual(report.violations, ())
        self.assertGreater(report.acknowledged, 0)
        self.assertGreater(sum(report.faults.values()), 0)

    def test_lists_without_keys_admit_nobody(self) -> None:
        # Guards against review/14: an empty list of workspaces admitted anyone.
        only = frozenset({plan.ChangeWorkspaces.__name__})
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(2, _SMALL, pathlib.Path(folder), only))
        self.assertEqual(report.violations, ())
        self.assertEqual(report.faults, {"ChangeWorkspaces": 5})

    def test_each_seed_that_failed_is_listed_with_its_cause(self) -> None:
        for line in _SEEDS.read_text().splitlines():
            seed, _, cause = line.partition(": ")
            self.assertTrue(seed.isdecimal() and cause, line)
            faults = plan.draw_faults(int(seed), plan.RunSize())
            longest = max(fault.ends for fault in faults)
            self.assertGreater(longest, datetime.timedelta())


if __name__ == "__main__":
    unittest.main()
