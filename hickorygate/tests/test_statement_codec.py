"""Tests the encoding of messages between proxies.

Guards against messages that arrive changed, and against frames of a faulty
proxy that raise an exception or are taken for a message.
"""

from __future__ import annotations

import random
import unittest

import msgpack

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position
from hickorygate.core import reply as replies
from hickorygate.proxies import statement_codec
from hickorygate.proxies import statement_messages as messages

_START = messages.TransactionStart
_NOT_UTF_8 = "caf\udce9"
_HEADER_BYTES = 4


def _run(
    operation: operations.Operation,
    prepared: operations.PreparedStatement | None = None,
) -> messages.RunStatement:
    return messages.RunStatement(
        number=7,
        transaction=3,
        start=_START.READ_ONLY,
        request_id=_NOT_UTF_8,
        operation=operation,
        prepared=prepared,
        values={"a": _NOT_UTF_8, "": ""},
        floor=position.Position(2, 2**40),
        database="db",
        service="ledger",
        workspace="",
        version=12,
        time_left_ms=1_500,
    )


_MESSAGES = (
    messages.Hello("proxy-1", "proxy-2"),
    _run(operations.Read(f"READ {_NOT_UTF_8}")),
    _run(operations.Write("WRITE x 1")),
    _run(operations.Commit("COMMIT")),
    _run(operations.Rollback()),
    _run(
        operations.Execute("s", "x 1"),
        operations.PreparedStatement(True, "q1"),
    ),
    messages.AbortTransaction(3),
    messages.RightsRequest(4, 3, ("00ff", _NOT_UTF_8)),
    messages.Rights(5, (), ()),
    messages.Rights(
        6,
        (
            messages.LentView(
                "00ff",
                frozenset({"a"}),
                frozenset(),
                frozenset({"b", _NOT_UTF_8}),
                frozenset({"c"}),
            ),
        ),
        (messages.KnownFleet("00ff", {"a": 0.5, _NOT_UTF_8: 0.0}),),
    ),
    messages.RecallStatement(
        2, replies.RejectionReason.ACCESS_DENIED, _NOT_UTF_8
    ),
    messages.Ping(1),
    messages.Pong(1),
    messages.Leaving(),
    messages.Welcome(),
    messages.StatementReply(1, messages.Verdict.OUTDATED, version=4),
    messages.StatementReply(
        number=1,
        verdict=messages.Verdict.ANSWERED,
        rows=(b"", b"\xff"),
        signature=b"s",
        state=replies.TransactionState.IN_TRANSACTION,
        position=position.Position(1, 2),
        served_by="a",
    ),
    *(
        messages.StatementReply(
            number=1,
            verdict=messages.Verdict.REJECTED,
            reason=reason,
            detail=_NOT_UTF_8,
        )
        for reason in replies.RejectionReason
    ),
)


def _payload(message: messages.LinkMessage) -> bytes:
    frame = statement_codec.encode(message)
    assert frame is not None, f"{message!r} is too large"
    return frame[_HEADER_BYTES:]


class StatementCodecTest(unittest.TestCase):
    """Encodes, damages and decodes messages."""

    def test_messages_arrive_unchanged(self) -> None:
        for message in _MESSAGES:
            with self.subTest(message):
                decoded = statement_codec.decode(_payload(message))
                self.assertEqual(decoded, message)

    def test_each_field_is_validated(self) -> None:
        wrong = (None, -1, 1.5, True, "x", b"\xff", [], [1], {1: 2}, 2**64 - 1)
        for message in _MESSAGES[:8]:
            fields = msgpack.unpackb(_payload(message), raw=True)
            for index in range(1, len(fields)):
                refused = 0
                for value in wrong:
                    changed = [*fields[:index], value, *fields[index + 1 :]]
                    found = statement_codec.decode(msgpack.packb(changed))
                    refused += isinstance(found, errors.BadPeerMessage)
                with self.subTest(message, index=index):
                    self.assertGreaterEqual(refused, len(wrong) - 3)

    def test_damaged_payloads_raise_nothing(self) -> None:
        rng = random.Random(1)
        payloads = [_payload(message) for message in _MESSAGES]
        payloads += [b"", b"\x90", b"\xc1", b"\x91\x63", b"\x91" * 4_000]
        for payload in payloads:
            for _ in range(40):
                damaged = bytearray(payload)
                for _ in range(rng.randint(1, 3)):
                    if damaged:
                        place = rng.randrange(len(damaged))
                        damaged[place] = rng.randrange(256)
                found = statement_codec.decode(
                    bytes(damaged[: rng.randint(0, len(damaged))])
                )
                self.assertIsInstance(
                    found, messages.LinkMessage | errors.BadPeerMessage
                )

    def test_an_execution_needs_its_statement(self) -> None:
        for message in (
            _run(operations.Execute("s", "x")),
            _run(
                operations.Read("READ x"),
                operations.PreparedStatement(False, "q"),
            ),
        ):
            found = statement_codec.decode(_payload(message))
            self.assertIsInstance(found, errors.BadPeerMessage)

    def test_frames_are_found_in_any_pieces(self) -> None:
        frames = [statement_codec.encode(m) for m in _MESSAGES]
        stream = b"".join(frame for frame in frames if frame)
        for size in (1, 3, 7, 64, len(stream)):
            buffer = statement_codec.FrameBuffer()
            found = []
            for start in range(0, len(stream), size):
                found += buffer.feed(stream[start : start + size])
            decoded = [statement_codec.decode(payload) for payload in found]
            self.assertEqual(decoded, list(_MESSAGES))

    def test_oversized_frames_are_refused_on_both_sides(self) -> None:
        text = "x" * (statement_codec.MAX_FRAME_BYTES + 1)
        self.assertIsNone(statement_codec.encode(_run(operations.Read(text))))
        buffer = statement_codec.FrameBuffer()
        self.assertEqual(buffer.feed(b"\x00\x20\x00\x01"), [])
        self.assertTrue(buffer.oversized)


if __name__ == "__main__":
    unittest.main()
