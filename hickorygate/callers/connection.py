"""Server side of a MySQL connection: login, commands and shutdown.

This module only handles the protocol; a `Handler` answers the statements. The
mysql_mimic library builds the greeting and other small packets and checks
passwords. The packets of callers are decoded here instead of in the library,
because a truncated packet must only end its own connection.
"""

from __future__ import annotations

import asyncio
import datetime
import functools
import itertools
import ssl
from typing import Any

import logbook
from mysql_mimic import auth
from mysql_mimic import charset
from mysql_mimic import connection as mimic_connection
from mysql_mimic import control as mimic_control
from mysql_mimic import packets as mimic_packets
from mysql_mimic import session as mimic_session
from mysql_mimic import stream as mimic_stream
from mysql_mimic import types as mimic_types
from mysql_mimic import variables

from hickorygate.callers import dispatch
from hickorygate.callers import error_replies
from hickorygate.callers import handler as handlers
from hickorygate.callers import local_answers
from hickorygate.callers import login as logins
from hickorygate.callers import packet
from hickorygate.callers import prepared_statement
from hickorygate.callers import protocol_command
from hickorygate.callers import protocol_errors
from hickorygate.callers import result_encoding
from hickorygate.callers import results
from hickorygate.callers import stream as streams
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["Connection", "ServerContext"]

_LOGIN_TIMEOUT = datetime.timedelta(seconds=10)
"""Time for a caller to log in after it connected."""

_DISCONNECT_TIMEOUT = datetime.timedelta(seconds=1)
"""Time for a caller to disconnect after it got the shutdown error."""

_MAX_PREPARED_STATEMENTS = 1_024
"""Maximum number of open prepared statements per connection."""

_MAX_WARNINGS = 0xFFFF
"""Maximum value of the two-byte warning count in a packet."""

_FATAL_FAILURES = (
    errors.AccessDenied,
    protocol_errors.MalformedPacket,
    protocol_errors.InternalError,
)
"""Failures that end the connection after the error packet."""

_Capability = mimic_types.Capabilities
_Status = mimic_types.ServerStatus

_log = logbook.Logger(__name__)


class ServerContext:
    """State that all connections of a server share.

    Attributes:
      users: users that may log in.
      statement_limit: maximum size of a statement in bytes.
      tls: TLS context; None if TLS is disabled.
      tls_required: whether logins without TLS are refused.
      control: registry that assigns connection ids.
    """

    __slots__ = ("control", "statement_limit", "tls", "tls_required", "users")

    def __init__(self, users: logins.Users, limit: int) -> None:
        self.users = users
        self.statement_limit = limit
        self.tls: ssl.SSLContext | None = None
        self.tls_required = False
        self.control = mimic_control.LocalControl()


class _Session(mimic_session.BaseSession):
    """Session object that mysql_mimic requires.

    The library only closes it; the handler holds the session state.
    """

    variables = variables.SessionVariables(variables.GlobalVariables())

    def __init__(self, handler: handlers.Handler) -> None:
        self._handler = handler
        self.username: str | None = None
        self.database: str | None = None

    async def close(self) -> None:
        """Closes the handler when the connection ends."""
        await self._handler.close()


