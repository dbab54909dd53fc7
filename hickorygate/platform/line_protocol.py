"""Encodes and decodes the line protocol that callers and databases use.

A message is one line that ends in CR LF: a keyword, followed by fields
separated by spaces. The last field extends to the end of the line; any other
character, also a CR or an LF alone, belongs to a field.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import expression

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.platform import line_buffer
from hickorygate.upstreams import database_request

__all__ = [
    "MESSAGE_LIMIT",
    "Connect",
    "LineBuffer",
    "Message",
    "Query",
    "ReplyParser",
    "Terminate",
    "MalformedMessage",
    "decoding_cost",
    "encode_request",
    "encode_error",
    "parse_message",
    "parse_status",
    "encode_reply",
]

MESSAGE_LIMIT = line_buffer.MESSAGE_LIMIT
LineBuffer = line_buffer.LineBuffer

_ENCODING = "utf-8"
_DECODE_ERRORS = "surrogateescape"
"""Decoding error handler; bytes that are not UTF-8 pass through unchanged."""

_PROXY_REQUEST_ID = "-"
_NO_POSITION = "-"
_NO_SIGNATURE = b"-"
_STATUS_FIELDS = 7

_REASONS = {
    "BUSY": replies.RejectionReason.BUSY,
    "LAGGING": replies.RejectionReason.LAGGING,
    "READONLY": replies.RejectionReason.READ_ONLY,
    "MISROUTED": replies.RejectionReason.WRONG_DATABASE,
    "CONNLIMIT": replies.RejectionReason.CONNECTION_LIMIT,
    "FAILED": replies.RejectionReason.FAILED,
    "UNKNSTMT": replies.RejectionReason.UNKNOWN_STATEMENT,
    "TIMEOUT": replies.RejectionReason.TIMED_OUT,
    "AUTHFAIL": replies.RejectionReason.ACCESS_DENIED,
    "UNKNDB": replies.RejectionReason.UNKNOWN_DATABASE,
    "OVERSIZE": replies.RejectionReason.OVERSIZED,
    "MALFORMED": replies.RejectionReason.MALFORMED,
    "ABORTED": replies.RejectionReason.ABORTED,
    "INDOUBT": replies.RejectionReason.IN_DOUBT,
}
_CODES = {reason: code for code, reason in _REASONS.items()}
_STATES = {
    "I": replies.TransactionState.IDLE,
    "T": replies.TransactionState.IN_TRANSACTION,
    "E": replies.TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_WRITES_BY_KIND = {"READ": False, "WRITE": True}
_POSITION = re.compile(r"(\d+)\.(\d+)\Z", re.ASCII)
_LINE_BREAKS = re.compile(r"[\r\n]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base class of the messages that callers send."""


