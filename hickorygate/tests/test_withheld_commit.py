"""Tests commits that a primary acknowledges while it is being replaced.

The pattern: a proxy that doesn't reach the primary pauses both replicas and
orders the promotion of one. Before the order takes effect, another database
receives from the former primary: the other replica, which has restarted, or one
that has just joined. So the former primary acknowledges what waited. The
promoted database lacks it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import unittest

from hickorygate.core import platform_events
from hickorygate.testing import line_cluster

_PROMOTION = datetime.timedelta(seconds=0.6)
_NEW_TERM = 2


class WithheldCommitTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that reaches all databases, beside one that replaces a."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = line_cluster.LineCluster(promotion_delay=_PROMOTION)
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.__aexit__)
        self.group = self.cluster.group

    def replace_primary(self) -> None:
        """Does what a takeover of another proxy does."""
        for name in ("b", "c"):
            self.group.databases[name].log.pause(_NEW_TERM)
        self.group.promote("c")

    async def restart_replica(self) -> None:
        replica = self.group.databases["b"]
        replica.crash()
        await asyncio.sleep(0.1)
        replica.log.paused_for = 0
        await replica.start()

    async def add_replica(self) -> None:
        """Adds a database that no proxy has heard of."""
        await self.group.join("d")

    async def told_as_kept(
        self,
        *statements: str,
        disturb: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Returns whether the caller was told that its write is kept.

        Args:
          *statements: statements after the first write; the last one commits.
          disturb: lets the former primary acknowledge while the order is under
            way; restarts a replica by default.
        """
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("WRITE first x")
        for statement in statements[:-1]:
            await client.query(statement)
        self.replace_primary()
        asking = asyncio.create_task(client.query(statements[-1]))
        await asyncio.sleep(0.1)
        await (disturb or self.restart_replica)()
        lines = await asking
        while not self.group.promotions:
            await asyncio.sleep(0.01)
        self.assertTrue(self.group.lost, "nothing was at stake")
        return any(line.startswith("COMPLETE") for line in lines)

    async def test_a_write_that_the_promoted_database_lacks_is_in_doubt(
        self,
    ) -> None:
        # Guards against the loss of review/8.
        self.assertFalse(await self.told_as_kept("WRITE second x"))

    async def test_a_commit_that_the_promoted_database_lacks_is_in_doubt(
        self,
    ) -> None:
        # As above, for a transaction.
        self.assertFalse(
            await self.told_as_kept("BEGIN", "WRITE second x", "COMMIT")
        )

    async def test_a_commit_that_only_an_unlisted_database_holds_is_in_doubt(
        self,
    ) -> None:
        # Guards against the loss of issue 46.
        kept = await self.told_as_kept(
            "BEGIN", "WRITE second x", "COMMIT", disturb=self.add_replica
        )
        self.assertFalse(kept)

    async def test_commits_are_told_at_once_after_a_replica_restarted(
        self,
    ) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        await client.query("WRITE first x")
        await self.restart_replica()
        loop = asyncio.get_running_loop()
        began = loop.time()
        lines = await client.query("WRITE second x")
        self.assertTrue(lines[0].startswith("COMPLETE"), lines)
        self.assertLess(loop.time() - began, 1.0)

    async def test_a_reported_commit_is_recorded(self) -> None:
        client = await self.cluster.connect(line_cluster.PRIMARY_DB)
        lines = await client.query("WRITE first x")
        self.assertTrue(lines[0].startswith("COMPLETE"), lines)
        (commit,) = (
            entry.event
            for entry in self.cluster.proxies[0].journal.events
            if isinstance(entry.event, platform_events.CommitReported)
        )
        self.assertEqual((commit.database, commit.term), ("a", 1))
        self.assertEqual(
            commit.position, self.group.databases["a"].log.received
        )
