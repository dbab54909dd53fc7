"""One caller's connection: its login, its commands, its end.

Encoding only: every statement goes to a `Handler`. The library greets,
checks passwords and builds the small packets; what callers send is decoded
here, since a packet cut short must end its own connection and nothing else.
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

from hickorygate.callers import command as commands
from hickorygate.callers import dispatch
from hickorygate.callers import encoding
from hickorygate.callers import handler as handlers
from hickorygate.callers import local
from hickorygate.callers import login as logins
from hickorygate.callers import packet as packets
from hickorygate.callers import prepared as prepareds
from hickorygate.callers import protocol_errors
from hickorygate.callers import replies
from hickorygate.callers import results
from hickorygate.callers import stream as streams
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["Connection", "Terms"]

_LOGIN_TIMEOUT = datetime.timedelta(seconds=10)
_FAREWELL_TIME = datetime.timedelta(seconds=1)
"""How long a caller that was sent away may take to hang up."""

_PREPARED_LIMIT = 1_024
"""Prepared statements of one connection."""

_MOST_WARNINGS = 0xFFFF
_FATAL = (
    errors.AccessDenied,
    protocol_errors.MalformedPacket,
    protocol_errors.Unexpected,
)
_Capability = mimic_types.Capabilities
_Status = mimic_types.ServerStatus

_log = logbook.Logger(__name__)


class Terms:
    """What all connections of a server share."""

    __slots__ = ("control", "limit", "tls", "tls_required", "users")

    def __init__(self, users: logins.Users, limit: int) -> None:
        self.users = users
        self.limit = limit
        self.tls: ssl.SSLContext | None = None
        self.tls_required = False
        self.control = mimic_control.LocalControl()


class _Session(mimic_session.BaseSession):
    """What the library asks of a session; the handler does the rest."""

    variables = variables.SessionVariables(variables.GlobalVariables())

    def __init__(self, handler: handlers.Handler) -> None:
        self._handler = handler
        self.username: str | None = None
        self.database: str | None = None

    async def close(self) -> None:
        """The caller is gone."""
        await self._handler.close()


class Connection(mimic_connection.Connection):
    """One caller's connection."""

    def __init__(
        self,
        stream: streams.Stream,
        handler: handlers.Handler,
        terms: Terms,
        gone: asyncio.Event,
    ) -> None:
        super().__init__(
            stream=stream,
            session=_Session(handler),
            control=terms.control,
            identity_provider=terms.users,
            ssl=terms.tls,
        )
        self._terms = terms
        self._handler = handler
        self._gone = gone
        self._numbers = itertools.count(1)
        self._prepared: dict[int, prepareds.Prepared] = {}
        self._running: asyncio.Task[None] | None = None
        self._busy = True
        self._leaving = False

    @property
    def handler(self) -> handlers.Handler:
        """Who answers."""
        return self._handler

    @property
    def idle(self) -> bool:
        """Whether it neither runs a statement nor holds a transaction."""
        return not self._busy and not self._handler.in_transaction

    def __repr__(self) -> str:
        return f"Connection({self.connection_id}, idle={self.idle})"

    async def start(self) -> None:
        """Serves the caller until it leaves."""
        self._running = asyncio.current_task()
        try:
            await self._start()
        finally:
            self._running = None

    def leave(self) -> None:
        """Sends the caller away once it has no work in progress."""
        self._leaving = True

    def caller_left(self) -> None:
        """Gives up the statement that runs; nobody waits for its answer."""
        if self._busy and self._running is not None:
            self._running.cancel()

    async def connection_phase(self) -> None:
        """Greets the caller and logs it in."""
        admitted = await self._handler.connect(self.connection_id)
        if admitted.is_error():
            raise errors.FailureError(admitted.error)
        try:
            async with asyncio.timeout(_LOGIN_TIMEOUT.total_seconds()):
                await self._log_in()
        except BaseException:
            await self._handler.close()
            raise

    async def command_phase(self) -> None:
        """Answers commands until the caller leaves or is sent away."""
        while True:
            data = await self._next_packet()
            if self._leaving and not self._handler.in_transaction:
                await self._send_away(answers_request=data is not None)
                return
            if data is None or not await self._answer(data):
                return

    async def change_user(self, body: bytes) -> None:
        """Logs in again; a refusal ends the connection."""
        await self._handler.reset()
        self._prepared.clear()
        login = logins.read_change(body, self.capabilities)
        await self._authenticate(login)

    async def reset(self) -> None:
        """Forgets everything but who connected."""
        await self._handler.reset()
        self._prepared.clear()

    async def run_query(self, body: bytes) -> None:
        """Runs a statement in the text protocol."""
        reader = packets.Reader(body)
        attributes = {}
        if _Capability.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            attributes = prepareds.read_attributes(reader)
        answer = await self._ask(_statement(reader.rest()), attributes)
        await self._send(answer, encoding.text_row)

    async def prepare(self, sql: str) -> None:
        """Takes in a statement with places for parameters."""
        if len(self._prepared) >= _PREPARED_LIMIT:
            failure = protocol_errors.TooManyPrepared(_PREPARED_LIMIT)
            raise errors.FailureError(failure)
        prepared = prepareds.prepare(next(self._numbers), sql)
        self._prepared[prepared.number] = prepared
        place = encoding.column(answers.Column("?", 253, 45))
        header = b"".join(
            (
                b"\x00",
                packets.uint(prepared.number, 4),
                packets.uint(0, 2),  # Columns are told at execution.
                packets.uint(prepared.parameters, 2),
                b"\x00\x00\x00",
            )
        )
        self.stream.write_many([header, *[place] * prepared.parameters])
        if prepared.parameters and not self.deprecate_eof():
            self.stream.write_many([self.eof()])
        await self.stream.drain()

    async def execute(self, number: int, body: bytes) -> None:
        """Runs a prepared statement; the rows follow without a cursor."""
        prepared = self.prepared(number)
        named = _Capability.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        try:
            execution = prepareds.execute(
                packets.Reader(body), prepared, named, self._terms.limit
            )
        finally:
            prepared.forget()
        answer = await self._ask(execution.sql, execution.attributes)
        encode = encoding.text_row
        if isinstance(answer, answers.Table):
            encoders = encoding.binary_encoders(answer.columns)
            encode = functools.partial(encoding.binary_row, encoders)
        await self._send(answer, encode)

    def prepared(self, number: int) -> prepareds.Prepared:
        """Returns a prepared statement."""
        found = self._prepared.get(number)
        if found is None:
            raise errors.FailureError(protocol_errors.UnknownPrepared(number))
        return found

    def append(self, command: commands.SendLongData) -> None:
        """Takes in a part of a parameter; there is no answer to it."""
        prepared = self._prepared.get(command.number)
        if prepared is not None:
            prepared.append(command.index, command.data, self._terms.limit)

    def forget(self, number: int) -> None:
        """Drops a prepared statement; there is no answer to it."""
        self._prepared.pop(number, None)

    async def select_schema(self, schema: types.SchemaName) -> None:
        """Selects a schema."""
        result = await self._handler.use(schema)
        if result.is_error():
            raise errors.FailureError(result.error)

    async def acknowledge(self) -> None:
        """Sends an OK packet."""
        await self.stream.write(self.ok())

    def ok(self, **kwargs: Any) -> bytes:
        """Builds an OK packet with the transaction state."""
        self._set_status_flags()
        return super().ok(**kwargs)

    def eof(self, **kwargs: Any) -> bytes:
        """Builds an EOF packet with the transaction state."""
        self._set_status_flags()
        return super().eof(**kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Builds an error packet; failures bring their own SQLSTATE."""
        error = kwargs.get("msg")
        if isinstance(error, errors.FailureError):
            failure = error.failure
        else:
            failure = protocol_errors.MalformedPacket("no login in time")
        reply = replies.error_reply(failure)
        return b"".join(
            (
                b"\xff",
                packets.uint(reply.code, 2),
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
                server_version=local.SERVER_VERSION,
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
        elif self._terms.tls_required:
            raise errors.FailureError(protocol_errors.TlsRequired())
        login = logins.read_login(data, self.server_capabilities)
        self.capabilities = login.capabilities
        await self._authenticate(login)

    async def _authenticate(self, login: logins.Login) -> None:
        plugin = self.identity_provider.get_default_plugin()
        nonce = self.handshake_auth_data
        assert nonce is not None, "the greeting made one"
        proof = login.proof
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
        if not _matches(plugin, user, proof, nonce):
            raise errors.FailureError(errors.AccessDenied(login.user))
        await self._enter(login)
        await self.acknowledge()

    async def _enter(self, login: logins.Login) -> None:
        result = await self._handler.login(login.user, login.attributes)
        if result.is_error():
            raise errors.FailureError(result.error)
        if login.schema is not None:
            await self.select_schema(login.schema)

    async def _next_packet(self) -> bytes | None:
        """Returns the next command; None when the caller has left."""
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
            await self._refuse(failure)
        return None

    async def _answer(self, data: bytes) -> bool:
        """Answers one command; False when the connection ends."""
        try:
            return await dispatch.run(commands.decode(data), self)
        except errors.FailureError as error:
            failure = error.failure
        except (OSError, mimic_stream.ConnectionClosed):
            raise
        except Exception as error:  # noqa: BLE001 - it must not end the loop
            _log.exception("a command failed unexpectedly")
            failure = protocol_errors.Unexpected(type(error).__name__)
        await self._refuse(failure)
        return not isinstance(failure, _FATAL)

    async def _refuse(self, failure: errors.Failure) -> None:
        error = errors.FailureError(failure)
        await self.stream.write(self.error(msg=error))

    async def _send_away(self, answers_request: bool) -> None:
        """Says that the proxy shuts down, and lets the caller hang up.

        An idle caller finds the refusal as the answer to what it sends next.
        """
        if self._gone.is_set():
            return
        if not answers_request:
            self.stream.skip_request()
        await self._refuse(errors.Draining())
        await self.stream.end()
        try:
            async with asyncio.timeout(_FAREWELL_TIME.total_seconds()):
                await self._gone.wait()
        except TimeoutError:
            return

    async def _ask(
        self, sql: str, attributes: dict[str, str]
    ) -> answers.Answer:
        result = await self._handler.query(sql, attributes)
        if result.is_error():
            raise errors.FailureError(result.error)
        return result.ok

    async def _send(
        self, answer: answers.Answer, encode: results.RowEncoder
    ) -> None:
        warnings = min(answer.warnings, _MOST_WARNINGS)
        if isinstance(answer, answers.Table):
            middle = None if self.deprecate_eof() else self.eof()
            await results.send(self.stream, answer, encode, middle)
            await self.stream.write(self.ok_or_eof(warnings=warnings))
            return
        assert isinstance(answer, answers.Done), answer
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


def _matches(
    plugin: auth.AuthPlugin, user: auth.User, proof: bytes, nonce: bytes
) -> bool:
    assert isinstance(plugin, auth.NativePasswordAuthPlugin)
    return plugin.password_matches(user, proof, nonce.rstrip(b"\x00"))


def _statement(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        failure = errors.UnsupportedCharset("not UTF-8")
        raise errors.FailureError(failure) from error
