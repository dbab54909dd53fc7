"""Tests statements that one proxy sends to another.

The proxies and the links between them are real, the databases and the store
stand-ins. Time is virtual.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import struct

from hickorygate.core import access_policy
from hickorygate.core import platform_events
from hickorygate.core import workspace
from hickorygate.proxies import incoming_link
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time

_SERVICE = "ledger"
_SLOW = line_group.Capacity(time=datetime.timedelta(milliseconds=200))
_MIDDLE = 0.1
"""Time in seconds at which a statement of a slow database is half done."""


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


class ServingTestCase(virtual_time.VirtualTimeTestCase):
    """Four proxies of one zone, two of which serve the others.

    Attributes:
      cluster: proxies, databases and store.
      gateway: a proxy that serves nothing.
      servers: serving proxies, in the gateway's order.
    """

    work = line_group.Capacity()

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                proxies=4,
                clock=virtual_time.LoopClock(asyncio.get_running_loop()),
                work=self.work,
            )
        )
        self.group = self.cluster.group
        self.configure(2)
        self.cluster.count_proxies()
        by_name = {proxy.name: proxy for proxy in self.cluster.proxies}
        self.gateway = next(
            p for p in self.cluster.proxies if not p.plan.serves(_SERVICE)
        )
        self.servers = [
            by_name[name] for name in self.gateway.plan.candidates(_SERVICE, "")
        ]
        self.assertEqual(len(self.servers), 2)

    def configure(self, version: int) -> None:
        """Applies a configuration with fewer connections than proxies."""
        for proxy in self.cluster.proxies:
            proxy.fleet.apply(line_cluster.make_catalog(version, connections=3))

    async def connect(
        self, name: str = line_cluster.PRIMARY_DB
    ) -> line_cluster.LineClient:
        number = self.cluster.proxies.index(self.gateway)
        return await self.cluster.connect(name, number)

    def served(self) -> list[int]:
        """Returns the number of statements that each server ran."""
        return [server.statements.served.total() for server in self.servers]

    def runs(self) -> collections.Counter[str]:
        """Returns how often the databases ran each statement."""
        return collections.Counter(
            text
            for database in self.group.databases.values()
            for _, text in database.ran
        )

    def link(self) -> incoming_link.IncomingLink:
        (link,) = self.servers[0].statements.links
        return link

    def drop_link(self) -> None:
        """Cuts the link from the gateway to its first server."""
        self.link().close()


class ForwardingTest(ServingTestCase):
    """Sessions at a gateway whose servers work."""

    async def test_a_session_reads_its_own_writes(self) -> None:
        # A gateway that loses the position of a commit lets a replica answer
        # with older data.
        client = await self.connect(line_cluster.OWN_WRITES_DB)
        for number in range(10):
            received = await client.query(f"WRITE x v{number}")
            self.assertEqual(_code(received), "ok")
            self.assertEqual(_row(await client.query("READ x")), f"v{number}")
        self.assertEqual(self.served(), [20, 0])

    async def test_a_floor_goes_with_the_session_to_another_server(
        self,
    ) -> None:
        client = await self.connect(line_cluster.OWN_WRITES_DB)
        for name in "bc":
            self.group.databases[name].faults.replication_blocked = name == "b"
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        self.servers[0].statements.leave()
        for _ in range(10):
            self.assertEqual(_row(await client.query("READ x")), "1")
        self.assertEqual(self.served(), [1, 10])

    async def test_a_transaction_runs_at_one_server(self) -> None:
        client = await self.connect()
        received = await client.query("BEGIN")
        self.assertEqual(_state(received), "T")
        for text in ("WRITE x 1", "READ x", "WRITE y 2"):
            received = await client.query(text)
            self.assertEqual((_code(received), _state(received)), ("ok", "T"))
        other = await self.connect()
        self.assertEqual(_row(await other.query("READ x")), "-")
        received = await client.query("COMMIT")
        self.assertEqual((_code(received), _state(received)), ("ok", "I"))
        self.assertEqual(_row(await other.query("READ x")), "1")
        self.assertEqual(self.link().transactions, 0)

    async def test_a_commit_raises_the_floor_of_its_session(self) -> None:
        client = await self.connect(line_cluster.OWN_WRITES_DB)
        for number in range(5):
            await client.query("BEGIN")
            await client.query(f"WRITE x {number}")
            self.assertEqual(_code(await client.query("COMMIT")), "ok")
            self.assertEqual(_row(await client.query("READ x")), str(number))

    async def test_a_rollback_leaves_nothing(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        received = await client.query("ROLLBACK")
        self.assertEqual((_code(received), _state(received)), ("ok", "I"))
        self.assertEqual(_row(await client.query("READ x")), "-")
        self.assertEqual(self.link().transactions, 0)

    async def test_a_transaction_without_statements_needs_no_server(
        self,
    ) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        self.assertEqual(_state(await client.query("ROLLBACK")), "I")
        self.assertEqual(self.served(), [0, 0])

    async def test_a_failed_statement_aborts_as_without_a_server(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.group.databases["a"].faults.lose_answers = 1
        received = await client.query("WRITE x 2")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))
        self.assertEqual(_code(await client.query("READ x")), "MALFORMED")
        await client.query("ROLLBACK")
        self.assertEqual(_row(await client.query("READ x")), "-")
        self.assertEqual(self.link().transactions, 0)

    async def test_values_and_prepared_statements_go_along(self) -> None:
        one, two = await self.connect(), await self.connect()
        await one.query("SET v one")
        await one.query("PREPARE s WRITE q1")
        await two.query("PREPARE s READ q1")
        self.assertEqual(_code(await one.query("EXECUTE s x 5")), "ok")
        self.assertEqual(_row(await two.query("EXECUTE s x")), "5")
        values = [
            v
            for database in self.group.databases.values()
            for v in database.values_of_runs.values()
        ]
        self.assertIn({"v": "one"}, values)
        self.assertIn({}, values)
        await one.query("DEALLOC s")
        self.assertEqual(_code(await one.query("EXECUTE s x 6")), "UNKNSTMT")

    async def test_only_servers_monitor_the_group(self) -> None:
        # Each proxy that monitors a group keeps connections to its databases.
        # Longer than a group that others serve stays open without use.
        await asyncio.sleep(4)
        monitoring = [bool(p.fleet.groups) for p in self.cluster.proxies]
        serving = [p in self.servers for p in self.cluster.proxies]
        self.assertEqual(monitoring, serving)
        for server in self.servers:
            self.assertEqual(server.plan.servers(_SERVICE), 2)

    async def test_idle_links_are_closed(self) -> None:
        client = await self.connect()
        await client.query("READ x")
        await asyncio.sleep(32)
        self.assertEqual(self.servers[0].statements.links, frozenset())
        self.assertEqual(_code(await client.query("READ x")), "ok")


class RefusalTest(ServingTestCase):
    """Servers that don't run a statement."""

    async def test_an_outdated_server_is_passed_over(self) -> None:
        client = await self.connect()
        for proxy in self.cluster.proxies:
            if proxy is not self.servers[0]:
                proxy.fleet.apply(line_cluster.make_catalog(3, connections=3))
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        self.assertEqual(self.served(), [0, 1])

    async def test_outdated_servers_are_asked_again(self) -> None:
        # All gateways ran statements themselves whenever they learned of a
        # configuration before the servers.
        client = await self.connect()
        newer = line_cluster.make_catalog(3, connections=3)
        self.gateway.fleet.apply(newer)
        writing = asyncio.create_task(client.query("WRITE x 1"))
        await asyncio.sleep(_MIDDLE)
        self.servers[1].fleet.apply(newer)
        self.assertEqual(_code(await writing), "ok")
        self.assertEqual(self.served(), [0, 1])

    async def test_statements_run_despite_outdated_servers(self) -> None:
        client = await self.connect()
        self.gateway.fleet.apply(line_cluster.make_catalog(3, connections=3))
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        self.assertEqual(self.served(), [0, 0])

    async def test_a_newer_version_is_noticed(self) -> None:
        client = await self.connect()
        self.servers[0].fleet.apply(line_cluster.make_catalog(3, connections=3))
        await client.query("READ x")
        self.assertEqual(self.gateway.seen_versions, [3])

    async def test_a_leaving_server_gets_no_new_work(self) -> None:
        client, other = await self.connect(), await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.servers[0].statements.leave()
        self.assertEqual(_code(await other.query("READ y")), "ok")
        self.assertEqual(self.served(), [1, 1])
        self.assertEqual(_code(await client.query("COMMIT")), "ok")
        self.assertFalse(self.servers[0].statements.busy)

    async def test_a_leaving_server_reports_aborted_transactions(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.servers[0].statements.leave()
        self.servers[0].statements.abort_idle_transactions()
        received = await client.query("WRITE x 2")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))
        await client.query("ROLLBACK")
        self.assertFalse(self.servers[0].statements.busy)
        self.assertEqual(_row(await client.query("READ x")), "-")

    async def test_a_proxy_without_servers_serves_itself(self) -> None:
        for server in self.servers:
            await server.kill()
        client = await self.connect()
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        await client.query("BEGIN")
        self.assertEqual(_row(await client.query("READ x")), "1")
        self.assertEqual(_code(await client.query("COMMIT")), "ok")

    async def test_a_malformed_frame_closes_its_link_only(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        port = self.servers[0].statements.port
        for frame in (
            b"\xff\xff\xff\xff",
            struct.pack("!I", 3) + b"abc",
            struct.pack("!I", 2) + b"\x91\x07",
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            self.addCleanup(writer.close)
            writer.write(frame)
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(_code(await client.query("COMMIT")), "ok")

    async def test_a_link_for_another_proxy_is_closed(self) -> None:
        # A new process may listen at the former address of another proxy.
        self.gateway.plan.set_proxies(
            {
                self.servers[0].name: self.servers[1].registered(),
                self.servers[1].name: self.servers[0].registered(),
            }
        )
        self.gateway.fleet.apply(line_cluster.make_catalog(3, connections=1))
        client = await self.connect()
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")
        self.assertEqual(self.runs()["WRITE x 1"], 1)
        self.assertEqual(self.served(), [0, 0])


class RevocationTest(virtual_time.VirtualTimeTestCase):
    """A key that is removed while statements wait at a serving proxy."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        # One slot, so that statements wait in the serving proxy.
        work = line_group.Capacity(1, datetime.timedelta(milliseconds=200))
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(
                proxies=4,
                clock=virtual_time.LoopClock(asyncio.get_running_loop()),
                work=work,
            )
        )
        self.configure(2, "someone", "other")
        self.cluster.count_proxies()
        candidates = self.cluster.proxies[0].plan.candidates(_SERVICE, "w1")
        names = [proxy.name for proxy in self.cluster.proxies]
        self.number = names.index(candidates[-1])
        self.server = self.cluster.proxies[names.index(candidates[0])]

    def configure(self, version: int, *keys: str) -> None:
        """Applies a configuration in which all keys belong to one workspace."""
        found = workspace.Workspace("w1")
        catalog = dataclasses.replace(
            line_cluster.make_catalog(version),
            workspaces={"w1": found},
            access=access_policy.KeyedAccess(
                workspace.KeyRing(
                    {workspace.Credential.of(key): found for key in keys}
                )
            ),
        )
        for proxy in self.cluster.proxies:
            proxy.fleet.apply(catalog)

    async def test_waiting_statements_are_rejected(self) -> None:
        clients = [
            await self.cluster.connect(line_cluster.PRIMARY_DB, self.number)
            for _ in range(6)
        ]
        writing = [
            asyncio.create_task(client.query(f"WRITE k{number} 1"))
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(_MIDDLE)
        self.assertEqual(
            sum(link.running for link in self.server.statements.links), 6
        )
        self.configure(3, "other")
        codes = collections.Counter(
            _code(received) for received in await asyncio.gather(*writing)
        )
        ran = {
            text
            for database in self.cluster.group.databases.values()
            for _, text in database.ran
        }
        self.assertEqual(codes["ok"], len(ran))
        self.assertGreater(codes["AUTHFAIL"], 0)
        self.assertEqual(codes["ok"] + codes["AUTHFAIL"], 6)

    async def test_an_open_transaction_is_rolled_back(self) -> None:
        client = await self.cluster.connect(
            line_cluster.PRIMARY_DB, self.number
        )
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.assertTrue(self.server.statements.busy)
        self.configure(3, "other")
        await asyncio.sleep(1)
        self.assertFalse(self.server.statements.busy)


class LossTest(ServingTestCase):
    """Servers that are lost while a statement is outstanding."""

    work = _SLOW

    async def lose_during(
        self, client: line_cluster.LineClient, text: str
    ) -> list[str]:
        """Kills the first server while a statement runs there."""
        querying = asyncio.create_task(client.query(text))
        await asyncio.sleep(_MIDDLE)
        self.assertEqual(self.link().running, 1)
        await self.servers[0].kill()
        return await querying

    async def test_a_read_is_served_by_the_next_one(self) -> None:
        client = await self.connect()
        received = await self.lose_during(client, "READ x")
        self.assertEqual(_code(received), "ok")
        self.assertEqual(self.served(), [0, 1])

    async def test_a_write_is_in_doubt_and_never_repeated(self) -> None:
        client = await self.connect()
        received = await self.lose_during(client, "WRITE x 1")
        self.assertEqual((_code(received), _state(received)), ("INDOUBT", "I"))
        await asyncio.sleep(4)
        self.assertLessEqual(self.runs()["WRITE x 1"], 1)
        self.assertEqual(_code(await client.query("WRITE x 2")), "ok")

    async def test_a_commit_of_a_write_is_in_doubt(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        for name in "bc":
            self.group.databases[name].faults.replication_blocked = True
        received = await self.lose_during(client, "COMMIT")
        self.assertEqual((_code(received), _state(received)), ("INDOUBT", "I"))

    async def test_a_commit_without_writes_is_aborted(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("READ x")
        self.link()._transport.pause_reading()
        committing = asyncio.create_task(client.query("COMMIT"))
        await asyncio.sleep(_MIDDLE)
        await self.servers[0].kill()
        received = await committing
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "I"))

    async def test_an_open_transaction_is_aborted(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        await self.servers[0].kill()
        received = await client.query("WRITE x 2")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))
        self.assertEqual(_state(await client.query("ROLLBACK")), "I")
        self.assertEqual(_row(await client.query("READ x")), "-")
        self.assertEqual(self.runs()["WRITE x 2"], 0)

    async def test_a_statement_of_a_transaction_aborts_it(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("READ x")
        received = await self.lose_during(client, "WRITE x 1")
        self.assertEqual((_code(received), _state(received)), ("ABORTED", "E"))

    async def test_a_silent_server_delays_no_read(self) -> None:
        client = await self.connect()
        await client.query("READ x")
        # The link stays open; nothing that the gateway sends is read.
        transport = self.link()._transport
        transport.pause_reading()
        began = asyncio.get_running_loop().time()
        self.assertEqual(_code(await client.query("READ x")), "ok")
        took = asyncio.get_running_loop().time() - began
        # Ping after 150 ms, silence 400 ms later, checks each 50 ms, and the
        # read itself takes 200 ms.
        self.assertLess(took, 1.0)
        self.assertEqual(self.served(), [1, 1])
        writing = asyncio.create_task(client.query("WRITE x 1"))
        self.assertEqual(_code(await writing), "ok")
        self.assertEqual(self.served(), [1, 2])

    async def test_a_resumed_server_runs_nothing_for_nobody(self) -> None:
        client = await self.connect()
        await client.query("READ x")
        transport = self.link()._transport
        transport.pause_reading()
        self.assertEqual(_code(await client.query("READ y")), "ok")
        transport.resume_reading()
        await asyncio.sleep(0.5)
        self.assertEqual(self.runs()["READ y"], 1)
        self.assertEqual(self.servers[0].statements.served["timed out"], 1)

    async def test_a_write_waits_for_a_silent_server(self) -> None:
        # A write that is given up too early is in doubt without need.
        client = await self.connect()
        await client.query("READ x")
        transport = self.link()._transport
        transport.pause_reading()
        writing = asyncio.create_task(client.query("WRITE x 1"))
        await asyncio.sleep(1)
        self.assertFalse(writing.done())
        transport.resume_reading()
        self.assertEqual(_code(await writing), "ok")
        self.assertEqual(self.runs()["WRITE x 1"], 1)
        lost = [
            recorded.event
            for recorded in self.gateway.journal.events
            if isinstance(recorded.event, platform_events.LinkLost)
        ]
        self.assertEqual(len(lost), 1)

    async def test_a_gateway_that_leaves_rolls_back(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.assertEqual(self.link().transactions, 1)
        link = self.link()
        await self.gateway.kill()
        await asyncio.sleep(1)
        self.assertEqual(link.transactions, 0)
        self.assertFalse(self.servers[0].statements.busy)
        number = self.cluster.proxies.index(self.servers[1])
        other = await self.cluster.connect(line_cluster.PRIMARY_DB, number)
        self.assertEqual(_row(await other.query("READ x")), "-")

    async def test_a_caller_that_leaves_rolls_back(self) -> None:
        client = await self.connect()
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        writing = asyncio.create_task(client.query("WRITE y 1"))
        await asyncio.sleep(_MIDDLE)
        client.close()
        await asyncio.sleep(1)
        writing.cancel()
        self.assertFalse(self.servers[0].statements.busy)
        other = await self.connect()
        self.assertEqual(_row(await other.query("READ x")), "-")

    async def test_a_cut_link_ends_only_its_own_statements(self) -> None:
        client = await self.connect()
        reading = asyncio.create_task(client.query("READ x"))
        await asyncio.sleep(_MIDDLE)
        self.drop_link()
        self.assertEqual(_code(await reading), "ok")
        self.assertEqual(_code(await client.query("WRITE x 1")), "ok")


del ServingTestCase
