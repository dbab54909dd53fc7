"""A caller that checks its own writes while processes around it fail.

    tools/processes.sh

starts the processes, runs this beside them, and kills, freezes and replaces
proxies meanwhile. The caller moves to the other proxy with its token whenever
a connection fails, repeats each insert with the same idempotency key until it
is acknowledged, reads it back, and at the end counts each row.
"""

from __future__ import annotations

import itertools
import json
import time

from absl import app
from absl import flags
import pymysql

_PORTS = flags.DEFINE_list("ports", None, "The proxies' ports.")
_SECONDS = flags.DEFINE_integer("seconds", 20, "How long to write.")

_IO_TIMEOUT_SECONDS = 3
_RETRY_TIMEOUT_SECONDS = 30
_PAUSE_SECONDS = 0.01


class RetryTimeoutError(Exception):
    """No proxy served a statement for too long."""


class Caller:
    """A blocking caller with one session that roams."""

    def __init__(self, ports: list[int]) -> None:
        self._ports = itertools.cycle(ports)
        self._connection: pymysql.Connection | None = None
        self._token = ""
        self.reconnects = 0
        self.longest_gap = 0.0

    def run(self, sql: str) -> tuple[tuple[object, ...], ...]:
        """Runs a statement, wherever it can, until it is answered."""
        started = time.monotonic()
        while True:
            try:
                rows = self._run_once(sql)
            except pymysql.MySQLError:
                self._disconnect()
                if time.monotonic() - started > _RETRY_TIMEOUT_SECONDS:
                    raise RetryTimeoutError(sql) from None
                time.sleep(_PAUSE_SECONDS)
                continue
            self.longest_gap = max(self.longest_gap, time.monotonic() - started)
            return rows

    def _run_once(self, sql: str) -> tuple[tuple[object, ...], ...]:
        if self._connection is None:
            self._connection = self._connect_to_next()
        rows = self._execute(self._connection, sql)
        ((self._token,),) = self._execute(
            self._connection, "SELECT @@hickorygate_token"
        )
        return rows

    def _connect_to_next(self) -> pymysql.Connection:
        connection = pymysql.connect(
            host="127.0.0.1",
            port=next(self._ports),
            user="shelters",
            password="bello",
            database="alerts_1",
            autocommit=True,
            connect_timeout=_IO_TIMEOUT_SECONDS,
            read_timeout=_IO_TIMEOUT_SECONDS,
        )
        if self._token:
            sql = f"SET hickorygate_token = '{self._token}'"
            self._execute(connection, sql)
        return connection

    def _disconnect(self) -> None:
        self.reconnects += 1
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _execute(
        self, connection: pymysql.Connection, sql: str
    ) -> tuple[tuple[object, ...], ...]:
        cursor = connection.cursor()
        cursor.execute(sql)
        return cursor.fetchall()


def main(argv: list[str]) -> None:
    """Writes and checks, and prints one JSON object."""
    del argv
    caller = Caller([int(port) for port in _PORTS.value])
    caller.run("CREATE TABLE IF NOT EXISTS faults (id INT)")
    deadline = time.monotonic() + _SECONDS.value
    acknowledged = 0
    unread_writes = 0
    while time.monotonic() < deadline:
        acknowledged += 1
        hint = f"/*hickorygate_idempotency_key='{acknowledged}'*/"
        caller.run(f"{hint} INSERT INTO faults VALUES ({acknowledged})")
        found = caller.run(
            "/*hickorygate_staleness_ms='60000'*/ "
            f"SELECT id FROM faults WHERE id = {acknowledged}"
        )
        unread_writes += not found
    caller.run("BEGIN")
    counts = caller.run("SELECT id, COUNT(*) FROM faults GROUP BY id")
    doubled = sum(count > 1 for _, count in counts)
    figures = {
        "acknowledged": acknowledged,
        "lost": acknowledged - len(counts),
        "doubled": doubled,
        "own_writes_not_read": unread_writes,
        "moves": caller.reconnects,
        "longest_gap_s": round(caller.longest_gap, 2),
    }
    print(json.dumps(figures))
    if figures["lost"] or doubled or unread_writes:
        raise SystemExit(1)


if __name__ == "__main__":
    flags.mark_flag_as_required("ports")
    app.run(main)
