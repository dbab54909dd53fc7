"""Tests the readiness check and the metrics with odd HTTP requests."""

from __future__ import annotations

import asyncio
import socket
import unittest

from hickorygate.platform import management_server
from hickorygate.platform import settings

_READY = b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
_LAST = b"GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_TIMEOUT = 8.0


def _free_address() -> settings.Address:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return settings.Address("127.0.0.1", found.getsockname()[1])


class OddRequestTest(unittest.IsolatedAsyncioTestCase):
    """Pipelined and malformed requests, and requests that smuggle others."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.asked = 0
        self.ready = [True]
        self.server = management_server.ManagementServer(
            self.is_ready, lambda: b"m 1\n"
        )
        self.address = _free_address()
        await self.server.serve_readiness(self.address)
        self.addAsyncCleanup(self.server.close)

    def is_ready(self) -> bool:
        """Returns the next answer in the test's order."""
        self.asked += 1
        return self.ready[(self.asked - 1) % len(self.ready)]

    async def statuses(self, sent: bytes) -> list[int]:
        """Returns the statuses of all responses until the end."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(sent)
        async with asyncio.timeout(_TIMEOUT):
            received = await reader.read(-1)
        writer.close()
        lines = received.split(b"\r\n")
        found = [line for line in lines if line.startswith(b"HTTP/1.")]
        return [int(line.split(b" ")[1]) for line in found]

    async def assert_works(self) -> None:
        """Asserts that another connection is answered."""
        self.ready = [True]
        self.assertEqual(await self.statuses(_LAST), [200])

    # Guards against a response that answers another request of a connection.
    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.ready = [True, False, False, True]
        found = await self.statuses(3 * _READY + _LAST)
        self.assertEqual(found, [200, 503, 503, 200])

    # Guards against a request that is made of another one's body.
    async def test_a_body_is_no_request(self) -> None:
        hidden = _READY
        with_body = (
            b"GET /-/readiness HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
            b"\r\n%s" % (len(hidden), hidden)
        )
        self.assertEqual(await self.statuses(with_body + _LAST), [200, 200])
        self.assertEqual(self.asked, 2)

    # Guards against a request whose end two readers see in two places.
    async def test_a_request_with_two_ends_is_refused(self) -> None:
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(_READY), _READY)
        for fields in (
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: +5\r\n",
            b"Content-Length: -1\r\n",
            b"Transfer-Encoding: chunked, identity\r\n",
            b"Content-Length : 5\r\n",
        ):
            with self.subTest(fields):
                self.asked = 0
                head = b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n" + fields
                found = await self.statuses(head + b"\r\n" + chunks)
                self.assertEqual(found, [400])
                self.assertEqual(self.asked, 0)
        await self.assert_works()

    async def test_malformed_requests_end_their_own_connection(self) -> None:
        for sent in (
            b"\x00\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET /-/readiness HTTP/9.9\r\n\r\n",
            b"GET /-/readiness HTTP/1.1\r\nA: b\x00c\r\n\r\n",
            b"GET /-/readiness HTTP/1.1\r\n: b\r\n\r\n",
            b"GET /" + 5_000 * b"a" + b" HTTP/1.1\r\n\r\n",
            b"QUERY 1 READ x\r\n\r\n",
        ):
            with self.subTest(sent[:40]):
                found = await self.statuses(sent)
                self.assertNotIn(200, found)
        self.assertEqual(self.asked, 0)
        await self.assert_works()

    async def test_other_paths_and_methods_are_refused(self) -> None:
        for line in (
            b"GET /metrics",
            b"GET /-/readiness/../../metrics",
            b"GET //-/readiness",
            b"POST /-/readiness",
            b"DELETE /-/readiness",
        ):
            with self.subTest(line):
                head = b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                (status,) = await self.statuses(line + head)
                self.assertIn(status, (404, 405))
        self.assertEqual(self.asked, 0)
