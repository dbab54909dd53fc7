"""Messages survive the line protocol unchanged, however they are split.

Guards against the failure of issue 49: a line feed inside a field ended the
message, so its first part ran as a statement that the caller hadn't sent, and
its rest counted as a message of its own. Rows were cut in the same way.
"""

from __future__ import annotations

import functools
import itertools
import re
import unittest

import expression
import hypothesis
from hypothesis import strategies

from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.platform import line_protocol
from hickorygate.upstreams import database_request
import properties as properties

_EXAMPLES = 500
_END = b"\r\n"
_PIECES = strategies.one_of(
    strategies.sampled_from(
        [
            b"\r",
            b"\n",
            b"\r\n",
            b"\0",
            b" ",
            b"\t",
            b"\x0b",
            b"\x0c",
            b"\x1c",
            b"\x1d",
            b"\x1e",
            b"\x85",
            b"\xa0",
            b"\xff\xfe",
            b"\xed\xa0\x80",
            "\x85".encode(),
            "\u2028".encode(),
            "\u2029".encode(),
            "\u3000".encode(),
            "\u0663".encode(),
            "\U0001f40c".encode(),
            b"QUERY 2 WRITE 1 x",
            b"READY I -",
            b"ROW x",
            b"a",
        ]
    ),
    strategies.binary(max_size=4),
)
_STREAMS = strategies.lists(_PIECES, max_size=30).map(b"".join)
_CUTS = strategies.lists(strategies.integers(0, 200), max_size=10)
_FIELDS = _STREAMS.filter(lambda field: _END not in field)
"""A last field, which extends to the end of the line."""

_WORDS = _FIELDS.map(lambda field: field.replace(b" ", b"") or b"w").filter(
    lambda word: _END not in word
)
"""A field before the last one."""

_IDS = _WORDS


def _split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Splits data at the given places; bytes may also come one by one."""
    places = sorted({0, *(min(cut, len(data)) for cut in cuts), len(data)})
    return [data[a:b] for a, b in itertools.pairwise(places)]


def _receive(pieces: list[bytes]) -> list[bytes]:
    """Returns the lines that a buffer finds in pieces of a stream."""
    buffer = line_protocol.LineBuffer()
    return [line for piece in pieces for line in buffer.feed(piece)]


@functools.singledispatch
def _request(
    operation: operations.Operation, name: str
) -> database_request.Request:
    """Returns the request to a database for a caller's operation."""
    raise TypeError(f"{operation!r} is not passed on")


@_request.register
def _(operation: operations.Read, name: str) -> database_request.Request:
    return database_request.RunStatement(name, operation.text)


@_request.register
def _(operation: operations.Write, name: str) -> database_request.Request:
    return database_request.RunStatement(name, operation.text)


@_request.register
def _(operation: operations.Commit, name: str) -> database_request.Request:
    return database_request.RunStatement(name, operation.text)


@_request.register
def _(operation: operations.Execute, name: str) -> database_request.Request:
    return database_request.Execute(name, operation.name, operation.arguments)


@_request.register
def _(operation: operations.SetValue, name: str) -> database_request.Request:
    return database_request.SetValue(operation.name, operation.value)


@_request.register
def _(operation: operations.Prepare, name: str) -> database_request.Request:
    return database_request.Prepare(operation.name, operation.prepared)


def _bytes(
    *parts: bytes | strategies.SearchStrategy[bytes],
) -> strategies.SearchStrategy[bytes]:
    """Returns a strategy of fields that are joined by blanks."""
    drawn = (
        strategies.just(part) if isinstance(part, bytes) else part
        for part in parts
    )
    return strategies.tuples(*drawn).map(b" ".join)


_KINDS = strategies.sampled_from([b"READ", b"WRITE"])
_STATEMENTS = strategies.one_of(
    _bytes(b"READ", _WORDS),
    _bytes(b"WRITE", _WORDS, _FIELDS),
    _bytes(b"EXECUTE", _WORDS, _FIELDS),
    strategies.just(b"COMMIT"),
)
"""Statements that are passed on under the id of the caller's request."""

_SESSION_STATEMENTS = strategies.one_of(
    _bytes(b"SET", _WORDS, _FIELDS),
    _bytes(b"PREPARE", _WORDS, _KINDS, _FIELDS),
)
"""Statements whose effect is repeated under the proxy's own id."""


