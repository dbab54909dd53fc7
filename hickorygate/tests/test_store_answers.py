"""Tests that a call to the store takes no answer of another call.

The store is a scripted one: it answers each request as the test says, and can
send bytes that answer no request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import unittest

import orjson

from hickorygate.core import errors
from hickorygate.platform import object_client
from hickorygate.platform import settings
from hickorygate.platform import store
from hickorygate.store import objects
from hickorygate.upstreams import lease_record

_TIMEOUT = datetime.timedelta(milliseconds=300)
_ARRIVAL = 0.05
"""Seconds in which bytes on the loopback device arrive and are read."""

_EMPTY_PAGE = b'{"items": [], "current_rev": 4}'
_OLD = objects.Key("sheets", "old")
_NEW = objects.Key("sheets", "new")


def _response(body: bytes, status: str = "200 OK", more: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return head.encode() + body


def _object(name: str, revision: int = 1, spec: object = None) -> bytes:
    return orjson.dumps(
        {"meta": {"name": name, "revision": revision}, "spec": spec}
    )


class _Request:
    """A request as it arrived."""

    def __init__(self, head: bytes, body: bytes, connection: int) -> None:
        self.line, *lines = head.decode("latin-1").split("\r\n")
        self.headers = dict(line.split(": ", 1) for line in lines if line)
        self.body = body
        self.connection = connection

    @property
    def name(self) -> str:
        """Last part of the path."""
        return self.line.split(" ")[1].rpartition("/")[2]


class _ScriptedStore:
    """Answers each request with what a function returns."""

    def __init__(self) -> None:
        self.requests: list[_Request] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.answer: Callable[[_Request], bytes] = lambda request: _response(
            _object(request.name)
        )
        self.banner = b""
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.writers)
        writer.write(self.banner)
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = _Request(head[:-4], b"", number)
                size = int(request.headers.get("Content-Length", "0"))
                request.body = await reader.readexactly(size)
                self.requests.append(request)
                writer.write(self.answer(request))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class _ScriptedTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:  # noqa: N802
        self.server = _ScriptedStore()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        address = settings.Address("127.0.0.1", self.server.port)
        self.api = object_client.ObjectStoreClient(
            f"http://{address}", _TIMEOUT
        )
        self.addAsyncCleanup(self.api.close)
        self.store = store.PlatformStore(
            settings.ProcessSettings(
                "proxy-1", "a", address, address, address, address, 6
            )
        )
        self.addAsyncCleanup(self.store.close)

    async def send_unasked(self, data: bytes, connection: int = 0) -> None:
        """Sends bytes on a connection and waits until they are read."""
        self.server.writers[connection].write(data)
        await asyncio.sleep(_ARRIVAL)

    async def read_name(self, key: objects.Key) -> str:
        """Returns the name of the object that a read gets."""
        found = await self.api.read(key)
        self.assertTrue(found.is_ok(), found)
        return found.ok.name

    async def promote(self) -> errors.Failure | None:
        """Returns the failure of a promotion; None if it succeeds."""
        ordered = await self.store.promote(
            "ledger",
            "i-1",
            lease_record.LeaseRecord("proxy-1", "x", 7, False),
            lambda: True,
        )
        return ordered.error if ordered.is_error() else None


class UnaskedAnswerTest(_ScriptedTestCase):
    """Bytes that answer no request, while the connection is idle."""

    # Guards against an answer that came twice and is taken for the next call's.
    async def test_a_second_answer_is_not_the_next_calls(self) -> None:
        await self.read_name(_OLD)
        await self.send_unasked(_response(_object("old")))
        self.assertEqual(await self.read_name(_NEW), "new")

    # Guards against a second answer, once it was skipped, that leaves each
    # call with the answer to the one before it.
    async def test_later_calls_get_their_own_answers(self) -> None:
        await self.read_name(_OLD)
        await self.send_unasked(_response(_object("old")))
        names = [f"n-{number}" for number in range(5)]
        found = [
            await self.read_name(objects.Key("sheets", name)) for name in names
        ]
        self.assertEqual(found, names)

    # Guards against a promotion that counts as ordered on an old answer.
    async def test_a_promotion_takes_no_old_answer(self) -> None:
        self.assertIsNone(await self.promote())
        await self.send_unasked(_response(b"{}"))
        self.server.answer = lambda request: _response(b"{}", "409 Conflict")
        self.assertIsNotNone(await self.promote())

    # Guards against the start of an answer that waits for the next call's.
    async def test_half_an_answer_is_not_the_next_calls(self) -> None:
        answer = _response(_object("old"))
        for size in (1, 9, 17, len(answer) - 40, len(answer) - 1):
            with self.subTest(size):
                await self.read_name(_OLD)
                last = self.server.requests[-1].connection
                await self.send_unasked(answer[:size], last)
                found = await self.api.read(_NEW)
                if found.is_ok():
                    self.assertEqual(found.ok.name, "new")

    async def test_a_preliminary_answer_is_none(self) -> None:
        await self.read_name(_OLD)
        await self.send_unasked(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertEqual(await self.read_name(_NEW), "new")

    async def test_an_unasked_line_closes_the_connection(self) -> None:
        await self.read_name(_OLD)
        await self.send_unasked(b"x\r\n\r\n")
        self.assertEqual(await self.read_name(_NEW), "new")
        self.assertNotEqual(self.server.requests[-1].connection, 0)

    # Guards against a call that opens connections without end.
    async def test_data_on_each_new_connection_fails_the_call(self) -> None:
        self.server.banner = _response(_object("old"))
        found = await self.api.store(_NEW, {}, 3)
        if found.is_ok():  # Sent before the data had arrived.
            self.fail("an answer that came before the request was taken")
        self.assertLess(len(self.server.writers), 20)


class AnswerOfOtherRequestTest(_ScriptedTestCase):
    """An answer that arrives while another call waits."""

    # Guards against the list of one kind that is taken for that of another.
    async def test_calls_on_different_kinds_share_no_connection(self) -> None:
        self.server.answer = lambda request: _response(_EMPTY_PAGE)
        for kind in ("servers", "proxies", "servers"):
            self.assertTrue((await self.api.list(kind)).is_ok())
        used = [request.connection for request in self.server.requests]
        self.assertEqual(used, [0, 1, 0])

    # Guards against an order that an earlier order's late answer decides.
    async def test_each_promotion_has_a_connection_of_its_own(self) -> None:
        self.server.answer = lambda request: _response(_EMPTY_PAGE)
        for _ in range(3):
            self.assertIsNone(await self.promote())
        self.assertTrue((await self.store.list("servers")).is_ok())
        used = [request.connection for request in self.server.requests]
        self.assertEqual(used, [0, 1, 2, 3])

    # Guards against a second answer that arrives after the next request left.
    async def test_an_object_of_another_name_is_not_the_answer(self) -> None:
        self.server.answer = lambda request: _response(_object("old"))
        found = await self.api.read(_NEW)
        self.assertTrue(found.is_error())

    async def test_a_conflict_of_another_name_is_not_the_answer(self) -> None:
        self.server.answer = lambda request: _response(
            _object("old"), "409 Conflict"
        )
        found = await self.api.store(_NEW, {}, 3)
        self.assertIsInstance(found.error, errors.StoreUnavailable)

    # Guards against a renewal of the lease that an older one's answer confirms.
    async def test_a_lease_with_other_content_is_not_the_answer(self) -> None:
        record = lease_record.LeaseRecord("proxy-1", "x", 1, False, 4)
        older = {
            "holder": "proxy-1",
            "incarnation": "x",
            "number": 1,
            "released": False,
            "renewals": 3,
            "era": 0,
        }
        self.server.answer = lambda request: _response(
            _object("promotion", 8, older)
        )
        written = await self.store.write_lease(record, 7)
        self.assertTrue(written.is_error())
        self.assertIs(written.error.outcome, errors.Outcome.UNKNOWN)


class LateAnswerTest(_ScriptedTestCase):
    """Answers after the time-out, and answers that are cut off."""

    async def test_an_answer_after_the_time_out_is_nobodys(self) -> None:
        self.server.answer = lambda request: b""
        self.assertTrue((await self.api.read(_OLD)).is_error())
        self.server.answer = lambda request: _response(_object(request.name))
        await self.send_unasked(_response(_object("old")))
        self.assertEqual(await self.read_name(_NEW), "new")

    async def test_the_rest_of_a_cut_answer_is_nobodys(self) -> None:
        answer = _response(_object("old"))
        for size in (1, 20, len(answer) - 1):
            with self.subTest(size):
                self.server.answer = lambda request, n=size: answer[:n]
                self.assertTrue((await self.api.read(_OLD)).is_error())
                last = self.server.requests[-1].connection
                self.server.answer = lambda request: _response(
                    _object(request.name)
                )
                await self.send_unasked(answer[size:], last)
                self.assertEqual(await self.read_name(_NEW), "new")

    async def test_a_cancelled_calls_answer_is_nobodys(self) -> None:
        self.server.answer = lambda request: b""
        call = asyncio.create_task(self.api.read(_OLD))
        await asyncio.sleep(_ARRIVAL)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.server.answer = lambda request: _response(_object(request.name))
        await self.send_unasked(_response(_object("old")))
        self.assertEqual(await self.read_name(_NEW), "new")

    # Guards against a change that is made twice after a broken connection.
    async def test_no_change_is_sent_twice(self) -> None:
        await self.read_name(_OLD)

        def cut(request: _Request) -> bytes:
            self.server.writers[request.connection].close()
            return b""

        self.server.answer = cut
        seen = len(self.server.requests)
        for change in (
            self.api.store(_NEW, {}, 3),
            self.api.store(_NEW, {}, 0),
            self.api.delete(_NEW),
            self.promote(),
        ):
            await change
        methods = [r.line.split(" ")[0] for r in self.server.requests[seen:]]
        self.assertEqual(methods, ["PUT", "POST", "DELETE", "POST"])


class FramingTest(_ScriptedTestCase):
    """Answers whose end isn't plain."""

    async def check(self, answer: bytes) -> None:
        """Sends an answer of odd framing; the next call gets its own."""
        self.server.answer = lambda request: answer
        odd = await self.api.read(_OLD)
        if odd.is_ok():
            self.assertEqual(odd.ok.name, "old")
        self.server.answer = lambda request: _response(_object(request.name))
        self.assertEqual(await self.read_name(_NEW), "new")

    async def test_two_lengths(self) -> None:
        body = _object("old")
        for other in (1, len(body), len(body) + 200):
            with self.subTest(other):
                more = f"Content-Length: {other}\r\n"
                await self.check(_response(body, more=more))

    async def test_length_and_chunks(self) -> None:
        body = _object("old")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        await self.check(head + b"\r\n" + chunks)
        await self.check(head + b"Content-Length: 5\r\n\r\n" + chunks)
        await self.check(head + b"\r\n" + chunks + _response(_object("old")))
        await self.check(head + b"\r\nzz\r\n" + body)

    async def test_bodies_where_none_may_be(self) -> None:
        for status in ("204 No Content", "304 Not Modified", "100 Continue"):
            with self.subTest(status):
                await self.check(_response(_object("old"), status))

    async def test_a_body_longer_than_its_length(self) -> None:
        await self.check(_response(_object("old")) + b"more")
        await self.check(2 * _response(_object("old")))

    async def test_a_body_up_to_the_end_of_the_connection(self) -> None:
        await self.check(b"HTTP/1.1 200 OK\r\n\r\n" + _object("old"))

    # Guards against a call that is made again at another address.
    async def test_a_redirection_is_not_followed(self) -> None:
        for status in ("301 Moved", "303 See Other", "307 Temporary Redirect"):
            with self.subTest(status):
                seen = len(self.server.requests)
                self.server.answer = lambda request, s=status: (
                    _response(b"", s, "Location: /-/objects/sheets/old\r\n")
                    if request.name != "old"
                    else _response(_object("old"))
                )
                self.assertTrue((await self.api.read(_NEW)).is_error())
                self.assertIsNotNone(await self.promote())
                self.assertEqual(len(self.server.requests) - seen, 2)

    # Guards against text of one response in the head of later requests.
    async def test_no_cookie_is_sent_back(self) -> None:
        self.server.answer = lambda request: _response(
            _object(request.name), more="Set-Cookie: a=b; Path=/\r\n"
        )
        # Cookies of a numeric address would be ignored anyway.
        self.api.set_url(f"http://localhost:{self.server.port}")
        await self.read_name(_OLD)
        await self.read_name(_NEW)
        self.assertNotIn("Cookie", self.server.requests[-1].headers)


