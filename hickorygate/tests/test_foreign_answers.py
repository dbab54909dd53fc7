"""Tests that no request gets the answer of another one (issue 49).

A database may send an answer a second time, late. Replies were taken in the
order of their arrival, so that the request that was outstanding when the copy
came got it, and each later request got the answer of its predecessor.
"""

from __future__ import annotations

import asyncio
import datetime
import random

from hickorygate.core import reply as replies
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import repeated_answers
from hickorygate.testing import virtual_time
from hickorygate.upstreams import database_request

_CALLERS = 6
_ROUNDS = 15
_DELAYS = tuple(
    datetime.timedelta(milliseconds=delay) for delay in (0, 5, 20, 100)
)
_NOT_RUN = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT")
_ERROR = frozenset({repeated_answers.AnswerKind.ERROR})
_STATUS = frozenset({repeated_answers.AnswerKind.STATUS})
_OPENING = frozenset({repeated_answers.AnswerKind.OPENING})
_COPY_DELAY = datetime.timedelta(milliseconds=30)
_COPY_ARRIVED = datetime.timedelta(milliseconds=80)


class _ForeignAnswersTest(virtual_time.VirtualTimeTestCase):
    """Callers at one proxy whose databases repeat answers."""

    work = datetime.timedelta(milliseconds=8)

    async def asyncSetUp(self) -> None:  # noqa: N802
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                clock=clock, work=line_group.Capacity(time=self.work)
            )
        )
        self.group = self.cluster.group
        self.numbers = 0

    def repeat(
        self,
        kinds: frozenset[repeated_answers.AnswerKind],
        share: float = 1.0,
        delays: tuple[datetime.timedelta, ...] = _DELAYS,
    ) -> None:
        """Makes all databases repeat answers."""
        for seed, database in enumerate(self.group.databases.values()):
            database.faults.repeated_answers = repeated_answers.RepeatedAnswers(
                kinds=kinds,
                share=share,
                delays=delays,
                rng=random.Random(seed),
            )

    def set_until_copies_came(
        self, database: line_group.LineDatabase, fault: str
    ) -> None:
        """Injects a fault that makes an answer later than the copies."""
        setattr(database.faults, fault, True)
        asyncio.get_running_loop().call_later(
            _COPY_ARRIVED.total_seconds(),
            setattr,
            database.faults,
            fault,
            False,
        )

    def next_request(self) -> str:
        self.numbers += 1
        return f"r{self.numbers}"

    def runs(self, request: str) -> int:
        """Returns how often databases ran a request."""
        return sum(
            request == ran
            for database in self.group.databases.values()
            for ran, _ in database.ran
        )

    def assert_own(self, request: str, received: list[str], *rows: str) -> bool:
        """Checks a success's signature and rows; returns whether it is one."""
        if not received or not received[-1].startswith("READY "):
            return False
        if received[0].startswith("ERROR "):
            return False
        *found, last = received[:-1]
        proofs = [
            f"COMPLETE {database.execution_digest(request)}"
            for database in self.group.databases.values()
        ]
        self.assertEqual(found, [f"ROW {row}" for row in rows], request)
        self.assertIn(last, proofs, request)
        return True

    def assert_promise_kept(self, request: str, received: list[str]) -> None:
        """Checks that what was refused as not run didn't run."""
        error = received[0].split(" ") if received else []
        if error[:1] == ["ERROR"] and error[1] in _NOT_RUN:
            self.assertEqual(self.runs(request), 0, (request, received))


