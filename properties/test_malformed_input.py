"""No input of a peer raises an exception in the code that decodes it.

For each peer (callers, databases, the store, other proxies, the platform's
settings file) bytes and values are generated that are random, or valid but for
one part. Decoding returns a value or a typed failure.
"""

from __future__ import annotations

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies
import msgpack
import orjson

from hickorygate.core import access_policy
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.platform import configuration_decoding
from hickorygate.platform import database
from hickorygate.platform import line_protocol
from hickorygate.platform import object_decoding
from hickorygate.platform import settings
from hickorygate.proxies import codec
from hickorygate.proxies import member as peers
from hickorygate.proxies import messages
from hickorygate.store import list_watch
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member as members
import properties as properties
from properties import malformed

_EXAMPLES = 300
_ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq_no": 4,
    "born": 1_700_000_000_000,
}
_CATALOG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "db",
            "type": "bounded_staleness",
            "timeout_ms": 2_000,
            "latency_goal_ms": 1_200,
            "priority": 2,
            "service": "s",
            "max_staleness_ms": 1_500,
        }
    ],
    "services": [{"name": "s", "max_conns": 117, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 3_000},
}
_KEY = "s3cret"
_KEYED_CATALOG = {
    **_CATALOG,
    "tenants": [
        {"name": "a", "api_keys": [_KEY], "rate_per_s": 9, "burst": 9},
        {"name": "b", "api_keys": [_KEY, "k2"]},
    ],
}
_SETTINGS = {
    "node_name": "front-1",
    "zone": "a",
    "listen.front": "10.1.0.5:8509",
    "listen.ready": "10.1.0.5:8504",
    "platform.address": "10.200.1.7:8507",
    "cloud_api.address": "10.200.0.74:8507",
    "bounds.grace_s": "6",
}
_MEMBER = members.Member("a", 1, "s", "127.0.0.1", 1, "a", 2, False, True)
_WORDS = strategies.sampled_from(
    [
        b"ROW x",
        b"ROW replica 3 3.12 4 12 2 17",
        b"ROW primary 99999999999999999999 1.1 0 0 0 x",
        b"COMPLETE -",
        b"COMPLETE 7.1f3.c.2b.90e1c4d2a7b3f655",
        b"ERROR BUSY full",
        b"ERROR",
        b"ERROR \xff\xfe",
        b"READY I 3.12",
        b"READY T 3.11",
        b"READY E -",
        b"READY I 2.1",
        b"READY I " + b"9" * 5_000 + b".1",
        b"READY",
        b"CONNECT db user",
        b"CONNECT",
        b"QUERY 1 READ 2",
        b"QUERY 1 SET a \xff",
        b"QUERY 1 PREPARE s READ x",
        b"QUERY 1 EXECUTE s 1",
        b"QUERY 1 WAITPOS 3.1 READ 1",
        b"QUERY 1",
        b"TERMINATE",
        b"",
    ]
)
_LINES = strategies.lists(
    strategies.one_of(_WORDS, strategies.binary(max_size=30)), max_size=8
).map(b"\r\n".join)


