"""Maps each failure to its MySQL error number and SQLSTATE.

`docs/ERRORS.md` lists the codes for callers; a test compares that page with
this module.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import NamedTuple

from hickorygate.callers import failures
from hickorygate.callers import protocol_errors
from hickorygate.core import errors
from hickorygate.core import pool_errors

__all__ = ["Code", "ErrorReply", "code_of", "error_reply"]


class Code(NamedTuple):
    """A MySQL error number and its SQLSTATE.

    Attributes:
      number: MySQL error number.
      sqlstate: five characters that class the error.
    """

    number: int
    sqlstate: str


_ACCESS_DENIED = Code(1045, "28000")
_BAD_ARGUMENTS = Code(1210, "HY000")
_CANNOT_CONNECT = Code(1429, "HY000")
_EMPTY_QUERY = Code(1065, "42000")
_UNKNOWN_ERROR = Code(1105, "HY000")
_WRONG_STATE = Code(1192, "HY000")
_MALFORMED = Code(1835, "HY000")
_NO_CURSOR = Code(1421, "HY000")
_OFFLINE = Code(3032, "HY000")
_PACKET_TOO_LARGE = Code(1153, "08S01")
_READ_INTERRUPTED = Code(1159, "08S01")
_READ_ONLY = Code(1290, "HY000")
_SHUTDOWN = Code(1053, "08S01")
_TLS_REQUIRED = Code(3159, "HY000")
_TOO_MANY_PREPARED = Code(1461, "42000")
_LOCK_WAIT_TIMEOUT = Code(1205, "HY000")
_ERROR_DURING_COMMIT = Code(1180, "HY000")
_UNKNOWN_CHARSET = Code(1115, "42000")
_UNKNOWN_COMMAND = Code(1047, "08S01")
_UNKNOWN_SCHEMA = Code(1049, "42000")
_UNKNOWN_STATEMENT = Code(1243, "HY000")
_UNKNOWN_VARIABLE = Code(1193, "HY000")
_UNSUPPORTED = Code(1235, "42000")
_WRONG_VALUE = Code(1231, "42000")


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorReply:
    """Content of an error packet.

    Attributes:
      code: MySQL error number.
      sqlstate: SQLSTATE of the error.
      text: message for the caller.
    """

    code: int
    sqlstate: str
    text: str


@functools.singledispatch
def error_reply(failure: errors.Failure) -> ErrorReply:
    """Returns the content of the error packet for a failure.

    The text of a failure of the proxy starts with the outcome of the request
    in brackets: not run, ran, or unknown. An error of a database is passed on
    unchanged.
    """
    number, sqlstate = code_of(failure)
    text = f"[{failure.outcome.value}] {failure.message}"
    return ErrorReply(number, sqlstate, text)


@error_reply.register
def _(failure: errors.UpstreamError) -> ErrorReply:
    return ErrorReply(failure.code, failure.sqlstate, failure.text)


@functools.singledispatch
def code_of(failure: errors.Failure) -> Code:
    """Returns the code of a failure of the proxy itself."""
    return _UNKNOWN_ERROR


@code_of.register(errors.AccessDenied)
def _(failure: errors.Failure) -> Code:
    return _ACCESS_DENIED


@code_of.register(errors.BadHint)
@code_of.register(errors.BadToken)
@code_of.register(protocol_errors.BadParameter)
@code_of.register(failures.KeyReused)
def _(failure: errors.Failure) -> Code:
    return _BAD_ARGUMENTS


@code_of.register
def _(failure: failures.PreparationFailed) -> Code:
    return _WRONG_VALUE


@code_of.register(errors.ConnectFailed)
def _(failure: errors.Failure) -> Code:
    return _CANNOT_CONNECT


@code_of.register(errors.EmptyStatement)
def _(failure: errors.Failure) -> Code:
    return _EMPTY_QUERY


@code_of.register(failures.ConnectionStateNeeded)
@code_of.register(failures.SessionStateLost)
@code_of.register(failures.TransactionSpansGroups)
def _(failure: errors.Failure) -> Code:
    return _WRONG_STATE


@code_of.register(protocol_errors.MalformedPacket)
def _(failure: errors.Failure) -> Code:
    return _MALFORMED


@code_of.register(protocol_errors.NoCursor)
def _(failure: errors.Failure) -> Code:
    return _NO_CURSOR


@code_of.register(errors.NotReady)
def _(failure: errors.Failure) -> Code:
    return _OFFLINE


@code_of.register(errors.StatementTooLarge)
def _(failure: errors.Failure) -> Code:
    return _PACKET_TOO_LARGE


@code_of.register(errors.AnswerLost)
def _(failure: errors.Failure) -> Code:
    return _READ_INTERRUPTED


@code_of.register(errors.NoPrimary)
@code_of.register(errors.NoQuorum)
def _(failure: errors.Failure) -> Code:
    return _READ_ONLY


@code_of.register(errors.Draining)
def _(failure: errors.Failure) -> Code:
    return _SHUTDOWN


@code_of.register(protocol_errors.TlsRequired)
def _(failure: errors.Failure) -> Code:
    return _TLS_REQUIRED


@code_of.register(protocol_errors.TooManyPrepared)
def _(failure: errors.Failure) -> Code:
    return _TOO_MANY_PREPARED


@code_of.register(errors.DeadlinePassed)
@code_of.register(errors.Overloaded)
@code_of.register(pool_errors.ConnectionLimit)
@code_of.register(pool_errors.DatabaseLeft)
@code_of.register(pool_errors.TransactionIdle)
def _(failure: errors.Failure) -> Code:
    return _LOCK_WAIT_TIMEOUT


@code_of.register(errors.ReplicationUnconfirmed)
def _(failure: errors.Failure) -> Code:
    return _ERROR_DURING_COMMIT


@code_of.register(errors.UnsupportedCharset)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_CHARSET


@code_of.register(protocol_errors.UnknownCommand)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_COMMAND


@code_of.register(errors.UnknownSchema)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_SCHEMA


@code_of.register(protocol_errors.UnknownPrepared)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_STATEMENT


@code_of.register(errors.UnsupportedVariable)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_VARIABLE


@code_of.register(errors.MultipleStatements)
@code_of.register(errors.UnsupportedStatement)
@code_of.register(pool_errors.ReservedLock)
def _(failure: errors.Failure) -> Code:
    return _UNSUPPORTED
