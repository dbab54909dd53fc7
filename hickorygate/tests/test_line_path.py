"""Tests the path from a caller's line to a database and back.

The proxies are real; the databases and the store are stand-ins.
"""

from __future__ import annotations

import asyncio
import datetime
import unittest

from hickorygate.core import clock
from hickorygate.platform import settings
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time


def _code(received: list[str]) -> str:
    """Returns the code of a rejection, or "ok"."""
    for line in received:
        if line.startswith("ERROR"):
            return line.split(" ")[1]
    return "ok"


def _row(received: list[str]) -> str:
    assert received[0].startswith("ROW "), received
    return received[0][4:]


def _state(received: list[str]) -> str:
    return received[-1].split(" ")[1]


class LinePathTest(unittest.IsolatedAsyncioTestCase):
    """Sessions at one proxy with three databases."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(line_cluster.LineCluster())
        self.group = self.cluster.group

    async def test_an_unknown_database_name_is_refused_and_closed(self) -> None:
        port = self.cluster.proxies[0].server.port
        streams = await asyncio.open_connection("127.0.0.1", port)
        client = line_cluster.LineClient(*streams)
        received = await client.send("CONNECT nobody someone")
        self.assertEqual(_code(received), "UNKNDB")
        self.assertEqual(await client.receive(), [])
        client.close()

    async def test_callers_wait_for_the_first_configuration(
        self,
    ) -> None:
        # A proxy without a configuration knows no database name yet. After a
        # power loss such proxies refused 299 requests as unknown.
        proxy = line_cluster.LineProxy(
            "late", self.group, self.cluster.store, clock.SystemClock()
        )
        await proxy.server.start(settings.Address("127.0.0.1", 0))
        self.addAsyncCleanup(proxy.close)
        streams = await asyncio.open_connection("127.0.0.1", proxy.server.port)
        client = line_cluster.LineClient(*streams)
        connecting = asyncio.create_task(
            client.send(f"CONNECT {line_cluster.PRIMARY_DB} someone")
        )
        await asyncio.sleep(0.05)
        self.assertFalse(connecting.done())
        proxy.fleet.apply(line_cluster.make_catalog(1))
        self.assertEqual(await connecting, ["READY I -"])
        client.close()

    async def test_a_session_reads_its_own_write(self) -> None:
        client = await self.cluster.connect(line_cluster.OWN_WRITES_DB)
        for number in range(20):
            self.assertEqual(
                _code(await client.query(f"WRITE x v{number}")), "ok"
            )
            self.assertEqual(_row(await client.query("READ x")), f"v{number}")

    async def test_answers_carry_the_signature_of_their_database(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        received = await client.send("QUERY aa11 READ x")
        proof = self.group.databases["a"].execution_digest("aa11")
        self.assertIn(f"COMPLETE {proof}", received)

    async def test_a_transaction_is_atomic(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        self.assertEqual(_state(await client.query("BEGIN")), "T")
        await client.query("WRITE x 1")
        await client.query("WRITE y 1")
        self.assertEqual(_state(await client.query("COMMIT")), "I")
        await client.query("BEGIN")
        await client.query("WRITE x 2")
        self.assertEqual(_state(await client.query("ROLLBACK")), "I")
        self.assertEqual(_row(await client.query("READ x")), "1")
        self.assertEqual(len(self.group.acknowledged), 1)

    async def test_an_empty_commit_is_answered_by_the_database(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("BEGIN")
        received = await client.query("COMMIT")
        self.assertNotIn("COMPLETE -", received)
        self.assertEqual(_code(received), "ok")

    async def test_prepared_names_are_private_to_their_session(self) -> None:
        one = await self.cluster.connect(line_cluster.PRIMARY_DB)
        two = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await one.query("PREPARE s WRITE q1")
        await two.query("PREPARE s READ q1")
        self.assertEqual(_code(await one.query("EXECUTE s x 5")), "ok")
        self.assertEqual(_row(await two.query("EXECUTE s x")), "5")
        await one.query("DEALLOC s")
        received = await one.query("EXECUTE s x 6")
        self.assertEqual(_code(received), "UNKNSTMT")

    async def test_session_values_stay_with_their_session(self) -> None:
        for name in ("one", "two"):
            client = await self.cluster.connect(line_cluster.PRIMARY_DB)
            await client.query(f"SET v {name}")
            await client.query("READ x")
        plain = await self.cluster.connect(line_cluster.PRIMARY_DB)
        self.assertEqual(_code(await plain.query("READ x")), "ok")

    async def test_a_disconnect_rolls_back(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        client.close()
        other = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for _ in range(20):
            self.assertEqual(_row(await other.query("READ x")), "-")

    async def test_malformed_input_fails_one_statement(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for line in ("HELLO", "QUERY", "QUERY 1 STATUS", "QUERY 2 PAUSE 9"):
            received = await client.send(line)
            self.assertEqual(_code(received), "MALFORMED")
        self.assertEqual(_code(await client.query("READ x")), "ok")

    async def test_a_failed_transaction_accepts_only_its_end(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("BEGIN")
        self.assertEqual(_state(await client.query("NONSENSE")), "E")
        self.assertEqual(_code(await client.query("READ x")), "MALFORMED")
        self.assertEqual(_code(await client.query("SET a 1")), "MALFORMED")
        received = await client.query("COMMIT")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "I"))

    async def test_a_transaction_aborted_while_idle_is_reported_first(
        self,
    ) -> None:
        # A shutdown aborts idle transactions. Their callers must get ABORTED
        # first. After one shutdown three of them got MALFORMED instead.
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        (caller,) = self.cluster.proxies[0].server.callers
        caller.session.abort_open_transaction()
        received = await client.query("WRITE x 2")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))
        self.assertEqual(_code(await client.query("READ x")), "MALFORMED")
        await client.query("ROLLBACK")
        self.assertEqual(_row(await client.query("READ x")), "-")

    async def test_pipelined_statements_are_answered_in_order(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        first = await client.send("QUERY 1 WRITE x 1\r\nQUERY 2 READ x")
        second = await client.receive()
        self.assertEqual((_code(first), _row(second)), ("ok", "1"))

    async def test_a_lost_answer_of_a_write_is_in_doubt(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("READ x")
        self.group.databases["a"].faults.lose_answers = 1
        received = await client.query("WRITE x 1")
        self.assertEqual(_code(received), "INDOUBT")
        ran = [text for _, text in self.group.databases["a"].ran]
        self.assertEqual(ran.count("WRITE x 1"), 1)

    async def test_a_read_whose_answer_is_lost_is_retried(self) -> None:
        client = await self.cluster.connect(line_cluster.BOUNDED_DB)
        for database in self.group.databases.values():
            database.faults.lose_answers = 1
        self.assertEqual(_code(await client.query("READ x")), "ok")

    async def test_a_statement_lost_in_a_transaction_aborts_it(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("BEGIN")
        self.group.databases["a"].faults.lose_answers = 1
        received = await client.query("WRITE x 1")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))
        await client.query("ROLLBACK")
        self.assertEqual(_row(await client.query("READ x")), "-")

    async def test_a_statement_is_retried_at_a_busy_database(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        faults = self.group.databases["a"].faults
        faults.refuse, faults.refusals = "BUSY", 2
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        self.assertEqual(len(self.group.acknowledged), 1)

    async def test_retries_at_a_busy_database_are_bounded(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        database = self.group.databases["a"]
        database.faults.refuse, database.faults.refusals = "BUSY", 10_000
        # The deadline may cut the last attempt short.
        code = _code(await client.query("READ x"))
        self.assertIn(code, ("BUSY", "TIMEOUT"))
        asked = 10_000 - database.faults.refusals
        self.assertLess(asked, 25)

    async def test_each_request_id_runs_once(self) -> None:
        client = await self.cluster.connect(line_cluster.OWN_WRITES_DB)
        for number in range(5):
            await client.query(f"WRITE x {number}")
        ids = [r for d in self.group.databases.values() for r, _ in d.ran]
        self.assertEqual(len(ids), len(set(ids)))


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Requests that arrive shortly before the exit of a proxy.

    The platform sends new callers to a stopping proxy if most proxies of its
    availability zone stop at the same time. A session that was opened half a
    second before the exit was cut off with its first request unanswered.
    """

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(line_cluster.LineCluster())
        (self.proxy,) = self.cluster.proxies

    async def test_a_late_session_is_refused_as_not_run(self) -> None:
        self.proxy.shutdown.refuses_sessions = True
        streams = await asyncio.open_connection(
            "127.0.0.1", self.proxy.server.port
        )
        client = line_cluster.LineClient(*streams)
        self.addCleanup(client.close)
        received = await client.send(
            f"CONNECT {line_cluster.PRIMARY_DB} someone"
        )
        self.assertEqual(_code(received), "BUSY")
        self.assertEqual(await client.receive(), [])

    async def test_a_request_is_answered_before_the_exit(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        for name in ("b", "c"):
            self.cluster.group.databases[name].crash()
        now = clock.SystemClock().now()
        exit_time = now + datetime.timedelta(milliseconds=300)
        self.proxy.shutdown.answer_by = exit_time
        async with asyncio.timeout(1):
            received = await client.query("WRITE x 1")
        # No replica confirms the write, so its outcome is unknown.
        self.assertEqual(_code(received), "INDOUBT")


class FailoverTest(virtual_time.VirtualTimeTestCase):
    """Failover with two proxies, for different faults of the primary."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                proxies=2,
                clock=virtual_time.LoopClock(asyncio.get_running_loop()),
            )
        )
        self.group = self.cluster.group
        self.clients = [
            await self.cluster.connect(line_cluster.PRIMARY_DB, proxy)
            for proxy in (0, 1)
        ]
        for number, client in enumerate(self.clients):
            self.assertEqual(
                _code(await client.query(f"WRITE k{number} 1")), "ok"
            )

    async def write_until_served(self) -> None:
        for number, client in enumerate(self.clients):
            for _ in range(40):
                received = await client.query(f"WRITE k{number} 2")
                if _code(received) == "ok":
                    break
            self.assertEqual(_code(received), "ok")
            self.assertEqual(_row(await client.query(f"READ k{number}")), "2")

    async def test_a_crashed_primary_is_replaced(self) -> None:
        self.group.databases["a"].crash()
        await self.write_until_served()
        self.assertEqual(len(self.group.promotions), 1)
        line_cluster.assert_no_commit_lost(self.group)

    async def test_a_silent_primary_is_replaced(self) -> None:
        self.group.databases["a"].faults.unresponsive = True
        await self.write_until_served()
        self.assertEqual(len(self.group.promotions), 1)
        line_cluster.assert_no_commit_lost(self.group)

    async def until_promoted(self, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while not self.group.promotions:
                await asyncio.sleep(0.01)

    async def test_a_crash_is_detected_despite_an_idle_transaction(
        self,
    ) -> None:
        # A connection that an idle transaction held counted as open. The crash
        # was not detected, and there was no primary for 7 s.
        idle = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await idle.query("BEGIN")
        await idle.query("READ k0")
        self.group.databases["a"].crash()
        await self.until_promoted(1.5)
        line_cluster.assert_no_commit_lost(self.group)

    async def test_a_silent_primary_is_lost_after_a_second(self) -> None:
        self.group.databases["a"].faults.unresponsive = True
        await self.until_promoted(2.2)

    async def test_an_unlisted_primary_is_replaced(self) -> None:
        self.group.databases["a"].crash()
        for proxy in self.cluster.proxies:
            listed = [m for m in self.group.members() if m.id != "a"]
            group = proxy.fleet.group("ledger")
            known = dict.fromkeys("bc", clock.SystemClock().now())
            group.set_members(tuple(listed), known)
        await self.until_promoted(1.5)
        line_cluster.assert_no_commit_lost(self.group)

    async def test_a_deaf_replica_is_not_promoted(self) -> None:
        self.group.databases["b"].faults.replication_blocked = True
        for number in range(5):
            received = await self.clients[0].query(f"WRITE z {number}")
            self.assertEqual(_code(received), "ok")
        self.group.databases["a"].crash()
        while not self.group.promotions:
            await asyncio.sleep(0.01)
        self.group.databases["b"].faults.replication_blocked = False
        await self.write_until_served()
        self.assertEqual(self.group.promotions, ["c"])
        line_cluster.assert_no_commit_lost(self.group)

    async def test_a_primary_that_cannot_commit_is_replaced(
        self,
    ) -> None:
        for name in "bc":
            self.group.databases[name].faults.replication_blocked = True
        writes = [
            asyncio.create_task(client.query("WRITE z 1"))
            for client in self.clients
        ]
        await asyncio.sleep(0.3)
        writes.append(
            asyncio.create_task(self.more_writes(self.clients.copy()))
        )
        while not self.group.promotions:
            await asyncio.sleep(0.01)
        for name in "bc":
            self.group.databases[name].faults.replication_blocked = False
        await asyncio.gather(*writes)
        line_cluster.assert_no_commit_lost(self.group)

    async def more_writes(self, _: list[line_cluster.LineClient]) -> None:
        for proxy in (0, 1):
            client = await self.cluster.connect(line_cluster.PRIMARY_DB, proxy)
            await client.query("WRITE z 2")

    async def test_a_leaving_primary_hands_over(self) -> None:
        self.group.databases["a"].leaving = True
        for proxy in self.cluster.proxies:
            proxy.reload_members()
        await self.write_until_served()
        while not self.group.promotions:
            await asyncio.sleep(0.01)
        await self.write_until_served()
        self.assertEqual(len(self.group.promotions), 1)
        line_cluster.assert_no_commit_lost(self.group)

    async def test_no_promotion_while_a_replica_is_unreachable(
        self,
    ) -> None:
        self.group.databases["c"].crash()
        await asyncio.sleep(0.4)
        self.group.databases["a"].crash()
        await asyncio.sleep(1.2)
        self.assertEqual(self.group.promotions, [])
        await self.group.databases["c"].start()
        await self.write_until_served()
        line_cluster.assert_no_commit_lost(self.group)

    async def test_promotion_numbers_rise_with_each_holder(self) -> None:
        self.group.databases["a"].crash()
        await self.write_until_served()
        await self.group.databases["a"].start()
        await asyncio.sleep(0.3)
        self.group.databases[self.group.promotions[0]].crash()
        await self.write_until_served()
        orders = self.cluster.store.promotion_calls
        numbers = [number for _, number in orders]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len({h for h, _ in orders}), len(set(numbers)))
        line_cluster.assert_no_commit_lost(self.group)


class StaleReadTest(unittest.IsolatedAsyncioTestCase):
    """Reads while a former primary still considers itself the primary."""

    async def test_a_former_primary_serves_no_read(self) -> None:
        async with line_cluster.LineCluster() as cluster:
            client = await cluster.connect(line_cluster.PRIMARY_DB)
            await client.query("WRITE x old")
            self._depose(cluster.group)
            position = cluster.group.databases["b"].log.append(
                "other", (("x", "new"),)
            )
            cluster.group.acknowledged.append(position)
            self.assertEqual(_row(await client.query("READ x")), "new")

    async def test_bounded_reads_continue_without_a_primary(self) -> None:
        async with line_cluster.LineCluster() as cluster:
            writer = await cluster.connect(line_cluster.PRIMARY_DB)
            await writer.query("WRITE x 1")
            await asyncio.sleep(0.5)
            cluster.store.down = True
            cluster.group.databases["a"].crash()
            reader = await cluster.connect(line_cluster.BOUNDED_DB)
            for _ in range(40):
                self.assertEqual(_row(await reader.query("READ x")), "1")
                await asyncio.sleep(0.05)

    def _depose(self, group: line_group.LineGroup) -> None:
        """Promotes another database without the knowledge of the first one."""
        group.databases["a"].faults.replication_blocked = True
        group.databases["b"].log.promote(2)


if __name__ == "__main__":
    unittest.main()
