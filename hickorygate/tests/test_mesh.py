"""Tests of the links between proxies over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import random
import unittest

import msgpack
import zmq

from hickorygate.core import clock
from hickorygate.core import document
from hickorygate.core import events
from hickorygate.core import settings
from hickorygate.platform import connect
from hickorygate.proxies import codec
from hickorygate.proxies import member as members
from hickorygate.proxies import messages
from hickorygate.store import client as clients
from hickorygate.store import objects
from hickorygate.testing import control
from hickorygate.testing import object_store
from hickorygate.testing import sheets

_TIMEOUT = datetime.timedelta(seconds=20)
_POLL_INTERVAL = datetime.timedelta(milliseconds=10)
_UNREACHABLE_URL = "http://127.0.0.1:1"


class MeshTest(unittest.IsolatedAsyncioTestCase):
    """Proxies get documents, reports and members with and without a store."""

    async def asyncSetUp(self) -> None:
        self.platform = object_store.ObjectStore()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        self.planes: list[control.ControlPlane] = []

    async def start(
        self,
        name: str,
        url: str | None = None,
        seeds: tuple[str, ...] | None = None,
        curve: settings.CurveSettings | None = None,
    ) -> control.ControlPlane:
        if seeds is None:
            seeds = tuple(plane.mesh.address for plane in self.planes)
        peers = settings.PeerSettings(
            seeds=seeds, heartbeat_ms=100, curve=curve
        )
        plane = control.ControlPlane(name, "a", url or self.platform.url, peers)
        await plane.start()
        self.addAsyncCleanup(plane.close)
        self.planes.append(plane)
        return plane

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            while not condition():
                await asyncio.sleep(_POLL_INTERVAL.total_seconds())

    async def load(self, text: str, expected: int) -> clients.VersionResult:
        client = connect.build_client(
            settings.PlatformSettings(url=self.platform.url),
            clock.SystemClock(),
            random.Random(text),
        )
        self.addAsyncCleanup(client.close)
        now = datetime.datetime.now(datetime.UTC)
        value = objects.SheetObject(text=text, loaded_by="t", loaded_at=now)
        return await client.store_sheet(value, expected)

    def knows(
        self, plane: control.ControlPlane, other: control.ControlPlane
    ) -> bool:
        return other.name in plane.mesh.membership.names

    async def test_sheet_is_received_from_a_peer_without_a_store(self) -> None:
        loaded = await self.load(sheets.text(), 0)
        await self.start("p1")
        without_store = await self.start("p2", _UNREACHABLE_URL)
        self.assertFalse(without_store.version)
        await self.wait_for(lambda: without_store.version == loaded.ok)

    async def test_loaded_sheet_is_in_force_on_every_proxy(self) -> None:
        for number in range(5):
            await self.start(f"p{number}")
        loaded = await self.load(sheets.text(), 0)
        await self.wait_for(
            lambda: all(p.version == loaded.ok for p in self.planes)
        )

    async def test_racing_loads_leave_one_sheet_in_force(self) -> None:
        for number in range(3):
            await self.start(f"p{number}")
        texts = [sheets.text(comment=name) for name in ("anna", "bert")]
        results = await asyncio.gather(*(self.load(t, 0) for t in texts))
        successes = [
            (text, result.ok)
            for text, result in zip(texts, results, strict=True)
            if result.is_ok()
        ]
        self.assertEqual(len(successes), 1)
        text, version = successes[0]
        await self.wait_for(
            lambda: all(p.version == version for p in self.planes)
        )
        for plane in self.planes:
            self.assertEqual(plane.manager.sheet.text, text)

    async def test_bad_sheet_is_reported_and_the_old_one_kept(self) -> None:
        plane = await self.start("p1")
        loaded = await self.load(sheets.text(), 0)
        await self.wait_for(lambda: plane.version == loaded.ok)
        await self.load("format: 9", loaded.ok)
        rejected = events.ConfigRejected
        await self.wait_for(
            lambda: any(
                isinstance(r.event, rejected) for r in plane.timeline.events
            )
        )
        self.assertEqual(plane.version, loaded.ok)

    async def test_leaving_instance_is_propagated_without_a_store(self) -> None:
        await self.start("p1")
        without_store = await self.start("p2", _UNREACHABLE_URL)
        instance = {
            "name": "alert-db-0a",
            "address": "127.0.0.1:10000",
            "zone": "a",
            "state": "leaving",
        }
        self.platform.set_instances([instance])
        await self.wait_for(lambda: "alert-db-0a" in without_store.leaving)
        self.platform.set_instances([dict(instance, state="live")])
        await self.wait_for(lambda: not without_store.leaving)

    async def test_report_is_delivered(self) -> None:
        first = await self.start("p1")
        second = await self.start("p2")
        await self.wait_for(lambda: self.knows(second, first))
        report = messages.DemandReport(
            "alert-db-0a", (messages.RankDemand("urgent", 3, 1),)
        )
        second.mesh.publish(report)
        await self.wait_for(lambda: first.reports == [report])

    async def test_packet_of_another_version_is_refused(self) -> None:
        plane = await self.start("p1")
        context = zmq.Context()
        socket = context.socket(zmq.PUSH)
        self.addCleanup(context.destroy, linger=0)
        socket.connect(f"tcp://{plane.mesh.address}")
        for packet in ([1, "ping", {}, {}], [2, "ping", {}, {}], "x"):
            socket.send(msgpack.packb(packet))
        await self.wait_for(lambda: plane.mesh.counts["packets_refused"] == 3)
        self.assertEqual(plane.mesh.membership.names, ("p1",))

    async def test_malformed_packets_do_not_end_the_reception(self) -> None:
        plane = await self.start("p1")
        context = zmq.Context()
        socket = context.socket(zmq.PUSH)
        self.addCleanup(context.destroy, linger=0)
        socket.connect(f"tcp://{plane.mesh.address}")
        far = datetime.datetime(9999, 12, 31, tzinfo=datetime.UTC)
        sender = members.Member("p-9", "127.0.0.1:9", "127.0.0.1:8", "a", 1)
        header = messages.Header(sender, far, 0, messages.Versions(), 0, 0)
        packets = (
            msgpack.packb([2, [], {}, {}]),
            msgpack.packb([2, {"a": 1}, {}, {}]),
            b"\x94\xc7\x0c\xff" + b"\xff" * 12,
            codec.pack(codec.Packet(header, messages.Announce())),
        )
        for packet in packets:
            socket.send(packet)
        refused = plane.mesh.counts
        await self.wait_for(lambda: refused["packets_refused"] == len(packets))
        other = await self.start("p2")
        await self.wait_for(lambda: self.knows(plane, other))

    async def test_rejected_senders_are_not_remembered(self) -> None:
        plane = await self.start("p1")
        context = zmq.Context()
        socket = context.socket(zmq.PUSH)
        self.addCleanup(context.destroy, linger=0)
        socket.connect(f"tcp://{plane.mesh.address}")
        now = clock.SystemClock().now()
        dead = members.State.DEAD
        for number in range(50):
            sender = members.Member(
                f"p-{number}", "nowhere:1", "nowhere:2", "a", 1, dead
            )
            header = messages.Header(
                sender, now, 0, messages.Versions(sheet=7), 0, 0
            )
            socket.send(codec.pack(codec.Packet(header, messages.Announce())))
        received = plane.mesh.counts
        await self.wait_for(lambda: received["packets_received"] == 50)
        self.assertEqual(plane.mesh.membership.names, ("p1",))
        self.assertEqual(plane.mesh.sheet_version_of("p-0"), 0)

    # Guards against an old or repeated packet that counts as the newest.
    async def test_an_old_packet_changes_nothing(self) -> None:
        plane = await self.start("p1")
        context = zmq.Context()
        socket = context.socket(zmq.PUSH)
        self.addCleanup(context.destroy, linger=0)
        socket.connect(f"tcp://{plane.mesh.address}")
        now = clock.SystemClock().now()
        earlier = now - datetime.timedelta(seconds=5)
        packets = []
        for incarnation, wall, version in ((1, earlier, 3), (2, now, 7)):
            sender = members.Member(
                "p-9", f"127.0.0.1:{incarnation}", "x:1", "a", incarnation
            )
            header = messages.Header(
                sender, wall, 0, messages.Versions(sheet=version), 0, 0
            )
            packet = codec.Packet(header, messages.Announce())
            packets.append(codec.pack(packet))
        old, new = packets
        for packet in (old, new, new, old):
            socket.send(packet)
        received = plane.mesh.counts
        await self.wait_for(lambda: received["packets_received"] == 4)
        self.assertEqual(plane.mesh.membership.names, ("p-9", "p1"))
        (other,) = plane.mesh.membership.members
        self.assertEqual(other.address, "127.0.0.1:2")
        self.assertEqual(plane.mesh.sheet_version_of("p-9"), 7)

    async def test_unknown_key_is_refused(self) -> None:
        pairs = {name: zmq.curve_keypair() for name in ("p1", "p2", "p3")}
        public = {name: pair[0].decode() for name, pair in pairs.items()}
        known = {name: public[name] for name in ("p1", "p2")}

        def curve(name: str) -> settings.CurveSettings:
            keys = known if name in known else public
            secret = pairs[name][1].decode()
            return settings.CurveSettings(secret_key=secret, public_keys=keys)

        first = await self.start("p1", curve=curve("p1"))
        seeds = (f"p1@{first.mesh.address}",)
        untrusted = await self.start("p3", seeds=seeds, curve=curve("p3"))
        trusted = await self.start("p2", seeds=seeds, curve=curve("p2"))
        await self.wait_for(lambda: self.knows(trusted, first))
        await self.wait_for(lambda: untrusted.mesh.counts["packets_sent"] > 2)
        self.assertEqual(first.mesh.membership.names, ("p1", "p2"))
        self.assertEqual(untrusted.mesh.counts["packets_received"], 0)

    async def test_sender_must_hold_the_key_of_its_name(self) -> None:
        pairs = {name: zmq.curve_keypair() for name in ("p1", "p2", "p3")}
        public = {name: pair[0].decode() for name, pair in pairs.items()}

        def curve(owner: str) -> settings.CurveSettings:
            secret = pairs[owner][1].decode()
            return settings.CurveSettings(secret_key=secret, public_keys=public)

        first = await self.start("p1", curve=curve("p1"))
        seeds = (f"p1@{first.mesh.address}",)
        await self.start("p2", seeds=seeds, curve=curve("p3"))
        await self.wait_for(lambda: first.mesh.counts["packets_refused"] > 0)
        self.assertEqual(first.mesh.membership.names, ("p1",))

    async def test_stopped_proxy_announces_its_shutdown(self) -> None:
        first = await self.start("p1")
        second = await self.start("p2")
        await self.wait_for(lambda: self.knows(first, second))
        await self.wait_for(lambda: self.knows(second, first))
        await second.close()
        await self.wait_for(lambda: not self.knows(first, second))
        self.assertEqual(
            first.manager.document(document.DocumentKind.SHEET), ""
        )
