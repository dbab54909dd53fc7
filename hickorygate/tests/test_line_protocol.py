"""Tests the encoding and decoding of the line protocol."""

from __future__ import annotations

import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import operation
from hickorygate.core import position
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.platform import line_protocol
from hickorygate.upstreams import database_request

_IDLE = replies.TransactionState.IDLE


def _query(text: str) -> operation.Operation:
    message = line_protocol.parse_message(f"QUERY 1f {text}".encode())
    assert isinstance(message, line_protocol.Query), message
    return message.operation


class CallerTest(unittest.TestCase):
    """Decoding of the messages that callers send."""

    def test_statements_keep_their_text(self) -> None:
        self.assertEqual(_query("READ 1a4"), operation.Read("READ 1a4"))
        self.assertEqual(
            _query("WRITE 1a4 some data"),
            operation.Write("WRITE 1a4 some data"),
        )
        self.assertEqual(
            _query("EXECUTE s1 1a4 some data"),
            operation.Execute("s1", "1a4 some data"),
        )
        self.assertEqual(_query("COMMIT"), operation.Commit("COMMIT"))

    def test_the_second_field_of_connect_is_the_key(self) -> None:
        key = workspaces.Credential.of("k1")
        for line, credential in (
            (b"CONNECT db", None),
            (b"CONNECT db ", None),
            (b"CONNECT db k1", key),
            (b"CONNECT db k1 more", key),
        ):
            with self.subTest(line):
                self.assertEqual(
                    line_protocol.parse_message(line),
                    line_protocol.Connect("db", credential),
                )

    def test_session_statements(self) -> None:
        prepared = operation.PreparedStatement(True, "q2c")
        self.assertEqual(
            _query("PREPARE s1 WRITE q2c"), operation.Prepare("s1", prepared)
        )
        self.assertEqual(_query("SET v a b"), operation.SetValue("v", "a b"))
        self.assertEqual(_query("DEALLOC s1"), operation.Deallocate("s1"))
        self.assertEqual(_query("BEGIN READ"), operation.Begin(True))
        self.assertEqual(_query("BEGIN"), operation.Begin(False))
        self.assertEqual(_query("ROLLBACK"), operation.Rollback())

    def test_invalid_statements_are_unknown(self) -> None:
        for text in (
            "READ",
            "READ a b",
            "WRITE a",
            "BEGIN WRITE",
            "COMMIT now",
            "PREPARE s DROP q",
            "WAITPOS 1.2 READ a",
            "STATUS",
            "PAUSE 9",
        ):
            with self.subTest(text):
                self.assertEqual(_query(text), operation.Unknown(text))

    def test_invalid_messages_are_unreadable(self) -> None:
        for line in (b"", b"QUERY", b"QUERY 1", b"HELLO x", b"CONNECT"):
            with self.subTest(line):
                self.assertEqual(
                    line_protocol.parse_message(line),
                    line_protocol.MalformedMessage(),
                )

    def test_bytes_that_are_not_utf8_pass_unchanged(self) -> None:
        message = line_protocol.parse_message(b"QUERY 1 WRITE a \xff\xfe")
        run = database_request.RunStatement(message.id, message.operation.text)
        self.assertEqual(
            line_protocol.encode_request(run), b"QUERY 1 WRITE a \xff\xfe\r\n"
        )


class BufferTest(unittest.TestCase):
    """Lines are found however the stream is split."""

    def test_lines_are_joined_and_split(self) -> None:
        buffer = line_protocol.LineBuffer()
        self.assertEqual(buffer.feed(b"ab"), [])
        self.assertEqual(buffer.feed(b"c\r\nd\r\ne"), [b"abc", b"d"])
        self.assertEqual(buffer.feed(b"\r\n"), [b"e"])

    def test_an_oversized_line_is_detected(self) -> None:
        buffer = line_protocol.LineBuffer()
        buffer.feed(b"x" * line_protocol.MESSAGE_LIMIT)
        self.assertFalse(buffer.oversized)
        buffer.feed(b"x")
        self.assertTrue(buffer.oversized)


class ReplyTest(unittest.TestCase):
    """Decoding of database replies and encoding of replies to callers."""

    def parse(self, *received: bytes) -> replies.Reply | None:
        parser = line_protocol.ReplyParser()
        reply = None
        for line in received:
            reply = parser.parse_line(line)
        return reply

    def test_rows_and_signature(self) -> None:
        reply = self.parse(b"ROW a b", b"ROW c", b"COMPLETE x", b"READY I 3.9")
        self.assertEqual(reply.result.ok, replies.Answer((b"a b", b"c"), b"x"))
        self.assertEqual(reply.position, position.Position(3, 9))
        self.assertEqual(
            line_protocol.encode_reply(reply),
            b"ROW a b\r\nROW c\r\nCOMPLETE x\r\nREADY I 3.9\r\n",
        )

    def test_rejections_keep_their_reason(self) -> None:
        reply = self.parse(b"ERROR LAGGING i-7", b"READY E -")
        self.assertEqual(
            reply.result.error.reason, replies.RejectionReason.LAGGING
        )
        self.assertEqual(reply.state, replies.TransactionState.FAILED)
        self.assertIsNone(reply.position)

    def test_an_unknown_code_does_not_prove_that_nothing_ran(self) -> None:
        reply = self.parse(b"ERROR STRANGE", b"READY I -")
        self.assertIsNot(reply.result.error.outcome, errors.Outcome.NOT_RUN)

    def test_malformed_replies_raise(self) -> None:
        for line in (b"READY X -", b"HELLO", b"READY"):
            with self.subTest(line), self.assertRaises(ValueError):
                self.parse(line)

    def test_status_rows(self) -> None:
        reply = self.parse(
            b"ROW replica 3 3.1209 4 12 2 17", b"COMPLETE -", b"READY I 3.1"
        )
        self.assertEqual(
            line_protocol.parse_status(reply),
            replies.ReplicationStatus(False, 3, position.Position(3, 1_209), 4),
        )
        cut = self.parse(b"ROW replica 3", b"COMPLETE -", b"READY I 3.1")
        self.assertIsNone(line_protocol.parse_status(cut))

    def test_only_failures_that_did_not_run_are_retryable(self) -> None:
        def code(failure: errors.Failure) -> bytes:
            return line_protocol.encode_error(failure).split(b" ")[1]

        self.assertEqual(code(errors.NoPrimary("g")), b"BUSY")
        self.assertEqual(code(errors.AnswerLost("d", "x")), b"INDOUBT")

    def test_line_breaks_in_details_are_removed(self) -> None:
        rejection = replies.Rejection(
            replies.RejectionReason.BUSY, "a\r\nREADY I -"
        )
        reply = replies.Reply(expression.Error(rejection), _IDLE)
        self.assertEqual(line_protocol.encode_reply(reply).count(b"\n"), 2)
