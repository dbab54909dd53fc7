"""Encodes and decodes the messages between proxies about statements.

A frame is a length of 4 bytes, in network byte order, and a msgpack array: the
kind of the message, then its fields in order. Texts travel as bytes, since a
caller's text need not be UTF-8. Every field is validated before it is used.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools
import struct
from typing import Annotated
from typing import Any

import msgpack
import pydantic

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.proxies import statement_messages as messages

__all__ = ["MAX_FRAME_BYTES", "FrameBuffer", "decode", "encode"]

MAX_FRAME_BYTES = 2 * 1_024 * 1_024
"""Maximum size of a frame's payload. A statement and a reply have 1 MiB each
at most."""

_PROTOCOL_VERSION = 1
_LENGTH = struct.Struct("!I")
_ENCODING = "utf-8"
_DECODE_ERRORS = "surrogateescape"
_MAX_NUMBER = 2**63 - 1
_MAX_TIME_LEFT_MS = 86_400_000

_Number = Annotated[int, pydantic.Field(strict=True, ge=0, le=_MAX_NUMBER)]
_Text = Annotated[bytes, pydantic.Field(strict=True)]
_Flag = Annotated[bool, pydantic.Field(strict=True)]
_Milliseconds = Annotated[
    int, pydantic.Field(strict=True, ge=0, le=_MAX_TIME_LEFT_MS)
]
_Position = tuple[_Number, _Number] | None

_RUN_FIELDS = pydantic.TypeAdapter(
    tuple[
        _Number,  # number
        _Number,  # transaction
        _Number,  # start
        _Text,  # request_id
        tuple[_Number, _Text, _Text],  # operation
        tuple[_Flag, _Text] | None,  # prepared
        dict[_Text, _Text],  # values
        _Position,  # floor
        _Text,  # database
        _Text,  # service
        _Text,  # workspace
        _Number,  # version
        _Milliseconds,  # time_left_ms
    ]
)
_REPLY_FIELDS = pydantic.TypeAdapter(
    tuple[
        _Number,  # number
        _Number,  # verdict
        tuple[_Text, ...],  # rows
        _Text,  # signature
        _Number,  # reason
        _Text,  # detail
        _Number,  # state
        _Position,  # position
        _Text,  # served_by
        _Number,  # version
    ]
)
_HELLO_FIELDS = pydantic.TypeAdapter(tuple[_Number, _Text, _Text])
_RECALL_FIELDS = pydantic.TypeAdapter(tuple[_Number, _Number, _Text])
_Names = tuple[_Text, ...]
_LentView = tuple[_Text, _Names, _Names, _Names, _Names]
_Cores = Annotated[
    float, pydantic.Field(strict=True, ge=0, allow_inf_nan=False)
]
_KnownFleet = tuple[_Text, dict[_Text, _Cores]]
_RIGHTS_REQUEST_FIELDS = pydantic.TypeAdapter(tuple[_Number, _Number, _Names])
_RIGHTS_FIELDS = pydantic.TypeAdapter(
    tuple[_Number, tuple[_LentView, ...], tuple[_KnownFleet, ...]]
)
_NUMBER_FIELDS = pydantic.TypeAdapter(tuple[_Number])
_NO_FIELDS = pydantic.TypeAdapter(tuple[()])

_READ, _WRITE, _EXECUTE, _COMMIT, _ROLLBACK = range(5)
_HELLO, _WELCOME, _RUN, _ABORT, _PING, _REPLY, _PONG, _LEAVING, _RECALL = range(
    9
)
_RIGHTS_REQUEST, _RIGHTS = 9, 10

_STATES = tuple(replies.TransactionState)
_STATE_NUMBERS = {state: number for number, state in enumerate(_STATES)}
_REASONS = (None, *replies.RejectionReason)
_REASON_NUMBERS = {reason: number for number, reason in enumerate(_REASONS)}
"""Numbers of the reasons in their order; a new reason goes to the end."""

_STARTS = {start.value: start for start in messages.TransactionStart}
_VERDICTS = {verdict.value: verdict for verdict in messages.Verdict}


class FrameBuffer:
    """Splits a stream of bytes into the payloads of frames."""

    __slots__ = ("_buffer", "_oversized")

    def __init__(self) -> None:
        self._buffer = b""
        self._oversized = False

    @property
    def oversized(self) -> bool:
        """Whether a frame exceeds the size limit; no more frames follow."""
        return self._oversized

    def __repr__(self) -> str:
        return f"FrameBuffer({len(self._buffer)} bytes)"

    def feed(self, data: bytes) -> list[bytes]:
        """Appends bytes and returns the payloads that are now complete."""
        buffer = self._buffer + data if self._buffer else data
        payloads = []
        start, end = 0, len(buffer)
        while end - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                self._oversized = True
                break
            first = start + _LENGTH.size
            if end - first < size:
                break
            start = first + size
            payloads.append(buffer[first:start])
        self._buffer = buffer[start:]
        return payloads


def encode(message: messages.LinkMessage) -> bytes | None:
    """Returns the frame of a message; None if the message is too large."""
    payload = msgpack.packb(_fields(message))
    if len(payload) > MAX_FRAME_BYTES:
        return None
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> messages.LinkMessage | errors.BadPeerMessage:
    """Decodes and validates the payload of a frame.

    Returns:
      The message, or the failure if the payload isn't a valid one. It is not
      an `expression.Result`, whose construction takes longer than decoding.
    """
    try:
        fields = msgpack.unpackb(payload, raw=True, strict_map_key=False)
    except (ValueError, TypeError, OverflowError, msgpack.UnpackException):
        return _malformed("not a message")
    if not isinstance(fields, list) or not fields:
        return _malformed("not a message")
    decoder = _DECODERS.get(fields[0]) if type(fields[0]) is int else None
    if decoder is None:
        return _malformed("unknown message")
    try:
        return decoder(fields[1:])
    except (ValueError, LookupError) as error:
        return _malformed(f"kind {fields[0]}: {type(error).__name__}")


def _malformed(reason: str) -> errors.BadPeerMessage:
    return errors.BadPeerMessage(reason)


def _to_bytes(text: str) -> bytes:
    return text.encode(_ENCODING, _DECODE_ERRORS)


def _to_text(data: bytes) -> str:
    return data.decode(_ENCODING, _DECODE_ERRORS)


def _pair(position: positions.Position | None) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.offset)


def _position(pair: tuple[int, int] | None) -> positions.Position | None:
    return None if pair is None else positions.Position(*pair)


@functools.singledispatch
def _fields(message: messages.LinkMessage) -> list[Any]:
    """Returns the kind of a message and its fields in order."""
    raise TypeError(f"no encoding of {message!r}; register one")


@_fields.register
def _(message: messages.Hello) -> list[Any]:
    names = (_to_bytes(message.gateway), _to_bytes(message.server))
    return [_HELLO, _PROTOCOL_VERSION, *names]


@_fields.register
def _(message: messages.Welcome) -> list[Any]:
    return [_WELCOME]


@_fields.register
def _(message: messages.RunStatement) -> list[Any]:
    prepared = message.prepared
    return [
        _RUN,
        message.number,
        message.transaction,
        message.start.value,
        _to_bytes(message.request_id),
        _operation_fields(message.operation),
        prepared and (prepared.writes, _to_bytes(prepared.text)),
        {_to_bytes(k): _to_bytes(v) for k, v in message.values.items()},
        _pair(message.floor),
        _to_bytes(message.database),
        _to_bytes(message.service),
        _to_bytes(message.workspace),
        message.version,
        message.time_left_ms,
    ]


@_fields.register
def _(message: messages.AbortTransaction) -> list[Any]:
    return [_ABORT, message.transaction]


@_fields.register
def _(message: messages.RecallStatement) -> list[Any]:
    reason = _REASON_NUMBERS[message.reason]
    return [_RECALL, message.number, reason, _to_bytes(message.detail)]


@_fields.register
def _(message: messages.Ping) -> list[Any]:
    return [_PING, message.number]


@_fields.register
def _(message: messages.StatementReply) -> list[Any]:
    return [
        _REPLY,
        message.number,
        message.verdict.value,
        message.rows,
        message.signature,
        _REASON_NUMBERS[message.reason],
        _to_bytes(message.detail),
        _STATE_NUMBERS[message.state],
        _pair(message.position),
        _to_bytes(message.served_by),
        message.version,
    ]


@_fields.register
def _(message: messages.Pong) -> list[Any]:
    return [_PONG, message.number]


@_fields.register
def _(message: messages.Leaving) -> list[Any]:
    return [_LEAVING]


def _encode_names(names: Iterable[str]) -> list[bytes]:
    return [_to_bytes(name) for name in names]


def _decode_names(names: Iterable[bytes]) -> frozenset[str]:
    return frozenset(_to_text(name) for name in names)


@_fields.register
def _(message: messages.RightsRequest) -> list[Any]:
    fleets = _encode_names(message.fleets)
    return [_RIGHTS_REQUEST, message.number, message.received, fleets]


@_fields.register
def _(message: messages.Rights) -> list[Any]:
    views = [
        (
            _to_bytes(view.fleet),
            _encode_names(view.absent),
            _encode_names(view.slow),
            _encode_names(view.unusable),
            _encode_names(view.servers),
        )
        for view in message.views
    ]
    fleets = [
        (
            _to_bytes(fleet.digest),
            {_to_bytes(k): float(v) for k, v in fleet.capacities.items()},
        )
        for fleet in message.fleets
    ]
    return [_RIGHTS, message.number, views, fleets]


@functools.singledispatch
def _operation_fields(
    operation: operations.Operation,
) -> tuple[int, bytes, bytes]:
    """Returns the kind of an operation and its two texts."""
    raise TypeError(f"{operation!r} does not run in a database")


@_operation_fields.register
def _(operation: operations.Read) -> tuple[int, bytes, bytes]:
    return _READ, _to_bytes(operation.text), b""


@_operation_fields.register
def _(operation: operations.Write) -> tuple[int, bytes, bytes]:
    return _WRITE, _to_bytes(operation.text), b""


@_operation_fields.register
def _(operation: operations.Execute) -> tuple[int, bytes, bytes]:
    name, arguments = operation.name, operation.arguments
    return _EXECUTE, _to_bytes(name), _to_bytes(arguments)


@_operation_fields.register
def _(operation: operations.Commit) -> tuple[int, bytes, bytes]:
    return _COMMIT, _to_bytes(operation.text), b""


@_operation_fields.register
def _(operation: operations.Rollback) -> tuple[int, bytes, bytes]:
    return _ROLLBACK, b"", b""


def _decode_operation(
    fields: tuple[int, bytes, bytes],
) -> operations.Operation:
    kind, first, second = fields
    match kind:
        case 0:
            return operations.Read(_to_text(first))
        case 1:
            return operations.Write(_to_text(first))
        case 2:
            return operations.Execute(_to_text(first), _to_text(second))
        case 3:
            return operations.Commit(_to_text(first))
        case 4:
            return operations.Rollback()
    raise ValueError(f"unknown operation {kind}")


def _decode_hello(fields: list[Any]) -> messages.Hello:
    version, gateway, server = _HELLO_FIELDS.validate_python(fields)
    if version != _PROTOCOL_VERSION:
        raise ValueError(f"protocol version {version}")
    return messages.Hello(_to_text(gateway), _to_text(server))


def _decode_welcome(fields: list[Any]) -> messages.Welcome:
    _NO_FIELDS.validate_python(fields)
    return messages.Welcome()


def _decode_run(fields: list[Any]) -> messages.RunStatement:
    found = _RUN_FIELDS.validate_python(fields)
    operation, prepared = _decode_operation(found[4]), found[5]
    if (prepared is None) == isinstance(operation, operations.Execute):
        raise ValueError("only Execute has a prepared statement")
    return messages.RunStatement(
        number=found[0],
        transaction=found[1],
        start=_STARTS[found[2]],
        request_id=_to_text(found[3]),
        operation=operation,
        prepared=prepared
        and operations.PreparedStatement(prepared[0], _to_text(prepared[1])),
        values={_to_text(k): _to_text(v) for k, v in found[6].items()},
        floor=_position(found[7]),
        database=_to_text(found[8]),
        service=_to_text(found[9]),
        workspace=_to_text(found[10]),
        version=found[11],
        time_left_ms=found[12],
    )


def _decode_abort(fields: list[Any]) -> messages.AbortTransaction:
    return messages.AbortTransaction(*_NUMBER_FIELDS.validate_python(fields))


def _decode_recall(fields: list[Any]) -> messages.RecallStatement:
    number, reason, detail = _RECALL_FIELDS.validate_python(fields)
    found = _REASONS[reason]
    if found is None:
        raise ValueError("a rejection needs a reason")
    return messages.RecallStatement(number, found, _to_text(detail))


def _decode_ping(fields: list[Any]) -> messages.Ping:
    return messages.Ping(*_NUMBER_FIELDS.validate_python(fields))


def _decode_reply(fields: list[Any]) -> messages.StatementReply:
    found = _REPLY_FIELDS.validate_python(fields)
    verdict, reason = _VERDICTS[found[1]], _REASONS[found[4]]
    if (verdict is messages.Verdict.REJECTED) != (reason is not None):
        raise ValueError("only a rejection has a reason")
    return messages.StatementReply(
        number=found[0],
        verdict=verdict,
        rows=found[2],
        signature=found[3],
        reason=reason,
        detail=_to_text(found[5]),
        state=_STATES[found[6]],
        position=_position(found[7]),
        served_by=_to_text(found[8]),
        version=found[9],
    )


def _decode_pong(fields: list[Any]) -> messages.Pong:
    return messages.Pong(*_NUMBER_FIELDS.validate_python(fields))


def _decode_leaving(fields: list[Any]) -> messages.Leaving:
    _NO_FIELDS.validate_python(fields)
    return messages.Leaving()


def _decode_rights_request(fields: list[Any]) -> messages.RightsRequest:
    number, received, fleets = _RIGHTS_REQUEST_FIELDS.validate_python(fields)
    return messages.RightsRequest(
        number, received, tuple(map(_to_text, fleets))
    )


def _decode_rights(fields: list[Any]) -> messages.Rights:
    number, views, fleets = _RIGHTS_FIELDS.validate_python(fields)
    return messages.Rights(
        number,
        tuple(
            messages.LentView(_to_text(digest), *map(_decode_names, names))
            for digest, *names in views
        ),
        tuple(
            messages.KnownFleet(
                _to_text(digest),
                {_to_text(name): cores for name, cores in found.items()},
            )
            for digest, found in fleets
        ),
    )


_DECODERS = {
    _HELLO: _decode_hello,
    _WELCOME: _decode_welcome,
    _RUN: _decode_run,
    _ABORT: _decode_abort,
    _RECALL: _decode_recall,
    _PING: _decode_ping,
    _REPLY: _decode_reply,
    _PONG: _decode_pong,
    _LEAVING: _decode_leaving,
    _RIGHTS_REQUEST: _decode_rights_request,
    _RIGHTS: _decode_rights,
}
