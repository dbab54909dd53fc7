"""Runs the commands of callers.

`run` is a `singledispatch` function with one implementation per command type.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from hickorygate.callers import local_answers
from hickorygate.callers import protocol_command
from hickorygate.callers import protocol_errors
from hickorygate.core import errors

if TYPE_CHECKING:
    from hickorygate.callers import connection as connections

__all__ = ["run"]


@functools.singledispatch
async def run(
    command: protocol_command.Command, connection: connections.Connection
) -> bool:
    """Runs a command and sends its answer, if it has one.

    Args:
      command: command to run.
      connection: connection that received the command.

    Returns:
      Whether the connection stays open.

    Raises:
      errors.FailureError: the command was refused or failed.
    """
    raise TypeError(f"no handler for {command!r}; register one")


@run.register(protocol_command.Query)
async def _(
    command: protocol_command.Query, connection: connections.Connection
) -> bool:
    await connection.run_query(command.body)
    return True


@run.register(protocol_command.Prepare)
async def _(
    command: protocol_command.Prepare, connection: connections.Connection
) -> bool:
    await connection.prepare(command.sql)
    return True


@run.register(protocol_command.Execute)
async def _(
    command: protocol_command.Execute, connection: connections.Connection
) -> bool:
    await connection.execute(command.number, command.body)
    return True


@run.register(protocol_command.SendLongData)
async def _(
    command: protocol_command.SendLongData, connection: connections.Connection
) -> bool:
    connection.append_long_data(command)
    return True


@run.register(protocol_command.CloseStatement)
async def _(
    command: protocol_command.CloseStatement, connection: connections.Connection
) -> bool:
    connection.close_statement(command.number)
    return True


@run.register(protocol_command.ResetStatement)
async def _(
    command: protocol_command.ResetStatement, connection: connections.Connection
) -> bool:
    connection.find_prepared(command.number).reset_long_data()
    await connection.acknowledge()
    return True


@run.register(protocol_command.Fetch)
async def _(
    command: protocol_command.Fetch, connection: connections.Connection
) -> bool:
    raise errors.FailureError(protocol_errors.NoCursor(command.number))


@run.register(protocol_command.Ping)
async def _(
    command: protocol_command.Ping, connection: connections.Connection
) -> bool:
    await connection.acknowledge()
    return True


@run.register(protocol_command.Statistics)
async def _(
    command: protocol_command.Statistics, connection: connections.Connection
) -> bool:
    await connection.stream.write(local_answers.SERVER_VERSION.encode())
    return True


@run.register(protocol_command.SelectSchema)
async def _(
    command: protocol_command.SelectSchema, connection: connections.Connection
) -> bool:
    await connection.select_schema(command.schema)
    await connection.acknowledge()
    return True


@run.register(protocol_command.ChangeUser)
async def _(
    command: protocol_command.ChangeUser, connection: connections.Connection
) -> bool:
    await connection.change_user(command.body)
    return True


@run.register(protocol_command.ResetConnection)
async def _(
    command: protocol_command.ResetConnection,
    connection: connections.Connection,
) -> bool:
    await connection.reset()
    await connection.acknowledge()
    return True


@run.register(protocol_command.Quit)
async def _(
    command: protocol_command.Quit, connection: connections.Connection
) -> bool:
    return False


@run.register(protocol_command.Unknown)
async def _(
    command: protocol_command.Unknown, connection: connections.Connection
) -> bool:
    raise errors.FailureError(protocol_errors.UnknownCommand(command.code))
