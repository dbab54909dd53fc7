"""The MySQL server side, over the mysql-mimic library.

Encoding only: every statement goes to a `Handler`, before the library would
parse it. The library's gaps are closed here: refused logins end the
connection, answers carry affected rows, insert id and transaction state, and
errors carry the SQLSTATE of the failure.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import logging
import ssl
from typing import Any

from mysql_mimic import auth
from mysql_mimic import connection as mimic_connection
from mysql_mimic import control as mimic_control
from mysql_mimic import packets
from mysql_mimic import results
from mysql_mimic import session as mimic_session
from mysql_mimic import stream as mimic_stream
from mysql_mimic import types as mimic_types
from mysql_mimic import variables

from hickorygate.callers import handler as handlers
from hickorygate.callers import replies
from hickorygate.callers import stream as streams
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["Server"]

_LOGIN_TIMEOUT = datetime.timedelta(seconds=10)
_ENDINGS = (
    OSError,
    TimeoutError,
    errors.FailureError,
    mimic_stream.ConnectionClosed,
)
_NO_ROWS = results.ResultSet([], [])

# The library logs each refused statement with a trace; ours are answered.
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


def _result_set(table: answers.Table) -> results.ResultSet:
    columns = [
        results.ResultColumn(
            name=column.name,
            type=mimic_types.ColumnType(column.type_code),
        )
        for column in table.columns
    ]
    return results.ResultSet(rows=table.rows, columns=columns)


class _Users(auth.IdentityProvider):
    """The users that may log in, by their passwords."""

    def __init__(self, passwords: Mapping[types.CallerName, str]) -> None:
        self._passwords = passwords

    async def get_user(self, username: str) -> auth.User:
        """Returns the user; an unknown one gets no usable password."""
        plugin = auth.NativePasswordAuthPlugin
        password = self._passwords.get(username)
        if password is None:
            return auth.User(username, auth.NoLoginAuthPlugin.name)
        hashed = plugin.create_auth_string(password) if password else ""
        return auth.User(username, hashed, auth_plugin=plugin.name)


class _Session(mimic_session.BaseSession):
    """Hands the library's calls to the handler."""

    def __init__(self, handler: handlers.Handler) -> None:
        self._handler = handler
        self.variables = variables.SessionVariables(variables.GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None

    @property
    def handler(self) -> handlers.Handler:
        """Who answers."""
        return self._handler

    async def use(self, database: str) -> None:
        """Answers COM_INIT_DB."""
        result = await self._handler.use(database)
        if result.is_error():
            raise errors.FailureError(result.error)
        self.database = database

    async def reset(self) -> None:
        """Answers COM_RESET_CONNECTION and COM_CHANGE_USER."""
        await self._handler.reset()

    async def close(self) -> None:
        """The caller is gone."""
        await self._handler.close()


class _Connection(mimic_connection.Connection):
    """One caller's connection."""

    def __init__(
        self,
        stream: streams.Stream,
        session: _Session,
        control: mimic_control.Control,
        identity_provider: auth.IdentityProvider,
        tls: ssl.SSLContext | None,
    ) -> None:
        super().__init__(
            stream=stream,
            session=session,
            control=control,
            identity_provider=identity_provider,
            ssl=tls,
        )
        self._handler = session.handler
        self._done: answers.Done | None = None

    async def connection_phase(self) -> None:
        """Logs the caller in; a refused one is disconnected."""
        admitted = await self._handler.connect(self.connection_id)
        if admitted.is_error():
            raise errors.FailureError(admitted.error)
        try:
            async with asyncio.timeout(_LOGIN_TIMEOUT.total_seconds()):
                await super().connection_phase()
            await self._enter()
        except BaseException:
            await self._handler.close()
            raise

    async def handle_change_user(self, data: bytes) -> None:
        """Logs in again; a refusal ends the connection."""
        self.session.username = None
        await super().handle_change_user(data)
        await self._enter()

    async def handle_reset_connection(self, data: bytes) -> None:
        """Forgets the session's state."""
        await self.session.reset()
        self.prepared_stmts.clear()
        await super().handle_reset_connection(data)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Resets one prepared statement and leaves the session alone."""
        request = packets.parse_com_stmt_reset(data)
        statement = self.get_stmt(request.stmt_id)
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())

    async def query(
        self, sql: str, query_attrs: Mapping[str, str]
    ) -> results.ResultSet:
        """Asks the handler; the answer's counts go into the OK packet."""
        result = await self._handler.query(sql, query_attrs)
        if result.is_error():
            raise errors.FailureError(result.error)
        answer = result.ok
        if isinstance(answer, answers.Table):
            return _result_set(answer)
        self._done = answer
        return _NO_ROWS

    def ok(self, **kwargs: Any) -> bytes:
        """Builds an OK packet with the last answer's counts."""
        done, self._done = self._done, None
        if done is not None:
            kwargs.setdefault("affected_rows", done.affected_rows)
            kwargs.setdefault("last_insert_id", done.last_insert_id)
            kwargs.setdefault("warnings", done.warnings)
        self._set_status_flags()
        return super().ok(**kwargs)

    def eof(self, **kwargs: Any) -> bytes:
        """Builds an EOF packet with the transaction state."""
        self._set_status_flags()
        return super().eof(**kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Builds an error packet; failures bring their own SQLSTATE."""
        failure = kwargs.get("msg")
        if not isinstance(failure, errors.FailureError):
            return super().error(**kwargs)
        reply = replies.error_reply(failure.failure)
        return b"".join(
            [
                mimic_types.uint_1(0xFF),
                mimic_types.uint_2(reply.code),
                b"#",
                reply.sqlstate.encode(),
                reply.text.encode(),
            ]
        )

    async def _enter(self) -> None:
        user = self.session.username
        if user is None:
            raise mimic_stream.ConnectionClosed
        result = await self._handler.login(user, self.client_connect_attrs)
        if result.is_ok() and self.session.database:
            result = await self._handler.use(self.session.database)
        if result.is_error():
            raise errors.FailureError(result.error)

    def _set_status_flags(self) -> None:
        flags = mimic_types.ServerStatus(0)
        if self._handler.autocommit:
            flags |= mimic_types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._handler.in_transaction:
            flags |= mimic_types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags


class Server:
    """Listens for MySQL clients."""

    __slots__ = (
        "_connections",
        "_control",
        "_handler_factory",
        "_limit",
        "_server",
        "_tls",
        "_users",
    )

    def __init__(
        self,
        handler_factory: Callable[[], handlers.Handler],
        passwords: Mapping[types.CallerName, str],
        statement_limit: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler_factory = handler_factory
        self._users = _Users(passwords)
        self._limit = statement_limit
        self._tls = tls
        self._control = mimic_control.LocalControl()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Callers that are connected."""
        return len(self._connections)

    def __repr__(self) -> str:
        return f"Server(connections={self.connections})"

    async def start(self, host: str, port: int) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(
            stream=streams.Stream(reader, writer, self._limit),
            session=_Session(self._handler_factory()),
            control=self._control,
            identity_provider=self._users,
            tls=self._tls,
        )
        connection.connection_id = await self._control.add(connection)
        try:
            await connection.start()
        except _ENDINGS:
            pass
        finally:
            await self._control.remove(connection.connection_id)
            writer.close()