@dataclasses.dataclass(frozen=True, slots=True)
class Connect(Message):
    """Opens a session for a database name.

    Attributes:
      database: database name.
      credential: digest of the caller's key; None if it sent none.
    """

    database: str
    credential: workspaces.Credential | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Query(Message):
    """Runs a statement.

    Attributes:
      id: request id that the caller assigned.
      operation: decoded statement.
    """

    id: str
    operation: operations.Operation


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate(Message):
    """Ends the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedMessage(Message):
    """A line that is not a valid message."""


def decoding_cost(line: bytes) -> int:
    """Returns the bytes that a message occupies while it runs.

    These are its decoded text, with up to four bytes a character if one of them
    is wide, and its encoded copy on the way to a database.
    """
    return len(line) * (2 if line.isascii() else 5)


def parse_message(line: bytes) -> Message:
    """Decodes a line of a caller; an oversized line counts as unreadable."""
    if len(line) > MESSAGE_LIMIT:
        return MalformedMessage()
    text = line.decode(_ENCODING, _DECODE_ERRORS)
    word, _, rest = text.partition(" ")
    match word:
        case "QUERY":
            name, _, body = rest.partition(" ")
            if name and body:
                return Query(name, _parse_operation(body))
        case "CONNECT":
            fields = rest.split(" ")
            if fields[0]:
                key = fields[1] if len(fields) > 1 else ""
                credential = workspaces.Credential.of(key) if key else None
                return Connect(fields[0], credential)
        case "TERMINATE":
            return Terminate()
    return MalformedMessage()


def _parse_operation(text: str) -> operations.Operation:
    """Decodes the text of a statement."""
    word, _, rest = text.partition(" ")
    match word, rest.split(" "):
        case "READ", [item] if item:
            return operations.Read(text)
        case "WRITE", [item, _, *_] if item:
            return operations.Write(text)
        case "EXECUTE", [name, _, *_] if name:
            return operations.Execute(name, rest[len(name) + 1 :])
        case "BEGIN", [""] | ["READ"]:
            return operations.Begin(read_only=bool(rest))
        case "COMMIT", [""]:
            return operations.Commit(text)
        case "ROLLBACK", [""]:
            return operations.Rollback()
        case "SET", [name, _, *_] if name:
            return operations.SetValue(name, rest[len(name) + 1 :])
        case "PREPARE", [name, kind, _, *_] if name and kind in _WRITES_BY_KIND:
            body = rest.split(" ", 2)[2]
            prepared = operations.PreparedStatement(_WRITES_BY_KIND[kind], body)
            return operations.Prepare(name, prepared)
        case "DEALLOC", [name] if name:
            return operations.Deallocate(name)
    return operations.Unknown(text)


def _position_text(position: positions.Position | None) -> str:
    if position is None:
        return _NO_POSITION
    return f"{position.term}.{position.offset}"


def _parse_position(text: str) -> positions.Position | None:
    found = _POSITION.match(text)
    if found is None:
        return None
    return positions.Position(int(found[1]), int(found[2]))


def encode_reply(reply: replies.Reply) -> bytes:
    """Encodes a complete reply to a caller.

    Raises:
      ValueError: a row or the signature holds CR LF.
    """
    parts = []
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            lines = [b"ROW " + row for row in answer.rows]
            lines.append(b"COMPLETE " + (answer.signature or _NO_SIGNATURE))
            parts += [line_buffer.encode_line(line) for line in lines]
        case expression.Result(tag="error", error=failure):
            parts.append(encode_error(failure))
    state = _STATE_WORDS[reply.state]
    ready = f"READY {state} {_position_text(reply.position)}\r\n"
    return b"".join([*parts, ready.encode()])


def encode_error(failure: errors.Failure) -> bytes:
    """Encodes a failure as an error line.

    A rejection has its own code. For any other failure, the outcome (not run,
    ran, unknown) determines the code.
    """
    rejection = replies.as_rejection(failure)
    detail = _LINE_BREAKS.sub(" ", rejection.detail) or "-"
    line = f"ERROR {_CODES[rejection.reason]} {detail}"
    return line_buffer.encode_line(line.encode(_ENCODING, _DECODE_ERRORS))


def encode_request(request: database_request.Request) -> bytes:
    """Encodes a request to a database."""
    name, text = _request_text(request)
    return f"QUERY {name} {text}\r\n".encode(_ENCODING, _DECODE_ERRORS)


def _floor_prefix(floor: positions.Position | None) -> str:
    return "" if floor is None else f"WAITPOS {_position_text(floor)} "


@functools.singledispatch
def _request_text(request: database_request.Request) -> tuple[str, str]:
    """Returns the request id and the statement text of a request."""
    raise TypeError(f"no encoding of {request!r}; register one")


@_request_text.register
def _(request: database_request.RunStatement) -> tuple[str, str]:
    return request.id, _floor_prefix(request.floor) + request.text


@_request_text.register
def _(request: database_request.Execute) -> tuple[str, str]:
    text = f"EXECUTE {request.name} {request.arguments}"
    return request.id, _floor_prefix(request.floor) + text


@_request_text.register
def _(request: database_request.Begin) -> tuple[str, str]:
    word = "BEGIN READ" if request.read_only else "BEGIN"
    return _PROXY_REQUEST_ID, _floor_prefix(request.floor) + word


@_request_text.register
def _(request: database_request.Rollback) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, "ROLLBACK"


@_request_text.register
def _(request: database_request.Reset) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, "RESET"


@_request_text.register
def _(request: database_request.SetValue) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, f"SET {request.name} {request.value}"


@_request_text.register
def _(request: database_request.Prepare) -> tuple[str, str]:
    kind = "WRITE" if request.prepared.writes else "READ"
    return (
        _PROXY_REQUEST_ID,
        f"PREPARE {request.name} {kind} {request.prepared.text}",
    )


@_request_text.register
def _(request: database_request.ReadStatus) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, "STATUS"


@_request_text.register
def _(request: database_request.Pause) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, f"PAUSE {request.term}"


@_request_text.register
def _(request: database_request.Demote) -> tuple[str, str]:
    return _PROXY_REQUEST_ID, f"DEMOTE {request.term}"


class ReplyParser:
    """Assembles complete replies from the lines that a database sends."""

    __slots__ = ("_result", "_rows", "_size")

    def __init__(self) -> None:
        self._rows: list[bytes] = []
        self._size = 0
        self._result: replies.Result | None = None

    def __repr__(self) -> str:
        return f"ReplyParser(rows={len(self._rows)})"

    def parse_line(self, line: bytes) -> replies.Reply | None:
        """Parses one line.

        Returns:
          The reply that the line completes, or None if more lines follow.

        Raises:
          ValueError: the line violates the protocol.
        """
        word, _, rest = line.partition(b" ")
        match word:
            case b"ROW":
                self._size += len(rest)
                if self._size > MESSAGE_LIMIT:
                    raise ValueError("an answer is longer than a message")
                self._rows.append(rest)
            case b"COMPLETE":
                signature = b"" if rest == _NO_SIGNATURE else rest
                answer = replies.Answer(tuple(self._rows), signature)
                self._result = expression.Ok(answer)
            case b"ERROR":
                self._result = expression.Error(_parse_rejection(rest))
            case b"READY":
                return self._finish_reply(rest)
            case _:
                raise ValueError(f"unknown word {word[:20]!r}")
        return None

    def _finish_reply(self, rest: bytes) -> replies.Reply:
        state, _, position = rest.decode("ascii", "replace").partition(" ")
        if state not in _STATES:
            raise ValueError(f"unknown state {state[:20]!r}")
        if self._result is None:
            self._result = expression.Ok(replies.Answer(tuple(self._rows)))
        reply = replies.Reply(
            self._result, _STATES[state], _parse_position(position)
        )
        self._rows, self._result, self._size = [], None, 0
        return reply


def _parse_rejection(rest: bytes) -> replies.Rejection:
    code, _, detail = rest.decode(_ENCODING, _DECODE_ERRORS).partition(" ")
    # An unknown code doesn't prove that the request did not run.
    reason = _REASONS.get(code, replies.RejectionReason.FAILED)
    return replies.Rejection(reason, detail)


def parse_status(reply: replies.Reply) -> replies.ReplicationStatus | None:
    """Decodes the row with a database's role and positions in its group.

    Returns:
      The status, or None if the reply holds no valid status row.
    """
    if reply.result.is_error() or not reply.result.ok.rows:
        return None
    fields = reply.result.ok.rows[0].decode("ascii", "replace").split(" ")
    if len(fields) < _STATUS_FIELDS:
        return None
    role, term, received, paused_for = fields[:4]
    position = _parse_position(received)
    if position is None or not (term.isdecimal() and paused_for.isdecimal()):
        return None
    return replies.ReplicationStatus(
        role == "primary", int(term), position, int(paused_for)
    )
