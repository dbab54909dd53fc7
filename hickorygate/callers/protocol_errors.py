"""Failures of the protocol with callers."""

from __future__ import annotations

import dataclasses

from hickorygate.core import errors

__all__ = [
    "BadParameter",
    "MalformedPacket",
    "NoCursor",
    "TlsRequired",
    "TooManyPrepared",
    "Unexpected",
    "UnknownCommand",
    "UnknownPrepared",
]


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedPacket(errors.Failure):
    """A caller's packet can't be read; its connection ends."""

    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"malformed packet: {self.reason}; reconnect"


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownCommand(errors.Failure):
    """A caller sent a command that the proxy doesn't know."""

    code: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"command {self.code:#04x} isn't supported; send a query"


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownPrepared(errors.Failure):
    """No prepared statement of the connection has that number."""

    number: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"no prepared statement {self.number} here; prepare it again"


@dataclasses.dataclass(frozen=True, slots=True)
class TooManyPrepared(errors.Failure):
    """A connection holds as many prepared statements as it may."""

    limit: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.limit} statements are prepared here; close some"


@dataclasses.dataclass(frozen=True, slots=True)
class NoCursor(errors.Failure):
    """A caller fetches from a cursor; results are sent whole instead."""

    number: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"prepared statement {self.number} has no open cursor; its rows "
            "came with the execution"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadParameter(errors.Failure):
    """A prepared statement's parameter has no literal."""

    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"parameter refused: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class TlsRequired(errors.Failure):
    """The proxy takes callers over TLS only."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "this proxy requires TLS; switch it on in the client"


@dataclasses.dataclass(frozen=True, slots=True)
class Unexpected(errors.Failure):
    """A fault of the proxy itself, written to its log."""

    kind: str

    @property
    def outcome(self) -> errors.Outcome:
        """Unknown: nobody foresaw it."""
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"internal fault ({self.kind}); see the proxy's log"
