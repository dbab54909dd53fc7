"""Tests that only CR LF ends a message (issue 49).

A line feed in a caller's text ended the message: the text before it ran, and
what followed counted as messages of its own. In a row it ended the answer.
"""

from __future__ import annotations

import asyncio

from hickorygate.platform import line_protocol
from hickorygate.testing import line_cluster
from hickorygate.testing import virtual_time

_FORGED = "one\nQUERY bb WRITE y forged"
"""Text whose second line would be a message."""

_BREAKS = ("\n", "\n\n", "\n\r", "a\n", "\nb", "a\nb", _FORGED)
"""Texts with line feeds, none of which contains the end of a message."""

_HARMLESS = (
    "a\rb",
    "a\r",
    "a\r\r",
    "\0",
    "\v\f\x1c\x1d\x1e\x85",
    "\u2028\u2029",
)
"""Texts with characters that end lines elsewhere."""

_NOT_TEXT = "\udcff\udc80\udcfe"
"""Bytes that aren't UTF-8."""

_ANSWER_LINES = (
    "ROW two",
    "COMPLETE -",
    "READY I 1.1",
    "ERROR BUSY a",
    "nonsense",
)


class MessageEndTest(virtual_time.VirtualTimeTestCase):
    """A caller at one proxy; fields hold whatever isn't CR LF."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await self.enterAsyncContext(
            line_cluster.LineCluster(clock=clock)
        )
        self.database = self.cluster.group.databases["a"]
        self.client = await self.cluster.connect(line_cluster.PRIMARY_DB)

    def proof(self, request: str) -> str:
        return f"COMPLETE {self.database.execution_digest(request)}"

    async def assert_in_step(self) -> None:
        """Checks that the next message gets the next answer."""
        received = await self.client.send("QUERY next READ untouched")
        self.assertEqual(received[:2], ["ROW -", self.proof("next")])

    async def assert_written(self, data: str) -> None:
        text = f"WRITE x {data}"
        received = await self.client.send(f"QUERY aa {text}")
        self.assertEqual(received[0], self.proof("aa"))
        await self.assert_in_step()
        ran = [("aa", text), ("next", "READ untouched")]
        self.assertEqual(self.database.ran, ran)
        self.database.ran.clear()

    # Only the part before the line feed was written, and the rest ran as a
    # statement that no caller sent.
    async def test_a_write_with_a_line_feed_runs_unchanged(self) -> None:
        for data in _BREAKS:
            with self.subTest(data=data):
                await self.assert_written(data)

    # As above, in a transaction.
    async def test_a_write_in_a_transaction_runs_unchanged(self) -> None:
        await self.client.query("BEGIN")
        received = await self.client.send(f"QUERY aa WRITE x {_FORGED}")
        self.assertEqual(received[0], self.proof("aa"))
        received = await self.client.send("QUERY cc COMMIT")
        self.assertEqual(received[0], self.proof("cc"))
        (commit,) = self.cluster.group.acknowledged
        self.assertEqual(commit.writes, (("x", _FORGED),))

    # Other characters that end lines elsewhere must end no message either.
    async def test_a_write_with_other_line_ends_runs_unchanged(self) -> None:
        for data in (*_HARMLESS, _NOT_TEXT):
            with self.subTest(data=data):
                await self.assert_written(data)

    # A shape was prepared up to its line feed.
    async def test_a_prepared_shape_keeps_its_line_feed(self) -> None:
        received = await self.client.query(f"PREPARE s WRITE {_FORGED}")
        self.assertEqual(received[0], "COMPLETE -")
        received = await self.client.send("QUERY aa EXECUTE s x 1")
        self.assertEqual(received[0], self.proof("aa"))
        self.assertEqual(
            self.database.prepared_of_runs["aa"], ("WRITE", _FORGED)
        )
        self.assertEqual(len(self.database.ran), 1)

    # An argument was passed on up to its line feed.
    async def test_an_argument_keeps_its_line_feed(self) -> None:
        await self.client.query("PREPARE s WRITE q")
        received = await self.client.send(f"QUERY aa EXECUTE s x {_FORGED}")
        self.assertEqual(received[0], self.proof("aa"))
        await self.assert_in_step()
        (commit,) = self.cluster.group.acknowledged
        self.assertEqual(commit.writes, (("x", _FORGED),))

    # A value was set up to its line feed.
    async def test_a_session_value_keeps_its_line_feed(self) -> None:
        await self.client.query(f"SET v {_FORGED}")
        await self.assert_in_step()
        self.assertEqual(self.database.values_of_runs["next"], {"v": _FORGED})

    # A request id with a line feed was cut, and its statement lost.
    async def test_a_request_id_and_an_item_keep_their_line_feeds(self) -> None:
        received = await self.client.send("QUERY a\na READ x\ny")
        self.assertEqual(received[:2], ["ROW -", self.proof("a\na")])
        self.assertEqual(self.database.ran, [("a\na", "READ x\ny")])

    # A row with a line feed was refused or taken apart, so that its reader got
    # no answer or another one.
    async def test_a_row_with_a_line_feed_reaches_the_caller_whole(
        self,
    ) -> None:
        rows = [f"one\n{line}" for line in _ANSWER_LINES]
        for number, row in enumerate((*_BREAKS, *rows)):
            with self.subTest(row=row):
                await self.assert_read(str(number), row)

    # Other characters that end lines elsewhere must not end a row either.
    async def test_a_row_with_other_line_ends_reaches_the_caller_whole(
        self,
    ) -> None:
        for number, row in enumerate((*_HARMLESS, _NOT_TEXT)):
            with self.subTest(row=row):
                await self.assert_read(str(number), row)

    async def assert_read(self, item: str, row: str) -> None:
        for database in self.cluster.group.databases.values():
            database.log.append(f"put {item}", ((item, row),))
        received = await self.client.send(f"QUERY r{item} READ {item}")
        self.assertEqual(received[:2], [f"ROW {row}", self.proof(f"r{item}")])

    # Each line of a message that isn't one got an error, so that the next
    # request got an answer too many.
    async def test_what_is_no_message_gets_one_error(self) -> None:
        for message in (
            "HELLO\nHELLO",
            "\n",
            "HELLO\nQUERY bb WRITE y forged",
            "QUERY bb NONSENSE\nQUERY bb WRITE y forged",
            "CONNECT other\nQUERY bb WRITE y forged",
        ):
            with self.subTest(message=message):
                received = await self.client.send(message)
                self.assertEqual(len(received), 2)
                self.assertTrue(received[0].startswith("ERROR MALFORMED "))
                await self.assert_in_step()
        ids = {request for request, _ in self.database.ran}
        self.assertEqual(ids, {"next"})

    # An end whose two bytes arrive one after the other is an end.
    async def test_messages_may_arrive_byte_by_byte(self) -> None:
        messages = [b"a\r\nb\r", b"\r\n\nc\n\r\n\r\n", b"\r\r\r\n"]
        whole = b"".join(messages)
        expected = [b"a", b"b\r", b"\nc\n", b"", b"\r\r"]
        for size in (1, 2, 3, len(whole)):
            buffer = line_protocol.LineBuffer()
            lines = [
                line
                for at in range(0, len(whole), size)
                for line in buffer.feed(whole[at : at + size])
            ]
            self.assertEqual(lines, expected)
            self.assertEqual(buffer.size, 0)