class NamesTest(_ScriptedTestCase):
    """Names with characters that mean something in a request."""

    # Guards against a name that becomes another path, query or request.
    async def test_a_name_is_one_part_of_the_path(self) -> None:
        for name in (
            "a/b",
            "../b",
            "a?watch=1",
            "a#b",
            "a%2fb",
            "a%",
            "a b",
            "a\r\nX: 1",
            "a\x00",
            "\xe4\u20ac",
            "a;b",
            "a+b",
        ):
            with self.subTest(name):
                await self.api.delete(objects.Key("sheets", name))
                path = self.server.requests[-1].line.split(" ")[1]
                part = path.removeprefix("/-/objects/sheets/")
                self.assertEqual(_unquoted(part), name.encode())
                self.assertNotIn("/", part)
                self.assertNotIn("?", part)

    # Guards against a change to all objects of a kind, or to another path.
    async def test_a_name_that_leads_elsewhere_is_not_sent(self) -> None:
        for name in ("", ".", ".."):
            key = objects.Key("sheets", name)
            for call in (
                self.api.delete(key),
                self.api.read(key),
                self.api.store(key, {}, 0),
                self.api.store(key, {}, 3),
            ):
                failed = await call
                self.assertIs(failed.error.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.server.requests, [])

    # Guards against a header field that a name smuggles into a promotion.
    async def test_a_holder_adds_no_header_field(self) -> None:
        for holder in ("a\r\nX-Fencing-Token: 9", "a\nb", "a\x00b", "\xe4 b"):
            with self.subTest(holder):
                record = lease_record.LeaseRecord(holder, "x", 7, False)
                ordered = await self.store.promote(
                    "ledger", "i-1", record, lambda: True
                )
                for request in self.server.requests:
                    self.assertEqual(request.headers["X-Fencing-Token"], "7")
                if ordered.is_error():
                    self.assertIs(ordered.error.outcome, errors.Outcome.NOT_RUN)


def _unquoted(part: str) -> bytes:
    """Returns the bytes of a part of a path."""
    first, *rest = part.split("%")
    data = first.encode()
    for escaped in rest:
        data += bytes.fromhex(escaped[:2]) + escaped[2:].encode()
    return data
