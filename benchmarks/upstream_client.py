"""asyncmy against aiomysql on one stand-in database: time a statement.

python -m benchmarks.upstream_client
"""

from __future__ import annotations

import time
from typing import Any

import aiomysql
import asyncmy
import uvloop

from hickorygate.core import clock as clocks
from hickorygate.testing import database as databases

__all__ = ["measure"]

_STATEMENTS = 2_000
_ROUNDS = 3
_ROWS = 20_000
_DRIVERS = {"asyncmy": asyncmy, "aiomysql": aiomysql}


async def _fetch_row_count(connection: Any, sql: str) -> int:
    """Returns how many rows came; aiomysql's cursor() has to be awaited."""
    cursor = connection.cursor()
    if not hasattr(cursor, "execute"):
        cursor = await cursor
    await cursor.execute(sql)
    return len(await cursor.fetchall())


async def measure(driver: Any, port: int) -> tuple[float, float]:
    """Returns microseconds a short statement and milliseconds a long answer."""
    connection = await driver.connect(
        host="127.0.0.1", port=port, user="hickorygate", autocommit=True
    )
    await _fetch_row_count(connection, "SELECT 1")
    started = time.perf_counter()
    for _ in range(_STATEMENTS):
        await _fetch_row_count(connection, "SELECT 1")
    short_s = (time.perf_counter() - started) / _STATEMENTS
    started = time.perf_counter()
    rows = await _fetch_row_count(connection, "SELECT id FROM many")
    assert rows == _ROWS, rows
    long_s = time.perf_counter() - started
    connection.close()
    return short_s * 1e6, long_s * 1e3


async def _main() -> None:
    group = databases.Group(clocks.SystemClock())
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
            short_s, long_s = await measure(driver, database.port)
            print(
                f"round {number + 1}: {name:<8} {short_s:6.0f} us a SELECT 1, "
                f"{long_s:6.0f} ms for {_ROWS} rows, both ends"
            )
    setup_connection.close()
    await group.stop()


if __name__ == "__main__":
    uvloop.run(_main())
