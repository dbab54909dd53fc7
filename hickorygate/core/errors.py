"""Failures, with one type for each cause.

Each type states whether the request ran. Functions return `expression.Result`
with one of these types on the error side; a failure becomes an exception
(`FailureError`) only where a library calls back into the project's code and
expects one.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum
import math

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
    "ControlRefused",
    "ListenFailed",
    "MultipleStatements",
    "NoPrimary",
    "NoQuorum",
    "NotReady",
    "Outcome",
    "Overloaded",
    "FileProblem",
    "RateLimited",
    "ReplicationUnconfirmed",
    "SheetConflict",
    "SessionRefused",
    "StatementTooLarge",
    "StoreUnavailable",
    "UnknownSchema",
    "UnsupportedCharset",
    "UnsupportedStatement",
    "UnsupportedVariable",
    "UpstreamError",
]

_MILLISECOND = datetime.timedelta(milliseconds=1)


class Outcome(enum.Enum):
    """Whether a failed request ran."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Base of all failures.

    Subclasses override `outcome` where it isn't NOT_RUN and define
    `message`, which names the value at fault and what to do about it.
    """

    @property
    def outcome(self) -> Outcome:
        """Whether the request ran."""
        return Outcome.NOT_RUN

    @property
    def message(self) -> str:
        """Human-readable message."""
        raise NotImplementedError


class FailureError(Exception):
    """Carries a failure through a library that expects exceptions.

    Attributes:
      failure: failure that the exception carries.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDenied(Failure):
    """The user name or the password is wrong."""

    user: types.CallerName

    @property
    def message(self) -> str:
        """Human-readable message."""
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
        """Human-readable message."""
        if self.schema is None:
            return "no schema is selected; connect with one or send USE"
        return (
            f"schema {self.schema!r} belongs to no group of the sheet; "
            "choose one that `hickorygate sheet show` lists"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadHint(Failure):
    """A routing hint has an unknown name or an invalid value."""

    name: str
    value: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"hint {self.name}={self.value!r}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class BadToken(Failure):
    """A session token is forged, malformed or too long."""

    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"session token refused: {self.reason}; continue without a "
            "token, or with one that this fleet handed out"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BadPeerMessage(Failure):
    """A packet from another proxy is invalid."""

    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"message from another proxy dropped: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class StatementTooLarge(Failure):
    """A statement is longer than the settings allow.

    Attributes:
      size: size of the statement in bytes.
      limit: maximum size in bytes.
    """

    size: int
    limit: int

    @property
    def message(self) -> str:
        """Human-readable message; sizes are in bytes."""
        return (
            f"statement of {self.size} bytes is over the limit of "
            f"{self.limit}; split it or raise callers.statement_limit"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MultipleStatements(Failure):
    """One packet contains several statements."""

    @property
    def message(self) -> str:
        """Human-readable message."""
        return "several statements in one packet; send them one by one"


@dataclasses.dataclass(frozen=True, slots=True)
class EmptyStatement(Failure):
    """A packet contains no statement."""

    @property
    def message(self) -> str:
        """Human-readable message."""
        return "the statement is empty; send one"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedStatement(Failure):
    """The proxy does not accept statements of this kind.

    Attributes:
      what: description of the kind of statement.
    """

    what: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"{self.what} isn't passed on; send it to the database directly"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedVariable(Failure):
    """A variable can't be set through the proxy."""

    name: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"variable {self.name!r} can't be set here: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedCharset(Failure):
    """A caller requested a character set other than UTF-8."""

    charset: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"character set {self.charset!r}: the proxy speaks utf8mb4 only"


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady(Failure):
    """The proxy has no sheet yet."""

    @property
    def message(self) -> str:
        """Human-readable message."""
        return "this proxy has learned no sheet yet; try another proxy"


@dataclasses.dataclass(frozen=True, slots=True)
class Draining(Failure):
    """The proxy is shutting down and accepts no new work."""

    @property
    def message(self) -> str:
        """Human-readable message."""
        return "this proxy is shutting down; reconnect to another one"


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded(Failure):
    """The request can't meet its deadline behind the work already admitted.

    Attributes:
      rank: rank of the request.
      retry_after: time after which a retry is worthwhile.
    """

    rank: types.RankName
    retry_after: datetime.timedelta

    @property
    def message(self) -> str:
        """Human-readable message."""
        wait = self.retry_after.total_seconds()
        return f"rank {self.rank!r} is overloaded; retry after {wait:.3f} s"


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimited(Failure):
    """The caller's workspace has reached its rate limit.

    Attributes:
      workspace: workspace of the caller.
      retry_after: time after which a retry is worthwhile.
    """

    workspace: types.WorkspaceName
    retry_after: datetime.timedelta

    @property
    def message(self) -> str:
        """Human-readable message."""
        milliseconds = math.ceil(self.retry_after / _MILLISECOND)
        return (
            f"workspace {self.workspace!r} is over its rate limit; "
            f"retry after {milliseconds} ms"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed(Failure):
    """The request waited past its deadline and was never sent.

    Attributes:
      rank: rank of the request.
      waited: time since the request arrived.
    """

    rank: types.RankName
    waited: datetime.timedelta

    @property
    def message(self) -> str:
        """Human-readable message."""
        waited = self.waited.total_seconds()
        return (
            f"not sent within its deadline (rank {self.rank!r}, waited "
            f"{waited:.3f} s); retry later"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NoPrimary(Failure):
    """The group has no primary that can accept a write."""

    group: types.GroupName

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"group {self.group!r} has no primary at the moment; "
            "retry in a second"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NoQuorum(Failure):
    """Too few databases of the group respond to make a write durable.

    Attributes:
      group: name of the group.
      reachable: number of databases that respond.
      needed: number of databases that form a majority.
    """

    group: types.GroupName
    reachable: int
    needed: int

    @property
    def message(self) -> str:
        """Human-readable message."""
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
        """Human-readable message."""
        return f"can't connect to {self.database!r}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRefused(ConnectFailed):
    """A database accepted a connection and closed it before the session.

    The database runs; most likely it has reached its connection limit.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost(Failure):
    """A statement was sent and no answer arrived."""

    database: types.DatabaseName
    reason: str

    @property
    def outcome(self) -> Outcome:
        """Unknown: the statement may have run."""
        return Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the answer from {self.database!r} was lost ({self.reason}); "
            "the statement may have run, look before repeating it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOverdue(AnswerLost):
    """The answer to a statement didn't arrive in time.

    The database is unresponsive; the connection itself didn't fail.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationUnconfirmed(Failure):
    """A write ran on the primary, but no majority confirmed it in time."""

    group: types.GroupName

    @property
    def outcome(self) -> Outcome:
        """Unknown: a failover may keep or lose the write."""
        return Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"group {self.group!r}: the write ran on the primary but no "
            "replica confirmed it; look before repeating it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamError(Failure):
    """An error that the database returned, passed on unchanged.

    Attributes:
      code: MySQL error number.
      sqlstate: SQLSTATE of five characters.
      text: error message of the database.
      refused: whether the database ran nothing because it is read-only.
      interrupted: whether the database aborted the statement, perhaps in the
        middle of a commit.
    """

    code: int
    sqlstate: str
    text: str
    refused: bool = False
    interrupted: bool = False

    @property
    def outcome(self) -> Outcome:
        """RAN in most cases, since the database answered."""
        if self.refused:
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN if self.interrupted else Outcome.RAN

    @property
    def message(self) -> str:
        """Error message of the database."""
        return self.text


@dataclasses.dataclass(frozen=True, slots=True)
class ControlRefused(Failure):
    """A database refused a fence, a promotion or a change of primary.

    Attributes:
      database: database that refused.
      term: term that the operation was for.
      reason: error message of the database.
    """

    database: types.DatabaseName
    term: types.Term
    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"{self.database!r} refused term {self.term}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable(Failure):
    """The platform's object API didn't answer.

    Attributes:
      reason: why no answer was received.
      sent: whether the request may have reached the store. If so, the outcome
        of a change is unknown until the object is read back.
    """

    reason: str
    sent: bool

    @property
    def outcome(self) -> Outcome:
        """Unknown if the request was sent."""
        return Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"the platform's object API is unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class SheetConflict(Failure):
    """Another operator changed the sheet first.

    Attributes:
      expected: version that the change was based on.
      found: version that is stored.
    """

    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the sheet is at version {self.found}, not {self.expected}; "
            "look at it with `hickorygate sheet show` and load again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """One error in a file.

    Attributes:
      line: line number from 1; None if the error concerns the whole file.
      where: key, as a dotted path.
      reason: what is wrong, which value was found and which would be valid.
    """

    line: int | None
    where: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FileInvalid(Failure):
    """A sheet or a settings file is invalid.

    Attributes:
      path: path of the file.
      problems: all errors that were found, at least one.
    """

    path: str
    problems: tuple[FileProblem, ...]

    @property
    def message(self) -> str:
        """Human-readable message with one line for each problem."""
        return "\n".join(self._format(problem) for problem in self.problems)

    def _format(self, problem: FileProblem) -> str:
        line = "" if problem.line is None else f"{problem.line}:"
        return f"{self.path}:{line} {problem.where}: {problem.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class ListenFailed(Failure):
    """The process can't listen at an address from its settings.

    Attributes:
      part: section or name of the setting that holds the address.
      reason: error message of the operating system.
    """

    part: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"can't listen for {self.part}: {self.reason}; choose a free "
            f"port and an address of this instance under {self.part!r}"
        )
