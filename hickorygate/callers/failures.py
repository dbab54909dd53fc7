"""Failures that occur only on the side of the callers."""

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
    """A schema of another group than that of the open transaction.

    Attributes:
      schema: name of the schema that the caller tried to select.
    """

    schema: types.SchemaName

    @property
    def message(self) -> str:
        """The message for the caller."""
        return (
            f"schema {self.schema!r} is in another group than the open "
            "transaction; commit or roll back first"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused(errors.Failure):
    """An idempotency key was used before with another statement."""

    @property
    def message(self) -> str:
        """The message for the caller."""
        return (
            "this idempotency key was used with another statement; "
            "use a new key for each write"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PreparationFailed(errors.Failure):
    """A database refused the session's schema or variables.

    Attributes:
      database: name of the database.
      text: error message of the database.
    """

    database: types.DatabaseName
    text: str

    @property
    def message(self) -> str:
        """The message for the caller."""
        return (
            f"{self.database!r} refuses the session's schema or variables "
            f"({self.text}); set them right, or reset the session"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStateLost(errors.Failure):
    """The connection that held the session's state has closed."""

    @property
    def message(self) -> str:
        """The message for the caller."""
        return (
            "the session's user variables, temporary tables and locks are "
            "gone with their connection; reset the session or reconnect"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionStateNeeded(errors.Failure):
    """A statement depends on the connection of the previous statement.

    The session has not kept that connection.
    """

    @property
    def message(self) -> str:
        """The message for the caller."""
        return (
            "this statement depends on the connection of the one before; "
            "send both in one transaction, or set a user variable before "
            "the transaction to keep the connection"
        )