class _Transport:
    """Accepts what a connection does with its transport."""

    def __init__(self) -> None:
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Accepts data."""

    def abort(self) -> None:
        """Records that the connection was closed."""
        self.aborted = True

    def get_extra_info(self, name: str) -> object:
        """Returns a socket without options."""
        return self

    def setsockopt(self, *option: object) -> None:
        """Accepts an option."""


class DatabaseProperty(unittest.TestCase):
    """A database sends any lines, in any order, in any pieces."""

    def setUp(self) -> None:
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(
        data=_LINES,
        cut=strategies.integers(0, 200),
        statuses=strategies.booleans(),
    )
    def test_each_request_ends_with_a_reply_or_a_failure(
        self, data: bytes, cut: int, statuses: bool
    ) -> None:
        self.runner.run(self.exchange(data, cut, statuses))

    async def exchange(self, data: bytes, cut: int, statuses: bool) -> None:
        connection = database.DatabaseConnection(
            _MEMBER,
            events.Timeline(
                "p", events.HybridLogicalClock(clocks.SystemClock())
            ),
        )
        transport = _Transport()
        connection.connection_made(transport)
        batch: list[database_request.Request] = [
            database_request.RunStatement("1", "READ 1"),
            database_request.Begin(),
        ]
        if statuses:
            batch.append(database_request.ReadStatus())
        task = asyncio.create_task(connection.ask(*batch))
        await asyncio.sleep(0)
        connection.data_received(data[:cut])
        connection.data_received(data[cut:] + b"\r\n")
        connection.connection_lost(None)
        results = await task
        self.assertEqual(len(results), len(batch))
        for result in results:
            if result.is_ok():
                self.assertIsInstance(result.ok, replies.Reply)
            else:
                self.assertTrue(result.error.message)
        self.assertTrue(connection.closed)


class CallerProperty(unittest.TestCase):
    """A caller sends any bytes."""

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(
        strategies.one_of(strategies.binary(), _LINES), strategies.integers(0)
    )
    def test_each_line_is_a_message(self, data: bytes, cut: int) -> None:
        buffer = line_protocol.LineBuffer()
        lines = buffer.feed(data[:cut]) + buffer.feed(data[cut:])
        self.assertEqual(len(lines), data.count(b"\r\n"))
        for line in lines:
            self.assertIsInstance(
                line_protocol.parse_message(line), line_protocol.Message
            )


class StoreProperty(unittest.TestCase):
    """An object of the store holds any value."""

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(malformed.changed(_ENTRY))
    def test_an_entry_is_a_database_or_ignored(self, value: object) -> None:
        found = object_decoding.decode_member("a", value)
        if found.is_error():
            self.assertTrue(found.error.message)
            return
        self.assertGreater(found.ok.slots, 0)
        self.assertTrue(0 < found.ok.port < 65_536)
        # What can't be encoded ends the task that connects.
        found.ok.host.encode("idna")
        self.assertRegex(found.ok.service, r"\A\S+\Z")

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(malformed.changed(_CATALOG))
    def test_a_configuration_is_valid_or_a_failure(self, value: object) -> None:
        found = configuration_decoding.decode_catalog(value, False)
        if found.is_error():
            self.assertTrue(found.error.message)
        else:
            now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
            for route in found.ok.routes.values():
                self.assertGreater(now + route.timeout, now)
                self.assertGreater(now + route.rank.target, now)

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(malformed.changed(_KEYED_CATALOG), strategies.booleans())
    def test_no_list_of_workspaces_admits_everyone(
        self, value: object, keys_required: bool
    ) -> None:
        # Guards against review/14: an empty list counted as none.
        found = configuration_decoding.decode_catalog(value, keys_required)
        if found.is_error():
            self.assertNotIn(_KEY, repr(found.error) + found.error.message)
            return
        policy = found.ok.access
        self.assertIsInstance(policy, access_policy.KeyedAccess)
        unknown = workspaces.Credential.of("unknown")
        self.assertIsNone(policy.keys.find(unknown))
        self.assertNotIn(_KEY, repr((found.ok, policy)) + str(policy))
        self.assertNotIn(_KEY, "".join(found.ok.workspace_errors))

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(malformed.changed(_ENTRY))
    def test_an_instance_list_is_decoded(self, value: object) -> None:
        stored = list_watch.StoredObject("a", 1, value)
        found = object_decoding.decode_instances([stored])
        self.assertLessEqual(len(found.instances), 1)


class SettingsProperty(unittest.TestCase):
    """The settings file holds any text."""

    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(
        strategies.one_of(
            strategies.text(),
            malformed.changed(_SETTINGS)
            .filter(lambda value: isinstance(value, dict))
            .map(lambda v: "\n".join(f"{key}={v[key]}" for key in v)),
        )
    )
    def test_settings_are_valid_or_a_failure(self, text: str) -> None:
        found = settings.parse(text, "boot.conf")
        if found.is_error():
            self.assertIn("boot.conf", found.error.message)
        else:
            self.assertLess(found.ok.grace_seconds, 86_400)


def _packet() -> list[object]:
    """Returns a valid packet before it is encoded."""
    me = peers.Member("p1", "127.0.0.1:1000", "127.0.0.1:1001", "a", 5)
    header = messages.Header(
        sender=me,
        wall=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
        count=1,
        versions=messages.Versions(1, 1),
        digest=1,
        store_age_ms=10,
    )
    ping = messages.Ping(1, False, (me,))
    data = codec.pack(codec.Packet(header, ping))
    return msgpack.unpackb(data, timestamp=0)


def _encode(value: object) -> bytes:
    try:
        return msgpack.packb(value)
    except (OverflowError, ValueError, TypeError):
        return orjson.dumps(str(value))


def _timestamp(data: bytes) -> bytes:
    """Returns a packet in which a time stamp stands for the version."""
    return b"\x94\xc7" + bytes((len(data), 0xFF)) + data + b"\xc0\xc0\xc0"


class PeerProperty(unittest.TestCase):
    """Another process sends any packet."""

    @hypothesis.settings(max_examples=3 * _EXAMPLES)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            malformed.changed(_packet()).map(_encode),
            strategies.binary(min_size=1, max_size=12).map(_timestamp),
        )
    )
    def test_a_packet_is_valid_or_a_failure(self, data: bytes) -> None:
        found = codec.unpack(data)
        if found.is_error():
            self.assertTrue(found.error.message)
            return
        header = found.ok.header
        self.assertIsNotNone(header.wall.tzinfo)
        host, _, port = header.sender.address.rpartition(":")
        self.assertTrue(host)
        self.assertTrue(0 < int(port) < 65_536)

    def test_an_unchanged_packet_is_valid(self) -> None:
        self.assertTrue(codec.unpack(_encode(_packet())).is_ok())


if __name__ == "__main__":
    unittest.main()
