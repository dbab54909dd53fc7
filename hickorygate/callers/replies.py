"""The MySQL error number and SQLSTATE of each failure."""

from __future__ import annotations

import dataclasses
import functools

from hickorygate.core import errors

__all__ = ["ErrorReply", "error_reply"]


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorReply:
    """What the error packet carries."""

    code: int
    sqlstate: str
    text: str


@functools.singledispatch
def error_reply(failure: errors.Failure) -> ErrorReply:
    """Returns what a caller is told about a failure.

    The text of our own failures starts with what is known of the request,
    in brackets: not run, ran, or unknown.
    """
    return _reply(failure, 1105, "HY000")


def _reply(failure: errors.Failure, code: int, sqlstate: str) -> ErrorReply:
    text = f"[{failure.outcome.value}] {failure.message}"
    return ErrorReply(code, sqlstate, text)


@error_reply.register
def _(failure: errors.UpstreamError) -> ErrorReply:
    return ErrorReply(failure.code, failure.sqlstate, failure.text)


@error_reply.register
def _(failure: errors.AccessDenied) -> ErrorReply:
    return _reply(failure, 1045, "28000")


@error_reply.register
def _(failure: errors.UnknownSchema) -> ErrorReply:
    return _reply(failure, 1049, "42000")
