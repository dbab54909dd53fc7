"""Tests that statements run with the session state of their own session.

The proxy is real; the databases and the store are stand-ins.
"""

from __future__ import annotations

import asyncio

from hickorygate.core import platform_events
from hickorygate.testing import line_cluster
from hickorygate.testing import virtual_time

_SILENCE_SECONDS = 0.6
"""Longer than a proxy waits for an answer to SET, shorter than it takes for a
database to count as lost."""

_READERS = 6
"""Number of sessions that read at once, so that each connection is used."""


class _ProxyTestCase(virtual_time.VirtualTimeTestCase):
    """One proxy before three databases, of which "a" is the primary."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(clock=clock)
        )
        self.primary = self.cluster.group.databases["a"]


class SilentDatabaseTest(_ProxyTestCase):
    """A primary that is silent for a moment while a session value changes."""

    async def open_transaction(self) -> line_cluster.LineClient:
        """Returns a session with the value "plain" in a transaction."""
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("SET mode plain")
        await client.query("BEGIN")
        await client.query("READ x")
        return client

    async def query_in_silence(
        self, client: line_cluster.LineClient, text: str
    ) -> list[str]:
        """Sends a statement to a silent primary, which answers later."""
        self.primary.faults.unresponsive = True
        loop = asyncio.get_running_loop()
        loop.call_later(_SILENCE_SECONDS, self.end_silence)
        received = await client.query(text)
        await asyncio.sleep(2 * _SILENCE_SECONDS)
        return received

    def end_silence(self) -> None:
        self.primary.faults.unresponsive = False

    async def assert_reads_run_with_their_own_value(self) -> None:
        known = set(self.primary.values_of_runs)
        readers = [
            await self.cluster.connect(line_cluster.PRIMARY_DB)
            for _ in range(_READERS)
        ]
        for reader in readers:
            await reader.query("SET mode plain")
        await asyncio.gather(*(reader.query("READ x") for reader in readers))
        runs = self.primary.values_of_runs
        values = [runs[request] for request in runs.keys() - known]
        self.assertEqual(values, _READERS * [{"mode": "plain"}])

    async def test_a_set_that_is_late_in_a_transaction_reaches_no_other_session(
        self,
    ) -> None:
        # The transaction was rolled back on its connection, which returned to
        # the pool as one with the value from before the late SET (PINNED).
        client = await self.open_transaction()
        await client.query("SET mode audit")
        received = await self.query_in_silence(client, "READ x")
        self.assertTrue(received[-1].startswith("READY E"), received)
        await self.assert_reads_run_with_their_own_value()

    async def test_a_set_that_is_late_before_a_commit_reaches_no_other_session(
        self,
    ) -> None:
        # As above; a commit that can't be prepared is rejected and the
        # transaction is rolled back.
        client = await self.open_transaction()
        await client.query("WRITE x 1")
        await client.query("SET mode audit")
        received = await self.query_in_silence(client, "COMMIT")
        self.assertIn("ERROR ABORTED", received[0])
        self.assertEqual(self.cluster.group.acknowledged, [])
        await self.assert_reads_run_with_their_own_value()

    async def test_a_set_whose_caller_leaves_reaches_no_other_session(
        self,
    ) -> None:
        client = await self.open_transaction()
        await client.query("SET mode audit")
        self.primary.faults.unresponsive = True
        pending = asyncio.create_task(client.query("READ x"))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(_SILENCE_SECONDS)
        self.end_silence()
        await asyncio.sleep(_SILENCE_SECONDS)
        pending.cancel()
        await self.assert_reads_run_with_their_own_value()

    async def test_the_log_tells_which_replies_nobody_awaited(self) -> None:
        client = await self.open_transaction()
        await client.query("SET mode audit")
        await self.query_in_silence(client, "READ x")
        recorded = [
            found.event
            for found in self.cluster.proxies[0].journal.events
            if isinstance(found.event, platform_events.ConnectionUnsettled)
        ]
        expected = platform_events.ConnectionUnsettled(
            "a", "a reply was not awaited", "SetValue"
        )
        self.assertIn(expected, recorded)


class LostNamesTest(_ProxyTestCase):
    """A database that forgets the statements prepared on its connections."""

    async def execute_in_transaction(
        self, client: line_cluster.LineClient
    ) -> str:
        """Returns the first line of the answer to EXECUTE."""
        await client.query("BEGIN")
        received = await client.query("EXECUTE s x")
        await client.query("ROLLBACK")
        return received[0]

    async def test_a_name_lost_in_a_transaction_is_prepared_again(self) -> None:
        # Only single statements noted that the database lacked the name, so
        # each further transaction on the connection failed too.
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("PREPARE s READ q")
        self.assertIn("ROW", await self.execute_in_transaction(client))
        self.primary.forget_names()
        self.assertIn("UNKNSTMT", await self.execute_in_transaction(client))
        self.assertIn("ROW", await self.execute_in_transaction(client))


class OrphanedTransactionTest(_ProxyTestCase):
    """A database with transactions on its connections that nobody began."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        await super().asyncSetUp()
        self.client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await self.client.query("WRITE x 1")

    async def test_a_write_in_an_orphaned_transaction_is_not_acknowledged(
        self,
    ) -> None:
        # The write ran in a transaction that nobody commits, and its caller
        # was told that it is kept (LOST).
        self.primary.open_orphaned_transactions()
        received = await self.client.query("WRITE x 2")
        self.assertIn("ERROR INDOUBT", received[0])
        self.assertEqual(len(self.cluster.group.acknowledged), 1)

    async def test_later_statements_run_outside_of_it(self) -> None:
        self.primary.open_orphaned_transactions()
        for number in range(8):
            await self.client.query(f"WRITE x {number}")
        received = await self.client.query("WRITE x last")
        self.assertIn("COMPLETE", received[0])
        received = await self.client.query("READ x")
        self.assertEqual(received[0], "ROW last")
