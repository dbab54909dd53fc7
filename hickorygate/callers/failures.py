"""Failures that only the callers' side knows."""

from __future__ import annotations

import dataclasses

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "ConnectionStateNeeded",
    "KeyReused",
    "PreparationFailed",
    "SessionStateLost",
    "TransactionSpansGroups",
]


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionSpansGroups(errors.Failure):
    """A transaction would leave the group that it began in."""

    schema: types.SchemaName

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"schema {self.schema!r} is in another group than the open "
            "transaction; commit or roll back first"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused(errors.Failure):
    """An idempotency key came with another statement than before."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            "this idempotency key was used with another statement; "
            "use a new key for each write"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PreparationFailed(errors.Failure):
    """A database refused the session's schema or variables.

    Attributes:
      database: which one.
      text: its own error.
    """

    database: types.DatabaseName
    text: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"{self.database!r} refuses the session's schema or variables "
            f"({self.text}); set them right, or reset the session"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStateLost(errors.Failure):
    """The connection that held the session's state has ended."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            "the session's user variables, temporary tables and locks are "
            "gone with their connection; reset the session or reconnect"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionStateNeeded(errors.Failure):
    """A statement needs a connection that the session doesn't keep."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            "this statement depends on the connection of the one before; "
            "send both in one transaction, or set a user variable before "
            "the transaction to keep the connection"
        )
