"""Measures the time and memory that relaying a large result takes.

    python -m benchmarks.large_result --rows 1000000

An origin server streams rows to an upstream connection. A second server
relays them to a caller, which counts the bytes and discards them. All parts
run in one process. Prints the elapsed time and the growth of the peak resident
memory of the process.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import datetime
import resource
import time

from absl import app
from absl import flags
import expression

from hickorygate.callers import handler
from hickorygate.callers import server
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.testing import raw_client
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection as connections

_ROWS = flags.DEFINE_integer("rows", 1_000_000, "Number of rows in the result.")
_CELL = "x" * 100
_COLUMNS = (answer.Column("id", 8, 63), answer.Column("a", 253, 45))
_STATEMENT_LIMIT_BYTES = 1_048_576
_USER = "hickorygate"
_TIMEOUT = datetime.timedelta(seconds=60)
_OK = expression.Ok(None)
_EMPTY_ANSWER = answer.OkAnswer(warnings=0, affected_rows=0, last_insert_id=0)


class _AcceptingHandler:
    """Accepts all logins and schemas; subclasses answer the statements."""

    autocommit = True
    in_transaction = False

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Accepts the connection."""
        return _OK

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Accepts any user."""
        return _OK

    async def select_schema(
        self, schema: types.SchemaName
    ) -> handler.AnswerResult:
        """Accepts any schema."""
        return expression.Ok(_EMPTY_ANSWER)

    async def reset(self) -> None:
        """Does nothing, as the handler keeps no session state."""

    async def close(self) -> None:
        """Does nothing, as the handler holds no resources."""


class _OriginHandler(_AcceptingHandler):
    """Generates the rows."""

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        """Streams the rows for a SELECT, and an empty answer otherwise."""
        if not sql.startswith("SELECT"):
            return expression.Ok(_EMPTY_ANSWER)
        return expression.Ok(answer.ResultSet(0, _COLUMNS, _rows()))


class _RelayHandler(_AcceptingHandler):
    """Relays the answers of an origin connection."""

    def __init__(self, connection: connections.Connection) -> None:
        self._connection = connection

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        """Runs the statement on the origin."""
        return await self._connection.execute(sql, _TIMEOUT)


async def _rows() -> AsyncIterator[types.Row]:
    for number in range(_ROWS.value):
        yield (number, _CELL)


def _peak_mebibytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024


async def _run() -> None:
    origin = server.Server(_OriginHandler, {_USER: ""}, _STATEMENT_LIMIT_BYTES)
    await origin.start("127.0.0.1", 0)
    database = sheet.Database(
        "origin", "127.0.0.1", origin.port, "nl-west-a", 20, 3
    )
    settings = settings_lib.UpstreamSettings(user=_USER)
    opened = await connections.open_connection(database, settings)
    relay = server.Server(
        lambda: _RelayHandler(opened.ok), {_USER: ""}, _STATEMENT_LIMIT_BYTES
    )
    await relay.start("127.0.0.1", 0)
    client = await raw_client.log_in(relay.port, _USER)
    peak_before = _peak_mebibytes()
    started = time.perf_counter()
    client.query("SELECT * FROM everything")
    received = 0
    last_bytes = b""
    while not last_bytes.endswith(b"\xfe\x00\x00\x02\x00"):
        chunk = await client.read_bytes()
        received += len(chunk)
        last_bytes = (last_bytes + chunk)[-5:]
    seconds = time.perf_counter() - started
    growth = _peak_mebibytes() - peak_before
    print(
        f"rows={_ROWS.value} bytes={received} seconds={seconds:.2f} "
        f"peak_growth_mebibytes={growth:.1f}"
    )
    await client.close()
    await relay.close()
    opened.ok.close()
    await origin.close()


def main(argv: list[str]) -> None:
    """Runs the benchmark and prints one line."""
    del argv
    asyncio.run(_run())


if __name__ == "__main__":
    app.run(main)
