"""Checks PyMySQL, a blocking client, against a proxy in another process.

    python -m benchmarks.client_pymysql --port PORT

Checks text statements, transactions, an error code, a login with a wrong
password and the selected schema. Exits with code 1 at the first check that
fails.
"""

from __future__ import annotations

from absl import app
from absl import flags
import pymysql

from hickorygate.testing import cluster

_PORT = flags.DEFINE_integer("port", None, "Port of the proxy.")
_TEXT_TO_ESCAPE = 'it\'s \\ "quoted" ? é \n'
_DUPLICATE_KEY_CODE = 1062
_ACCESS_DENIED_CODE = 1045


def _check(name: str, found: object, expected: object) -> None:
    if found != expected:
        raise SystemExit(f"{name}: found {found!r}, expected {expected!r}")
    print(f"pymysql {name}: ok")


def _connect(password: str) -> pymysql.Connection:
    return pymysql.connect(
        host="127.0.0.1",
        port=_PORT.value,
        user=cluster.USER,
        password=password,
        database="alerts_1",
        autocommit=True,
    )


def _statement_error_code(call: str, cursor: pymysql.cursors.Cursor) -> int:
    try:
        cursor.execute(call)
    except pymysql.MySQLError as error:
        return error.args[0]
    return 0


def _wrong_password_error_code() -> int:
    try:
        _connect("wrong")
    except pymysql.MySQLError as error:
        return error.args[0]
    return 0


def main(argv: list[str]) -> None:
    """Runs all checks and prints a line for each."""
    del argv
    connection = _connect(cluster.PASSWORD)
    cursor = connection.cursor()
    cursor.execute("CREATE TABLE pymysql_t (id INT PRIMARY KEY, a TEXT)")
    count = cursor.execute(
        "INSERT INTO pymysql_t VALUES (1, %s)", (_TEXT_TO_ESCAPE,)
    )
    _check("affected rows", count, 1)
    cursor.execute("SELECT id, a FROM pymysql_t")
    _check("text", cursor.fetchall(), ((1, _TEXT_TO_ESCAPE),))
    for end_transaction in (connection.rollback, connection.commit):
        connection.begin()
        cursor.execute("INSERT INTO pymysql_t VALUES (2, 'b')")
        end_transaction()
    cursor.execute("SELECT COUNT(*) FROM pymysql_t")
    _check("transaction", cursor.fetchall(), ((2,),))
    sql = "INSERT INTO pymysql_t VALUES (1, 'c')"
    _check("error", _statement_error_code(sql, cursor), _DUPLICATE_KEY_CODE)
    _check("wrong password", _wrong_password_error_code(), _ACCESS_DENIED_CODE)
    connection.ping(reconnect=False)
    cursor.execute("SELECT DATABASE()")
    _check("schema", cursor.fetchall(), (("alerts_1",),))
    connection.close()


if __name__ == "__main__":
    flags.mark_flag_as_required("port")
    app.run(main)
