"""A connection to a stand-in database that speaks the line protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import re
from typing import TYPE_CHECKING
from typing import cast

from hickorygate.core import position as positions
from hickorygate.testing import repeated_answers

if TYPE_CHECKING:
    from hickorygate.testing import line_group

__all__ = ["LineSession"]

_FLOOR = re.compile(r"WAITPOS (\d+)\.(\d+) (.*)\Z", re.DOTALL)
_LINE_END = b"\r\n"
_DECODE_ERRORS = "surrogateescape"
"""Decoding error handler; bytes that are not UTF-8 pass through unchanged."""


class LineSession(asyncio.Protocol):
    """A server-side session that answers requests one after the other.

    Attributes:
      workspace: workspace that the connection was opened for.
      session_variables: session variables by name.
      names: kind and text of each prepared statement, by name.
    """

    def __init__(
        self,
        database: line_group.LineDatabase,
        on_end: Callable[[LineSession], None],
    ) -> None:
        self._database = database
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._queue: asyncio.Queue[str] = asyncio.Queue()
        self._buffer = b""
        self._answer = b""
        self._task: asyncio.Task[None] | None = None
        self._state = "I"
        self._read_only = False
        self._writes: list[tuple[str, str]] = []
        self.workspace = ""
        self.session_variables: dict[str, str] = {}
        self.names: dict[str, tuple[str, str]] = {}

    def __repr__(self) -> str:
        return f"LineSession({self._database.name!r}, {self._state})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve the connection; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the session; called by the event loop."""
        if self._task is not None:
            self._task.cancel()
        self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Queues the complete lines; called by the event loop."""
        *whole, self._buffer = (self._buffer + data).split(_LINE_END)
        for line in whole:
            self._queue.put_nowait(line.decode(errors=_DECODE_ERRORS))

    def abort(self) -> None:
        """Closes the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def open_transaction(self) -> None:
        """Opens a transaction that no request asked for."""
        self._state = "T"

    async def _serve(self) -> None:
        while True:
            line = await self._queue.get()
            while self._database.faults.unresponsive:
                await asyncio.sleep(0.001)
            self._answer = b""
            command, _, arguments = line.partition(" ")
            text = ""
            if command == "CONNECT":
                self._connect(arguments)
            elif command == "QUERY":
                request, _, text = arguments.partition(" ")
                floor, text = _split_floor(text)
                await self._query(request, floor, text)
            self._repeat_answer(text)

    def _repeat_answer(self, text: str) -> None:
        """Sends the last answer once more if the faults ask for it."""
        repeated = self._database.faults.repeated_answers
        if repeated is None or not self._answer:
            return
        kind = repeated_answers.kind_of(text, self._answer)
        delay = repeated.draw_delay(kind)
        if delay is not None:
            asyncio.get_running_loop().call_later(
                delay.total_seconds(), self._write_bytes, self._answer
            )

    def _connect(self, arguments: str) -> None:
        service, self.workspace, identity = arguments.split(" ")
        is_own_service = service == self._database.group.service
        if is_own_service and identity == self._database.name:
            self._send_ready()
            return
        self._send(f"ERROR MISROUTED {self._database.name}")
        if self._transport is not None:
            self._transport.close()

    async def _query(
        self, request: str, floor: positions.Position | None, text: str
    ) -> None:
        if floor is not None and not self._database.log.is_visible(floor):
            self._send_error("LAGGING")
            return
        if request != "-" and self._injects_refusal():
            return
        await self._run(request, text)

    def _injects_refusal(self) -> bool:
        faults = self._database.faults
        if not faults.refusals:
            return False
        faults.refusals -= 1
        self._send_error(faults.refuse)
        return True

    async def _run(self, request: str, text: str) -> None:
        command, _, arguments = text.partition(" ")
        match command:
            case "BEGIN":
                self._begin_transaction(arguments == "READ")
            case "ROLLBACK":
                self._end_transaction()
                self._send_complete()
            case "COMMIT":
                await self._commit(request)
            case "READ" | "WRITE" | "EXECUTE":
                await self._run_statement(request, text)
            case "STATUS":
                self._send_status()
            case "PAUSE":
                self._database.log.pause(int(arguments))
                self._send_status()
            case "RESUME":
                self._database.log.paused_for = 0
                self._send_status()
            case "DEMOTE":
                self._database.log.demote(int(arguments))
                self._send_status()
            case _:
                self._run_session_command(command, arguments)

    def _run_session_command(self, command: str, arguments: str) -> None:
        name, _, body = arguments.partition(" ")
        match command:
            case "SET":
                self.session_variables[name] = body
            case "PREPARE":
                kind, _, prepared = body.partition(" ")
                self.names[name] = (kind, prepared)
            case "RESET":
                self.session_variables.clear()
                self.names.clear()
            case _:
                self._send_error("MALFORMED")
                return
        self._send_complete()

    def _begin_transaction(self, read_only: bool) -> None:
        if not read_only and not self._database.log.leads:
            self._send_error("READONLY")
            return
        self._state, self._read_only = "T", read_only
        self._send_complete()

    def _end_transaction(self) -> None:
        self._state, self._read_only, self._writes = "I", False, []

    async def _run_statement(self, request: str, text: str) -> None:
        words = text.split(" ")
        writes = words[0] == "WRITE"
        if words[0] == "EXECUTE":
            if words[1] not in self.names:
                self._send_error("UNKNSTMT")
                return
            prepared = self.names[words[1]]
            self._database.prepared_of_runs[request] = prepared
            writes = prepared[0] == "WRITE"
            del words[0]
        plain = self._state == "T" and not self._read_only
        if (writes or plain) and not self._database.log.leads:
            self._send_error("READONLY")
            return
        if not await self._database.run_in_slot():
            self._send_error("BUSY")
            return
        self._record_run(request, text)
        if writes:
            await self._write(request, (words[1], " ".join(words[2:])))
        else:
            row = self._value_of(words[1])
            self._database.rows_of_runs[request] = row
            self._send(f"ROW {row}")
            self._send_complete(request)

    def _record_run(self, request: str, text: str) -> None:
        self._database.record_run(request, text, self.session_variables)
        self._database.workspaces_of_runs[request] = self.workspace

    async def _write(self, request: str, write: tuple[str, str]) -> None:
        if self._state == "T":
            self._writes.append(write)
            self._send_complete(request)
            return
        await self._commit_writes(request, (write,))

    async def _commit(self, request: str) -> None:
        writes = tuple(self._writes)
        if writes and not self._database.log.leads:
            self._send_error("READONLY")
            return
        self._record_run(request, "COMMIT")
        self._end_transaction()
        if writes:
            await self._commit_writes(request, writes)
        else:
            self._send_complete(request)

    async def _commit_writes(
        self, request: str, writes: tuple[tuple[str, str], ...]
    ) -> None:
        group = self._database.group
        position = await group.commit(self._database, request, writes)
        if position is not None:
            self._send_complete(request)
        else:
            self.abort()

    def _value_of(self, item: str) -> str:
        log = self._database.log
        for commit in reversed(log.commits[: log.applied]):
            for name, data in commit.writes:
                if name == item:
                    return data
        return "-"

    def _send_status(self) -> None:
        log = self._database.log
        end = f"{log.received.term}.{log.received.offset}"
        self._send(
            f"ROW {log.role.value} {log.term} {end} {log.paused_for} 0 0 1"
        )
        self._send_complete()

    def _send_complete(self, request: str = "-") -> None:
        faults = self._database.faults
        if request != "-" and faults.lose_answers:
            faults.lose_answers -= 1
            self.abort()
            return
        digest = (
            "-" if request == "-" else self._database.execution_digest(request)
        )
        self._send(f"COMPLETE {digest}")
        self._send_ready()

    def _send_error(self, code: str) -> None:
        if self._state == "T":
            self._state = "E"
        self._send(f"ERROR {code} {self._database.name}")
        self._send_ready()

    def _send_ready(self) -> None:
        position = self._database.log.visible
        self._send(f"READY {self._state} {position.term}.{position.offset}")

    def _send(self, line: str) -> None:
        data = line.encode(errors=_DECODE_ERRORS) + _LINE_END
        self._answer += data
        self._write_bytes(data)

    def _write_bytes(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _split_floor(text: str) -> tuple[positions.Position | None, str]:
    """Splits a statement into the position that it needs and the rest."""
    found = _FLOOR.match(text)
    if found is None:
        return None, text
    return positions.Position(int(found[1]), int(found[2])), found[3]