class FramingProperty(unittest.TestCase):
    """Where messages end, for any bytes in any pieces."""

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(_STREAMS, _CUTS)
    def test_only_cr_lf_ends_a_message(
        self, data: bytes, cuts: list[int]
    ) -> None:
        buffer = line_protocol.LineBuffer()
        lines = []
        for piece in _split(data, cuts):
            lines += buffer.feed(piece)
        *expected, rest = data.split(_END)
        self.assertEqual(lines, expected)
        self.assertEqual(len(lines), data.count(_END))
        self.assertEqual(buffer.size, len(rest))

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(_STREAMS)
    def test_bytes_that_come_one_by_one_give_the_same(
        self, data: bytes
    ) -> None:
        pieces = [data[i : i + 1] for i in range(len(data))]
        self.assertEqual(_receive(pieces), data.split(_END)[:-1])

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(strategies.lists(_FIELDS, max_size=6), _CUTS)
    def test_what_goes_in_comes_out(
        self, lines: list[bytes], cuts: list[int]
    ) -> None:
        data = b"".join(line + _END for line in lines)
        self.assertEqual(_receive(_split(data, cuts)), lines)


class PassingOnProperty(unittest.TestCase):
    """What is decoded and encoded again is unchanged."""

    def pass_on(self, name: bytes, text: bytes, cuts: list[int]) -> bytes:
        """Returns what the database gets for a caller's statement."""
        data = b"QUERY " + name + b" " + text + _END
        lines = _receive(_split(data, cuts))
        self.assertEqual(len(lines), 1)
        message = line_protocol.parse_message(lines[0])
        assert isinstance(message, line_protocol.Query), message
        return line_protocol.encode_request(
            _request(message.operation, message.id)
        )

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(_IDS, _STATEMENTS, _CUTS)
    def test_a_statement_and_its_id_are_unchanged(
        self, name: bytes, text: bytes, cuts: list[int]
    ) -> None:
        self.assertEqual(
            self.pass_on(name, text, cuts),
            b"QUERY " + name + b" " + text + _END,
        )

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(_IDS, _SESSION_STATEMENTS, _CUTS)
    def test_values_names_and_shapes_are_unchanged(
        self, name: bytes, text: bytes, cuts: list[int]
    ) -> None:
        self.assertEqual(
            self.pass_on(name, text, cuts), b"QUERY - " + text + _END
        )

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(strategies.lists(_FIELDS, max_size=5), _WORDS, _CUTS)
    def test_rows_and_signature_are_unchanged(
        self, rows: list[bytes], signature: bytes, cuts: list[int]
    ) -> None:
        data = b"".join(b"ROW " + row + _END for row in rows)
        data += b"COMPLETE " + signature + _END + b"READY T 3.7" + _END
        parser = line_protocol.ReplyParser()
        found = [parser.parse_line(x) for x in _receive(_split(data, cuts))]
        complete = [reply for reply in found if reply is not None]
        self.assertEqual(len(complete), 1)
        self.assertEqual(line_protocol.encode_reply(complete[0]), data)

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(_FIELDS)
    def test_a_refusal_changes_only_in_its_line_breaks(
        self, detail: bytes
    ) -> None:
        data = b"ERROR BUSY " + (detail or b"-") + _END + b"READY E -" + _END
        shown = re.sub(rb"[\r\n]+", b" ", detail) or b"-"
        sent = b"ERROR BUSY " + shown + _END + b"READY E -" + _END
        parser = line_protocol.ReplyParser()
        reply = [parser.parse_line(x) for x in _receive([data])][-1]
        assert reply is not None
        self.assertIs(reply.state, replies.TransactionState.FAILED)
        self.assertEqual(line_protocol.encode_reply(reply), sent)

    @hypothesis.seed(49)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(strategies.lists(_STREAMS, min_size=1, max_size=3))
    def test_a_reply_has_as_many_lines_as_parts(
        self, rows: list[bytes]
    ) -> None:
        answer = replies.Answer(tuple(rows))
        reply = replies.Reply(
            expression.Ok(answer), replies.TransactionState.IDLE
        )
        if any(_END in row for row in rows):
            with self.assertRaises(ValueError):
                line_protocol.encode_reply(reply)
        else:
            encoded = line_protocol.encode_reply(reply)
            self.assertEqual(encoded.count(_END), len(rows) + 2)
