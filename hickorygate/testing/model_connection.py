"""A connection to a database of `model_group`, and its answers."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.core import errors
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.upstreams import database_request

if TYPE_CHECKING:
    from hickorygate.testing import model_group

__all__ = ["ModelConnection", "ModelRun", "answer"]

_STATUS_WORK = datetime.timedelta(milliseconds=0.5)
"""Time that a status request occupies a slot."""

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRun:
    """A caller's statement that a database ran, and the session it ran in.

    Attributes:
      text: text of the statement, or the arguments of a prepared one.
      values: session variables.
      shape: text of the prepared statement; None if it is none.
      transaction: number of the transaction; None outside of one.
      workspace: workspace that the connection was opened for.
    """

    text: str
    values: dict[str, str]
    shape: str | None
    transaction: int | None
    workspace: types.WorkspaceName = ""


class ModelConnection:
    """A connection to a model database.

    Attributes:
      proxy: name of the proxy that opened it.
      workspace: workspace that it was opened for; empty for none.
      silent: whether nothing arrives any more, although the database works.
      state: transaction state of the connection.
      values: session variables.
      names: texts of the prepared statements, by name.
    """

    def __init__(
        self,
        database: model_group.ModelDatabase,
        proxy: types.ProxyName,
        workspace: types.WorkspaceName = "",
    ) -> None:
        self.proxy = proxy
        self.workspace = workspace
        self.silent = False
        self.state = _IDLE
        self.values: dict[str, str] = {}
        self.names: dict[str, str] = {}
        self._database = database
        self._transaction = 0
        self._end = asyncio.get_running_loop().create_future()
        self._turn = asyncio.Lock()
        self._outstanding: set[
            asyncio.Task[list[database_request.ReplyResult]]
        ] = set()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._end.done()

    def __repr__(self) -> str:
        return f"ModelConnection({self._database.name!r})"

    def describe(self, text: str, shape: str | None = None) -> ModelRun:
        """Returns a statement that runs on the connection now."""
        transaction = None
        if self.state is _IN_TRANSACTION:
            transaction = self._transaction
        return ModelRun(
            text, dict(self.values), shape, transaction, self.workspace
        )

    def begin(self) -> None:
        """Begins a transaction with a number of its own."""
        self.state = _IN_TRANSACTION
        self._transaction = self._database.begun

    async def ask(
        self, *batch: database_request.Request
    ) -> list[database_request.ReplyResult]:
        """Sends requests and returns their replies, in the order of sending.

        The database goes on with requests whose connection is closed.
        """
        if self.closed:
            name = self._database.name
            failure = errors.ConnectFailed(name, "closed before")
            return [expression.Error(failure) for _ in batch]
        answering = asyncio.create_task(self._answer(batch))
        self._outstanding.add(answering)
        answering.add_done_callback(self._outstanding.discard)
        await asyncio.wait(
            {answering, self._end}, return_when=asyncio.FIRST_COMPLETED
        )
        if answering.done():
            return answering.result()
        lost = errors.AnswerLost(self._database.name, "closed here")
        return [expression.Error(lost) for _ in batch]

    async def _answer(
        self, batch: tuple[database_request.Request, ...]
    ) -> list[database_request.ReplyResult]:
        async with self._turn:
            return await self._database.answer(self, batch)

    def close(self) -> None:
        """Closes the connection; outstanding requests fail as lost."""
        if not self._end.done():
            self._end.set_result(None)
        self._database.forget(self)


def _done(
    database: model_group.ModelDatabase, connection: ModelConnection
) -> replies.Reply:
    answer = expression.Ok(replies.Answer(signature=b"signed"))
    return replies.Reply(answer, connection.state, database.position)


def _refused(
    database: model_group.ModelDatabase, connection: ModelConnection
) -> replies.Reply:
    rejection = replies.Rejection(
        replies.RejectionReason.READ_ONLY, database.name
    )
    return replies.Reply(
        expression.Error(rejection), connection.state, database.position
    )


@functools.singledispatch
async def answer(
    request: object,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    """Answers one request on a connection.

    Requests without a case of their own are answered with success.
    """
    return _done(database, connection)


@answer.register(database_request.Begin)
async def _(
    request: database_request.Begin,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    database.begun += 1
    if not request.read_only and not database.leads:
        return _refused(database, connection)
    connection.begin()
    return _done(database, connection)


@answer.register(database_request.Rollback)
async def _(
    request: database_request.Rollback,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    connection.state = _IDLE
    return _done(database, connection)


@answer.register(database_request.RunStatement)
async def _(
    request: database_request.RunStatement,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    rejection = database.rejection()
    if rejection is not None:
        return replies.Reply(
            expression.Error(rejection), connection.state, database.position
        )
    await database.run()
    if request.text.startswith("WRITE"):
        if not database.leads:
            return _refused(database, connection)
        await database.commit()
    database.runs.append(connection.describe(request.text))
    if request.text == "COMMIT":
        connection.state = _IDLE
    return _done(database, connection)


@answer.register(database_request.Execute)
async def _(
    request: database_request.Execute,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    await database.run()
    shape = connection.names.get(request.name)
    database.runs.append(connection.describe(request.arguments, shape))
    return _done(database, connection)


@answer.register(database_request.SetValue)
async def _(
    request: database_request.SetValue,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    connection.values[request.name] = request.value
    return _done(database, connection)


@answer.register(database_request.Prepare)
async def _(
    request: database_request.Prepare,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    connection.names[request.name] = request.prepared.text
    return _done(database, connection)


@answer.register(database_request.Reset)
async def _(
    request: database_request.Reset,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    connection.values.clear()
    connection.names.clear()
    return _done(database, connection)


@answer.register(database_request.ReadStatus)
async def _(
    request: database_request.ReadStatus,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    await database.occupy_slot(_STATUS_WORK)
    return _status(database, connection)


@answer.register(database_request.Pause)
async def _(
    request: database_request.Pause,
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    database.group.pause(database.name, request.term)
    return _status(database, connection)


def _status(
    database: model_group.ModelDatabase,
    connection: ModelConnection,
) -> replies.Reply:
    database.status_requests += 1
    end = database.position
    paused_for = database.group.paused_for(database.name)
    status = replies.ReplicationStatus(
        database.leads, end.term, end, paused_for
    )
    return dataclasses.replace(_done(database, connection), group=status)