class ForeignAnswersTest(_ForeignAnswersTest):
    """Single statements and transactions of several callers."""

    async def read_repeatedly(self, name: str, item: str) -> int:
        """Reads an item whose data is its name; returns the successes."""
        served = 0
        client = await self.cluster.connect(name)
        for _ in range(_ROUNDS):
            request = self.next_request()
            received = await client.send(f"QUERY {request} READ {item}")
            served += self.assert_own(request, received, item)
            if not received:
                client = await self.cluster.connect(name)
        return served

    async def write_repeatedly(self, item: str) -> int:
        """Writes an item; returns the successes."""
        served = 0
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for number in range(_ROUNDS):
            request = self.next_request()
            text = f"QUERY {request} WRITE {item} {number}"
            received = await client.send(text)
            served += self.assert_own(request, received)
            self.assert_promise_kept(request, received)
            self.assertLessEqual(self.runs(request), 1, request)
            if not received:
                client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        return served

    def put_items(self) -> None:
        """Gives each item its name as its data."""
        items = [f"item{number}" for number in range(_CALLERS)]
        for database in self.group.databases.values():
            database.log.append("put", tuple(zip(items, items, strict=True)))

    async def read_all(self) -> int:
        names = (line_cluster.PRIMARY_DB, line_cluster.BOUNDED_DB)
        served = await asyncio.gather(
            *(
                self.read_repeatedly(names[number % 2], f"item{number}")
                for number in range(_CALLERS)
            )
        )
        return sum(served)

    # Reads succeeded with the rows and signatures of earlier reads.
    async def test_reads_get_no_copy_of_another_answer(self) -> None:
        self.put_items()
        self.repeat(frozenset(repeated_answers.AnswerKind))
        await self.read_all()

    # As above, with few copies; most reads must succeed nevertheless.
    async def test_reads_succeed_although_some_answers_are_repeated(
        self,
    ) -> None:
        self.put_items()
        self.repeat(frozenset(repeated_answers.AnswerKind), share=0.1)
        served = await self.read_all()
        self.assertGreater(served, _CALLERS * _ROUNDS / 2)

    # Writes succeeded with the signatures of earlier writes.
    async def test_writes_get_no_copy_of_another_answer(self) -> None:
        self.repeat(frozenset(repeated_answers.AnswerKind))
        await asyncio.gather(
            *(self.write_repeatedly(f"w{n}") for n in range(_CALLERS))
        )
        line_cluster.assert_no_commit_lost(self.group)

    # The copy of a refusal counted as the answer to a later COMMIT: its caller
    # was told that nothing was kept, and the transaction was.
    async def test_a_copy_of_a_refusal_refuses_no_commit(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        database = self.group.databases["a"]
        self.repeat(_ERROR, delays=(_COPY_DELAY,))
        database.faults.refuse, database.faults.refusals = "BUSY", 1
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        await client.query("ROLLBACK")
        await client.query("BEGIN")
        await client.query("WRITE x 2")
        request = self.next_request()
        for replica in self.group.replicas:
            self.set_until_copies_came(replica, "replication_blocked")
        received = await client.send(f"QUERY {request} COMMIT")
        self.assert_own(request, received)
        self.assert_promise_kept(request, received)

    async def transact_repeatedly(self, item: str) -> int:
        """Writes twice in each transaction; returns the commits."""
        committed = 0
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for number in range(_ROUNDS):
            received = await client.query("BEGIN")
            for part in "ab":
                request = self.next_request()
                text = f"QUERY {request} WRITE {item}{part} {number}"
                received = await client.send(text)
                self.assert_own(request, received)
            request = self.next_request()
            self.commits[request] = (
                (f"{item}a", str(number)),
                (f"{item}b", str(number)),
            )
            received = await client.send(f"QUERY {request} COMMIT")
            committed += self.assert_own(request, received)
            self.assert_promise_kept(request, received)
            if not received:
                client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        return committed

    # The copy of a transaction's opening was taken for the answer to one of its
    # writes, and each later statement got the answer of its predecessor.
    async def test_a_copy_of_an_opening_keeps_a_transaction_whole(
        self,
    ) -> None:
        self.commits: dict[str, tuple[tuple[str, str], ...]] = {}
        self.repeat(_OPENING)
        await asyncio.gather(
            *(self.transact_repeatedly(f"t{n}") for n in range(_CALLERS))
        )
        for commit in self.group.primary.log.commits:
            self.assertEqual(
                commit.writes, self.commits.get(commit.request), commit
            )
        line_cluster.assert_no_commit_lost(self.group)


class SameRequestIdTest(_ForeignAnswersTest):
    """Statements of one transaction that share a request id."""

    # The copy of a write's answer counted as the answer to its COMMIT, which
    # had the same id: the caller got a success, and nothing was committed.
    async def test_a_commit_gets_no_copy_of_the_answer_to_its_write(
        self,
    ) -> None:
        primary = self.group.databases["a"]
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.send("QUERY r1 BEGIN")
        await client.send("QUERY r1 WRITE x 1")
        self.repeat(
            frozenset({repeated_answers.AnswerKind.OTHER}),
            delays=(_COPY_DELAY,),
        )
        await client.send("QUERY r1 WRITE x 2")
        self.set_until_copies_came(primary, "unresponsive")
        received = await client.send("QUERY r1 COMMIT")
        await asyncio.sleep(1)
        if received and received[0].startswith("COMPLETE"):
            self.assertTrue(primary.log.commits, received)


class ForeignRefusalTest(_ForeignAnswersTest):
    """Writes that are refused first, at databases that take their time."""

    work = datetime.timedelta(milliseconds=60)

    # The copy of a refusal counted as the answer to the next attempt, which
    # ran; the write was sent again and took effect twice.
    async def test_a_copy_of_a_refusal_repeats_no_write(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for code in ("BUSY", "READONLY"):
            with self.subTest(code=code):
                self.repeat(_ERROR, delays=(_COPY_DELAY,))
                faults = self.group.databases["a"].faults
                faults.refuse, faults.refusals = code, 1
                request = self.next_request()
                text = f"QUERY {request} WRITE {code} 1"
                received = await client.send(text)
                self.assert_own(request, received)
                self.assertLessEqual(self.runs(request), 1)
                line_cluster.assert_no_commit_lost(self.group)


class ForeignStatusTest(_ForeignAnswersTest):
    """The queries that a proxy sends for itself."""

    async def ask(
        self, name: str, *batch: database_request.Request
    ) -> list[replies.Reply] | None:
        """Asks a database as the proxy does; None without all answers."""
        prober = self.cluster.proxies[0].fleet.group("ledger").prober
        results = await prober.ask(name, *batch)
        if results is None or not all(result.is_ok() for result in results):
            return None
        return [result.ok for result in results]

    # The copy of a former status proved that a replica's log ended where it
    # had ended before, or that the primary's did.
    async def test_a_copy_of_a_status_is_no_new_status(self) -> None:
        for name in "ab":
            with self.subTest(database=name):
                self.repeat(_STATUS, delays=(_COPY_DELAY,))
                database = self.group.databases[name]
                await self.ask(name, database_request.ReadStatus())
                self.group.databases["a"].log.append("later", (("x", "1"),))
                self.set_until_copies_came(database, "unresponsive")
                found = await self.ask(name, database_request.ReadStatus())
                if found is not None:
                    end = database.log.received
                    self.assertEqual(found[0].group.received, end)

    # The copy of a former refusal showed that a database didn't lead, though
    # it led meanwhile.
    async def test_a_copy_of_a_refused_opening_is_no_new_refusal(self) -> None:
        opening = (database_request.Begin(), database_request.Rollback())
        self.repeat(_ERROR, delays=(_COPY_DELAY,))
        database = self.group.databases["b"]
        database.faults.repeated_answers.count = 1
        await self.ask("b", *opening)
        database.log.promote(2)
        self.set_until_copies_came(database, "unresponsive")
        found = await self.ask("b", *opening)
        if found is not None:
            self.assertTrue(found[0].result.is_ok(), found)