class Connection(mimic_connection.Connection):
    """Server side of one caller's connection.

    Args:
      stream: packet stream of the connection.
      handler: answers the statements of the connection.
      context: state that all connections of the server share.
      disconnected: set when the caller has closed the connection.
    """

    def __init__(
        self,
        stream: streams.PacketStream,
        handler: handlers.Handler,
        context: ServerContext,
        disconnected: asyncio.Event,
    ) -> None:
        super().__init__(
            stream=stream,
            session=_Session(handler),
            control=context.control,
            identity_provider=context.users,
            ssl=context.tls,
        )
        self._context = context
        self._handler = handler
        self._disconnected = disconnected
        self._statement_ids = itertools.count(1)
        self._prepared: dict[
            int, prepared_statement.EmulatedPreparedStatement
        ] = {}
        self._serving_task: asyncio.Task[None] | None = None
        self._busy = True
        self._leaving = False

    @property
    def handler(self) -> handlers.Handler:
        """Handler that answers the statements."""
        return self._handler

    @property
    def idle(self) -> bool:
        """Whether no command runs and no transaction is open."""
        return not self._busy and not self._handler.in_transaction

    def __repr__(self) -> str:
        return f"Connection({self.connection_id}, idle={self.idle})"

    async def start(self) -> None:
        """Serves the connection until it ends."""
        self._serving_task = asyncio.current_task()
        try:
            await self._start()
        finally:
            self._serving_task = None

    def leave(self) -> None:
        """Requests the end of the connection after the work in progress."""
        self._leaving = True

    def on_disconnect(self) -> None:
        """Cancels the running command or login, as nobody reads its answer."""
        if self._busy and self._serving_task is not None:
            self._serving_task.cancel()

    async def connection_phase(self) -> None:
        """Sends the greeting and authenticates the caller."""
        connected = await self._handler.connect(self.connection_id)
        if connected.is_error():
            raise errors.FailureError(connected.error)
        try:
            async with asyncio.timeout(_LOGIN_TIMEOUT.total_seconds()):
                await self._log_in()
        except BaseException:
            await self._handler.close()
            raise

    async def command_phase(self) -> None:
        """Runs commands until the caller disconnects or the server drains."""
        while True:
            data = await self._read_command()
            if self._leaving and not self._handler.in_transaction:
                await self._send_shutdown_error(
                    answers_request=data is not None
                )
                return
            if data is None or not await self._run_command(data):
                return

    async def change_user(self, body: bytes) -> None:
        """Resets the session and authenticates another user.

        A wrong password ends the connection.
        """
        await self._handler.reset()
        self._prepared.clear()
        login = logins.read_change_user(body, self.capabilities)
        await self._authenticate(login)

    async def reset(self) -> None:
        """Resets the session of the same user and drops prepared statements."""
        await self._handler.reset()
        self._prepared.clear()

    async def run_query(self, body: bytes) -> None:
        """Runs a COM_QUERY and sends the rows in the text protocol."""
        reader = packet.PacketReader(body)
        attributes = {}
        if _Capability.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            attributes = prepared_statement.read_attributes(reader)
        answer = await self._run_statement(
            _decode_sql(reader.read_remaining()), attributes
        )
        await self._send_answer(answer, result_encoding.encode_text_row)

    async def prepare(self, sql: str) -> None:
        """Stores a prepared statement and sends its id and parameter count."""
        if len(self._prepared) >= _MAX_PREPARED_STATEMENTS:
            failure = protocol_errors.TooManyPrepared(_MAX_PREPARED_STATEMENTS)
            raise errors.FailureError(failure)
        prepared = prepared_statement.parse_placeholders(
            next(self._statement_ids), sql
        )
        self._prepared[prepared.number] = prepared
        parameter_column = result_encoding.encode_column(
            answers.Column("?", 253, 45)
        )
        header = b"".join(
            (
                b"\x00",
                packet.encode_uint(prepared.number, 4),
                # The number of columns isn't known until execution.
                packet.encode_uint(0, 2),
                packet.encode_uint(prepared.parameter_count, 2),
                b"\x00\x00\x00",
            )
        )
        self.stream.write_many(
            [header, *[parameter_column] * prepared.parameter_count]
        )
        if prepared.parameter_count and not self.deprecate_eof():
            self.stream.write_many([self.eof()])
        await self.stream.drain()

    async def execute(self, number: int, body: bytes) -> None:
        """Runs a prepared statement and sends all rows, without a cursor."""
        prepared = self.find_prepared(number)
        has_attributes = (
            _Capability.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        )
        try:
            execution = prepared_statement.read_execution(
                packet.PacketReader(body),
                prepared,
                has_attributes,
                self._context.statement_limit,
            )
        finally:
            prepared.reset_long_data()
        answer = await self._run_statement(execution.sql, execution.attributes)
        encode = result_encoding.encode_text_row
        if isinstance(answer, answers.ResultSet):
            encoders = result_encoding.binary_encoders(answer.columns)
            encode = functools.partial(
                result_encoding.encode_binary_row, encoders
            )
        await self._send_answer(answer, encode)

    def find_prepared(
        self, number: int
    ) -> prepared_statement.EmulatedPreparedStatement:
        """Returns the prepared statement with this id.

        Raises:
          errors.FailureError: with an `UnknownPreparedStatement`.
        """
        found = self._prepared.get(number)
        if found is None:
            raise errors.FailureError(
                protocol_errors.UnknownPreparedStatement(number)
            )
        return found

    def append_long_data(self, command: protocol_command.SendLongData) -> None:
        """Appends data to a parameter of a prepared statement.

        The command has no answer, so an unknown statement id is ignored.
        """
        prepared = self._prepared.get(command.number)
        if prepared is not None:
            prepared.append_long_data(
                command.index, command.data, self._context.statement_limit
            )

    def close_statement(self, number: int) -> None:
        """Closes a prepared statement; the command has no answer."""
        self._prepared.pop(number, None)

    async def select_schema(self, schema: types.SchemaName) -> None:
        """Selects the default schema of the session."""
        result = await self._handler.select_schema(schema)
        if result.is_error():
            raise errors.FailureError(result.error)

    async def acknowledge(self) -> None:
        """Sends an OK packet."""
        await self.stream.write(self.ok())

    def ok(self, **kwargs: Any) -> bytes:
        """Builds an OK packet with the current status flags."""
        self._set_status_flags()
        return super().ok(**kwargs)

    def eof(self, **kwargs: Any) -> bytes:
        """Builds an EOF packet with the current status flags."""
        self._set_status_flags()
        return super().eof(**kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Builds an error packet with the code and SQLSTATE of the failure.

        mysql_mimic also calls this method when the login raises.
        """
        reply = error_replies.error_reply(_failure_of(kwargs.get("msg")))
        return b"".join(
            (
                b"\xff",
                packet.encode_uint(reply.code, 2),
                b"#",
                reply.sqlstate.encode(),
                reply.text.encode(),
            )
        )

    async def _log_in(self) -> None:
        plugin = self.identity_provider.get_default_plugin()
        nonce, _ = await plugin.start()
        self.handshake_auth_data = nonce
        await self.stream.write(
            mimic_packets.make_handshake_v10(
                capabilities=self.server_capabilities,
                server_charset=charset.CharacterSet.utf8mb4,
                server_version=local_answers.SERVER_VERSION,
                connection_id=self.connection_id,
                auth_data=nonce,
                status_flags=_Status.SERVER_STATUS_AUTOCOMMIT,
                auth_plugin_name=plugin.name,
            )
        )
        data = await self.stream.read()
        if self.ssl is not None and logins.is_tls_request(data):
            await self.stream.start_tls(self.ssl)
            data = await self.stream.read()
        elif self._context.tls_required:
            raise errors.FailureError(protocol_errors.TlsRequired())
        login = logins.read_login(data, self.server_capabilities)
        self.capabilities = login.capabilities
        await self._authenticate(login)

    async def _authenticate(self, login: logins.LoginRequest) -> None:
        plugin = self.identity_provider.get_default_plugin()
        nonce = self.handshake_auth_data
        assert nonce is not None, "the nonce is set when the greeting is sent"
        proof = login.auth_response
        if login.plugin and login.plugin != plugin.name:
            await self.stream.write(
                mimic_packets.make_auth_switch_request(
                    server_charset=charset.CharacterSet.utf8mb4,
                    plugin_name=plugin.name,
                    plugin_provided_data=nonce,
                )
            )
            proof = await self.stream.read()
        user = await self.identity_provider.get_user(login.user)
        if not _password_matches(plugin, user, proof, nonce):
            raise errors.FailureError(errors.AccessDenied(login.user))
        await self._start_session(login)
        await self.acknowledge()

    async def _start_session(self, login: logins.LoginRequest) -> None:
        result = await self._handler.login(login.user, login.attributes)
        if result.is_error():
            raise errors.FailureError(result.error)
        if login.schema is not None:
            await self.select_schema(login.schema)

    async def _read_command(self) -> bytes | None:
        """Returns the next command packet.

        Packets that are refused on reading, such as oversized ones, are
        answered with an error and skipped.

        Returns:
          The packet; None if the caller has disconnected or the connection
          drains.
        """
        while not self._leaving or self._handler.in_transaction:
            self.stream.reset_seq()
            self._busy = False
            try:
                return await self.stream.read()
            except mimic_stream.ConnectionClosed:
                return None
            except errors.FailureError as error:
                failure = error.failure
            finally:
                self._busy = True
            await self._send_error(failure)
        return None

    async def _run_command(self, data: bytes) -> bool:
        """Runs one command and sends its answer or the error.

        Returns:
          Whether the connection stays open.
        """
        try:
            return await dispatch.run(protocol_command.decode(data), self)
        except errors.FailureError as error:
            failure = error.failure
        except (OSError, mimic_stream.ConnectionClosed):
            raise
        except Exception as error:  # noqa: BLE001 - sent as an error packet
            _log.exception(
                "unexpected error while running a command: connection {}",
                self.connection_id,
            )
            failure = protocol_errors.InternalError(type(error).__name__)
        await self._send_error(failure)
        return not isinstance(failure, _FATAL_FAILURES)

    async def _send_error(self, failure: errors.Failure) -> None:
        error = errors.FailureError(failure)
        await self.stream.write(self.error(msg=error))

    async def _send_shutdown_error(self, answers_request: bool) -> None:
        """Sends a shutdown error and waits for the caller to disconnect.

        An idle caller reads the error as the answer to its next command.

        Args:
          answers_request: whether the error answers a command that was read.
        """
        if self._disconnected.is_set():
            return
        if not answers_request:
            self.stream.skip_request()
        await self._send_error(errors.Draining())
        await self.stream.finish_sending()
        try:
            async with asyncio.timeout(_DISCONNECT_TIMEOUT.total_seconds()):
                await self._disconnected.wait()
        except TimeoutError:
            return

    async def _run_statement(
        self, sql: str, attributes: dict[str, str]
    ) -> answers.Answer:
        result = await self._handler.query(sql, attributes)
        if result.is_error():
            raise errors.FailureError(result.error)
        return result.ok

    async def _send_answer(
        self, answer: answers.Answer, encode: results.RowEncoder
    ) -> None:
        warnings = min(answer.warnings, _MAX_WARNINGS)
        if isinstance(answer, answers.ResultSet):
            eof_packet = None if self.deprecate_eof() else self.eof()
            await results.send_result_set(
                self.stream, answer, encode, eof_packet
            )
            await self.stream.write(self.ok_or_eof(warnings=warnings))
            return
        assert isinstance(answer, answers.OkAnswer), answer
        await self.stream.write(
            self.ok(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
                warnings=warnings,
            )
        )

    def _set_status_flags(self) -> None:
        flags = _Status(0)
        if self._handler.autocommit:
            flags |= _Status.SERVER_STATUS_AUTOCOMMIT
        if self._handler.in_transaction:
            flags |= _Status.SERVER_STATUS_IN_TRANS
        self.status_flags = flags


def _password_matches(
    plugin: auth.AuthPlugin, user: auth.User, proof: bytes, nonce: bytes
) -> bool:
    assert isinstance(plugin, auth.NativePasswordAuthPlugin), (
        f"unsupported authentication plugin {plugin.name!r}"
    )
    return plugin.password_matches(user, proof, nonce.rstrip(b"\x00"))


@functools.singledispatch
def _failure_of(error: object) -> errors.Failure:
    """Returns the failure that an exception of a login stands for."""
    return protocol_errors.InternalError(type(error).__name__)


@_failure_of.register
def _(error: errors.FailureError) -> errors.Failure:
    return error.failure


@_failure_of.register
def _(error: TimeoutError) -> errors.Failure:
    return protocol_errors.MalformedPacket("no login in time")


def _decode_sql(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        failure = errors.UnsupportedCharset("not UTF-8")
        raise errors.FailureError(failure) from error
