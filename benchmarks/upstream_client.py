"""Compares the time per statement of asyncmy and aiomysql.

Both drivers query the same stand-in database. Run:

    python -m benchmarks.upstream_client
"""

from __future__ import annotations

import time
from typing import Any

import aiomysql
import asyncmy
import uvloop

from hickorygate.core import clock
from hickorygate.testing import database as databases

__all__ = ["measure"]

_STATEMENTS = 2_000
_ROUNDS = 3
_ROWS = 20_000
_DRIVERS = {"asyncmy": asyncmy, "aiomysql": aiomysql}


async def _fetch_row_count(connection: Any, sql: str) -> int:
    """Runs a statement and returns the number of rows.

    The cursor() of aiomysql has to be awaited, that of asyncmy doesn't.
    """
    cursor = connection.cursor()
    if not hasattr(cursor, "execute"):
        cursor = await cursor
    await cursor.execute(sql)
    return len(await cursor.fetchall())


async def measure(driver: Any, port: int) -> tuple[float, float]:
    """Measures the time of a short statement and of a long answer.

    Args:
      driver: module of the client library.
      port: port of the stand-in database on this machine.

    Returns:
      The microseconds of one `SELECT 1` and the milliseconds of one answer of
      `_ROWS` rows.
    """
    connection = await driver.connect(
        host="127.0.0.1", port=port, user="hickorygate", autocommit=True
    )
    await _fetch_row_count(connection, "SELECT 1")
    started = time.perf_counter()
    for _ in range(_STATEMENTS):
        await _fetch_row_count(connection, "SELECT 1")
    short = (time.perf_counter() - started) / _STATEMENTS
    started = time.perf_counter()
    rows = await _fetch_row_count(connection, "SELECT id FROM many")
    assert rows == _ROWS, rows
    long = time.perf_counter() - started
    connection.close()
    return short * 1e6, long * 1e3


async def _main() -> None:
    group = databases.StandInGroup(clock.SystemClock())
    (database,) = await group.start(("one",))
    setup_connection = await asyncmy.connect(
        host="127.0.0.1",
        port=database.port,
        user="hickorygate",
        autocommit=True,
    )
    await _fetch_row_count(setup_connection, "CREATE TABLE many (id INT)")
    values = ", ".join(f"({number})" for number in range(_ROWS))
    await _fetch_row_count(
        setup_connection, f"INSERT INTO many VALUES {values}"
    )
    for number in range(_ROUNDS):
        for name, driver in _DRIVERS.items():
            short, long = await measure(driver, database.port)
            print(
                f"round {number + 1}: {name:<8} {short:6.0f} us a SELECT 1, "
                f"{long:6.0f} ms for {_ROWS} rows, both ends"
            )
    setup_connection.close()
    await group.stop()


if __name__ == "__main__":
    uvloop.run(_main())
