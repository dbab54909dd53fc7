"""Opening of a connection that counts towards a database's limit."""

from __future__ import annotations

import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_locks

__all__ = ["open_registered"]


async def open_registered(
    database: sheet.Database,
    limit: int,
    settings: settings_lib.UpstreamSettings,
) -> expression.Result[connections.Connection, errors.Failure]:
    """Opens a connection and registers it in the database's limit.

    Args:
      database: database to connect to.
      limit: maximum number of registered connections, over all proxies.
      settings: time limits.

    Returns:
      The connection, or why there is none.
    """
    opened = await connections.open_connection(database, settings)
    if opened.is_error():
        return opened
    registered = await slot_locks.register_connection(
        opened.ok, limit, settings.connect_timeout
    )
    if registered.is_error():
        opened.ok.close()
        return expression.Error(_as_connect_failure(registered.error))
    return opened


def _as_connect_failure(failure: errors.Failure) -> errors.Failure:
    """Replaces `AnswerLost` by `ConnectFailed`.

    No caller's request was sent on the connection yet, so the outcome of the
    request is known: it did not run.
    """
    if isinstance(failure, errors.AnswerLost):
        return errors.ConnectFailed(failure.database, failure.reason)
    return failure
