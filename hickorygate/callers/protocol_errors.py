"""Failures of the MySQL protocol with callers."""

from __future__ import annotations

import dataclasses

from hickorygate.core import errors

__all__ = [
    "BadParameter",
    "MalformedPacket",
    "NoCursor",
    "TlsRequired",
    "TooManyPrepared",
    "InternalError",
    "UnknownCommand",
    "UnknownPreparedStatement",
]


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedPacket(errors.Failure):
    """A packet of a caller can't be decoded; its connection ends.

    Attributes:
      reason: what is wrong with the packet.
    """

    reason: str

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"malformed packet: {self.reason}; reconnect"


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownCommand(errors.Failure):
    """A caller sent a command that the proxy doesn't support.

    Attributes:
      code: first byte of the command packet.
    """

    code: int

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"command {self.code:#04x} isn't supported; send a query"


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownPreparedStatement(errors.Failure):
    """The connection has no prepared statement with this id.

    Attributes:
      number: id that the caller sent.
    """

    number: int

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"no prepared statement {self.number} here; prepare it again"


@dataclasses.dataclass(frozen=True, slots=True)
class TooManyPrepared(errors.Failure):
    """The connection has the maximum number of prepared statements.

    Attributes:
      limit: maximum number of prepared statements per connection.
    """

    limit: int

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"{self.limit} statements are prepared here; close some"


@dataclasses.dataclass(frozen=True, slots=True)
class NoCursor(errors.Failure):
    """A caller fetched from a cursor; the proxy sends all rows at once.

    Attributes:
      number: id of the prepared statement.
    """

    number: int

    @property
    def message(self) -> str:
        """Message for the caller."""
        return (
            f"prepared statement {self.number} has no open cursor; its rows "
            "came with the execution"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadParameter(errors.Failure):
    """A parameter of a prepared statement can't be written as a literal.

    Attributes:
      reason: what is wrong with the parameter.
    """

    reason: str

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"parameter refused: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class TlsRequired(errors.Failure):
    """A caller tried to log in without TLS, which the proxy requires."""

    @property
    def message(self) -> str:
        """Message for the caller."""
        return "this proxy requires TLS; switch it on in the client"


@dataclasses.dataclass(frozen=True, slots=True)
class InternalError(errors.Failure):
    """An internal error of the proxy, which is written to its log.

    Attributes:
      kind: class name of the exception.
    """

    kind: str

    @property
    def outcome(self) -> errors.Outcome:
        """Unknown: the error may come from any step of the request."""
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Message for the caller."""
        return f"internal fault ({self.kind}); see the proxy's log"
