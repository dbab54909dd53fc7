"""Failures, each a type that says what it knows about the request.

Functions return `expression.Result` with one of these on the error side; a
failure becomes an exception (`FailureError`) only where a library calls back
into our code and expects one.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import types

__all__ = [
    "AccessDenied",
    "AnswerLost",
    "AnswerOverdue",
    "BadHint",
    "BadPeerMessage",
    "BadToken",
    "ConnectFailed",
    "DeadlinePassed",
    "Draining",
    "EmptyStatement",
    "Failure",
    "FailureError",
    "FileInvalid",
    "GroupRefused",
    "ListenFailed",
    "MultipleStatements",
    "NoPrimary",
    "NoQuorum",
    "NotReady",
    "Outcome",
    "Overloaded",
    "Problem",
    "ReplicationUnconfirmed",
    "SheetConflict",
    "StatementTooLarge",
    "StoreUnavailable",
    "UnknownSchema",
    "UnsupportedCharset",
    "UnsupportedStatement",
    "UnsupportedVariable",
    "UpstreamError",
]


class Outcome(enum.Enum):
    """What a failure says about the request."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Base of all failures.

    Subclasses override `outcome` where it isn't NOT_RUN and define
    `message`, which names the value and the way out.
    """

    @property
    def outcome(self) -> Outcome:
        """What is known about the request."""
        return Outcome.NOT_RUN

    @property
    def message(self) -> str:
        """Text for a person."""
        raise NotImplementedError


class FailureError(Exception):
    """Carries a failure through a library that only knows exceptions."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDenied(Failure):
    """The user or the password is wrong."""

    user: types.CallerName

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"access denied for user {self.user!r}; check the password and "
            "the users in the settings"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownSchema(Failure):
    """No group of the sheet owns the schema."""

    schema: types.SchemaName | None

    @property
    def message(self) -> str:
        """Text for a person."""
        if self.schema is None:
            return "no schema is selected; connect with one or send USE"
        return (
            f"schema {self.schema!r} belongs to no group of the sheet; "
            "choose one that `hickorygate sheet show` lists"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadHint(Failure):
    """A hint has an unknown name or an unusable value."""

    name: str
    value: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"hint {self.name}={self.value!r}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class BadToken(Failure):
    """A session token is forged, malformed or too long."""

    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"session token refused: {self.reason}; continue without a "
            "token, or with one that this fleet handed out"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadPeerMessage(Failure):
    """A packet from another proxy can't be used."""

    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"message from another proxy dropped: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class StatementTooLarge(Failure):
    """A statement is longer than the settings allow."""

    size: int
    limit: int

    @property
    def message(self) -> str:
        """Text for a person; sizes in bytes."""
        return (
            f"statement of {self.size} bytes is over the limit of "
            f"{self.limit}; split it or raise callers.statement_limit"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MultipleStatements(Failure):
    """One packet holds several statements."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "several statements in one packet; send them one by one"


@dataclasses.dataclass(frozen=True, slots=True)
class EmptyStatement(Failure):
    """A packet holds no statement."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "the statement is empty; send one"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedStatement(Failure):
    """The proxy takes no statement of this kind.

    Attributes:
      what: the words that name the kind.
    """

    what: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.what} isn't passed on; send it to the database directly"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedVariable(Failure):
    """A variable can't be set through the proxy."""

    name: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"variable {self.name!r} can't be set here: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedCharset(Failure):
    """A caller wants a character set other than UTF-8."""

    charset: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"character set {self.charset!r}: the proxy speaks utf8mb4 only"


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady(Failure):
    """The proxy has no sheet yet."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "this proxy has learned no sheet yet; try another proxy"


@dataclasses.dataclass(frozen=True, slots=True)
class Draining(Failure):
    """The proxy is shutting down and takes no new work."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "this proxy is shutting down; reconnect to another one"


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded(Failure):
    """The request can't meet its target behind the work admitted before."""

    rank: types.RankName
    retry_after: datetime.timedelta

    @property
    def message(self) -> str:
        """Text for a person."""
        wait = self.retry_after.total_seconds()
        return f"rank {self.rank!r} is overloaded; retry after {wait:.3f} s"


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed(Failure):
    """The request waited past its deadline and was never sent."""

    rank: types.RankName
    waited: datetime.timedelta

    @property
    def message(self) -> str:
        """Text for a person."""
        waited = self.waited.total_seconds()
        return (
            f"not sent within its deadline (rank {self.rank!r}, waited "
            f"{waited:.3f} s); retry later"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NoPrimary(Failure):
    """The group has no primary that a write could go to."""

    group: types.GroupName

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"group {self.group!r} has no primary at the moment; "
            "retry in a second"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NoQuorum(Failure):
    """Too few databases of the group answer to make a write durable."""

    group: types.GroupName
    reachable: int
    needed: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"group {self.group!r}: {self.reachable} databases reachable, "
            f"{self.needed} needed for a durable write; retry in a second"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed(Failure):
    """A connection to a database could not be opened."""

    database: types.DatabaseName
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"can't connect to {self.database!r}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost(Failure):
    """A statement was sent and its answer never came."""

    database: types.DatabaseName
    reason: str

    @property
    def outcome(self) -> Outcome:
        """Unknown: the statement may have run."""
        return Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the answer from {self.database!r} was lost ({self.reason}); "
            "the statement may have run, look before repeating it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOverdue(AnswerLost):
    """A statement's answer didn't come in time; the database is silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationUnconfirmed(Failure):
    """A write ran, but no majority confirmed it in time."""

    group: types.GroupName

    @property
    def outcome(self) -> Outcome:
        """Unknown: the write may or may not survive."""
        return Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"group {self.group!r}: the write ran on the primary but no "
            "replica confirmed it; look before repeating it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamError(Failure):
    """The database's own error, passed on as it is.

    Attributes:
      code: MySQL error number.
      sqlstate: five characters.
      text: the database's message.
      refused: the database says that it ran nothing, being read-only.
      interrupted: the database broke off, perhaps in the middle of a commit.
    """

    code: int
    sqlstate: str
    text: str
    refused: bool = False
    interrupted: bool = False

    @property
    def outcome(self) -> Outcome:
        """The database answered, so most often the request is settled."""
        if self.refused:
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN if self.interrupted else Outcome.RAN

    @property
    def message(self) -> str:
        """The database's own text."""
        return self.text


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRefused(Failure):
    """A database refused a fence, a promotion or a change of primary."""

    database: types.DatabaseName
    term: types.Term
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.database!r} refused term {self.term}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable(Failure):
    """The platform's object API didn't answer.

    Attributes:
      sent: the request may have reached the store, so a change in it is
        unsettled until it is read back.
    """

    reason: str
    sent: bool

    @property
    def outcome(self) -> Outcome:
        """Unknown once anything was sent."""
        return Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"the platform's object API is unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class SheetConflict(Failure):
    """Another operator changed the sheet first."""

    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the sheet is at version {self.found}, not {self.expected}; "
            "look at it with `hickorygate sheet show` and load again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong in a file.

    Attributes:
      line: counted from 1; None if it concerns the whole file.
      where: the key, as a dotted path.
      reason: what is wrong, what was found and what would be right.
    """

    line: int | None
    where: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FileInvalid(Failure):
    """A sheet or a settings file doesn't hold what it must.

    Attributes:
      path: the file.
      problems: all that were found, at least one.
    """

    path: str
    problems: tuple[Problem, ...]

    @property
    def message(self) -> str:
        """Text for a person, a line for each problem."""
        return "\n".join(self._line(problem) for problem in self.problems)

    def _line(self, problem: Problem) -> str:
        line = "" if problem.line is None else f"{problem.line}:"
        return f"{self.path}:{line} {problem.where}: {problem.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class ListenFailed(Failure):
    """The process can't listen where its settings say."""

    part: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"can't listen for {self.part}: {self.reason}; choose a free "
            f"port and an address of this instance under {self.part!r}"
        )
