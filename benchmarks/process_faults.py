"""Writes through proxies that fail, and checks that each write is kept.

    tools/processes.sh

starts the processes, runs this module beside them, and meanwhile kills,
freezes and replaces proxies. Whenever a connection fails, the caller connects
to the next proxy and passes on its session token. The caller repeats each
insert with the same idempotency key until it is acknowledged, reads the row
back, and at the end counts the rows of each key.
"""

from __future__ import annotations

import itertools
import json
import time

from absl import app
from absl import flags
import pymysql

_PORTS = flags.DEFINE_list("ports", None, "Ports of the proxies.")
_SECONDS = flags.DEFINE_integer(
    "seconds", 20, "Duration of the writes in seconds."
)

_IO_TIMEOUT_SECONDS = 3
_RETRY_TIMEOUT_SECONDS = 30
_PAUSE_SECONDS = 0.01


class RetryTimeoutError(Exception):
    """Raised if no proxy answers a statement before the retry timeout."""


class Caller:
    """A blocking caller whose session continues on another proxy.

    Attributes:
      reconnects: number of failed attempts; the caller connects to the next
        proxy after each.
      longest_gap: longest time from the first attempt of a statement to its
        answer, in seconds.
    """

    def __init__(self, ports: list[int]) -> None:
        self._ports = itertools.cycle(ports)
        self._connection: pymysql.Connection | None = None
        self._token = ""
        self.reconnects = 0
        self.longest_gap = 0.0

    def run(self, sql: str) -> tuple[tuple[object, ...], ...]:
        """Runs a statement, retrying on the next proxy until it is answered."""
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
    """Writes and checks the rows, and prints one JSON object."""
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
