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

__all__ = ["Code", "ErrorReply", "error_code", "error_reply"]


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
    number, sqlstate = error_code(failure)
    text = f"[{failure.outcome.value}] {failure.message}"
    return ErrorReply(number, sqlstate, text)


@error_reply.register
def _(failure: errors.UpstreamError) -> ErrorReply:
    return ErrorReply(failure.code, failure.sqlstate, failure.text)


@functools.singledispatch
def error_code(failure: errors.Failure) -> Code:
    """Returns the code of a failure of the proxy itself."""
    return _UNKNOWN_ERROR


@error_code.register(errors.AccessDenied)
def _(failure: errors.Failure) -> Code:
    return _ACCESS_DENIED


@error_code.register(errors.BadHint)
@error_code.register(errors.BadToken)
@error_code.register(protocol_errors.BadParameter)
@error_code.register(failures.KeyReused)
def _(failure: errors.Failure) -> Code:
    return _BAD_ARGUMENTS


@error_code.register
def _(failure: failures.PreparationFailed) -> Code:
    return _WRONG_VALUE


@error_code.register(errors.ConnectFailed)
def _(failure: errors.Failure) -> Code:
    return _CANNOT_CONNECT


@error_code.register(errors.EmptyStatement)
def _(failure: errors.Failure) -> Code:
    return _EMPTY_QUERY


@error_code.register(failures.ConnectionStateNeeded)
@error_code.register(failures.SessionStateLost)
@error_code.register(failures.TransactionSpansGroups)
def _(failure: errors.Failure) -> Code:
    return _WRONG_STATE


@error_code.register(protocol_errors.MalformedPacket)
def _(failure: errors.Failure) -> Code:
    return _MALFORMED


@error_code.register(protocol_errors.NoCursor)
def _(failure: errors.Failure) -> Code:
    return _NO_CURSOR


@error_code.register(errors.NotReady)
def _(failure: errors.Failure) -> Code:
    return _OFFLINE


@error_code.register(errors.StatementTooLarge)
def _(failure: errors.Failure) -> Code:
    return _PACKET_TOO_LARGE


@error_code.register(errors.AnswerLost)
def _(failure: errors.Failure) -> Code:
    return _READ_INTERRUPTED


@error_code.register(errors.NoPrimary)
@error_code.register(errors.NoQuorum)
def _(failure: errors.Failure) -> Code:
    return _READ_ONLY


@error_code.register(errors.Draining)
def _(failure: errors.Failure) -> Code:
    return _SHUTDOWN


@error_code.register(protocol_errors.TlsRequired)
def _(failure: errors.Failure) -> Code:
    return _TLS_REQUIRED


@error_code.register(protocol_errors.TooManyPrepared)
def _(failure: errors.Failure) -> Code:
    return _TOO_MANY_PREPARED


@error_code.register(errors.DeadlinePassed)
@error_code.register(errors.Overloaded)
@error_code.register(errors.RateLimited)
@error_code.register(pool_errors.ConnectionLimit)
@error_code.register(pool_errors.DatabaseLeft)
@error_code.register(pool_errors.TransactionIdle)
def _(failure: errors.Failure) -> Code:
    return _LOCK_WAIT_TIMEOUT


@error_code.register(errors.ReplicationUnconfirmed)
def _(failure: errors.Failure) -> Code:
    return _ERROR_DURING_COMMIT


@error_code.register(errors.UnsupportedCharset)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_CHARSET


@error_code.register(protocol_errors.UnknownCommand)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_COMMAND


@error_code.register(errors.UnknownSchema)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_SCHEMA


@error_code.register(protocol_errors.UnknownPreparedStatement)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_STATEMENT


@error_code.register(errors.UnsupportedVariable)
def _(failure: errors.Failure) -> Code:
    return _UNKNOWN_VARIABLE


@error_code.register(errors.MultipleStatements)
@error_code.register(errors.UnsupportedStatement)
@error_code.register(pool_errors.ReservedLock)
def _(failure: errors.Failure) -> Code:
    return _UNSUPPORTED
