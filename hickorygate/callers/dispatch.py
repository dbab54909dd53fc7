"""Runs the commands of callers, dispatched on the type of the command."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from hickorygate.callers import local_answers
from hickorygate.callers import protocol_command as commands
from hickorygate.callers import protocol_errors
from hickorygate.core import errors

if TYPE_CHECKING:
    from hickorygate.callers import connection as connections

__all__ = ["run"]


@functools.singledispatch
async def run(
    command: commands.Command, connection: connections.Connection
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


@run.register(commands.Query)
async def _(
    command: commands.Query, connection: connections.Connection
) -> bool:
    await connection.run_query(command.body)
    return True


@run.register(commands.Prepare)
async def _(
    command: commands.Prepare, connection: connections.Connection
) -> bool:
    await connection.prepare(command.sql)
    return True


@run.register(commands.Execute)
async def _(
    command: commands.Execute, connection: connections.Connection
) -> bool:
    await connection.execute(command.number, command.body)
    return True


@run.register(commands.SendLongData)
async def _(
    command: commands.SendLongData, connection: connections.Connection
) -> bool:
    connection.append_long_data(command)
    return True


@run.register(commands.CloseStatement)
async def _(
    command: commands.CloseStatement, connection: connections.Connection
) -> bool:
    connection.close_statement(command.number)
    return True


@run.register(commands.ResetStatement)
async def _(
    command: commands.ResetStatement, connection: connections.Connection
) -> bool:
    connection.find_prepared(command.number).reset_long_data()
    await connection.acknowledge()
    return True


@run.register(commands.Fetch)
async def _(
    command: commands.Fetch, connection: connections.Connection
) -> bool:
    raise errors.FailureError(protocol_errors.NoCursor(command.number))


@run.register(commands.Ping)
async def _(command: commands.Ping, connection: connections.Connection) -> bool:
    await connection.acknowledge()
    return True


@run.register(commands.Statistics)
async def _(
    command: commands.Statistics, connection: connections.Connection
) -> bool:
    await connection.stream.write(local_answers.SERVER_VERSION.encode())
    return True


@run.register(commands.SelectSchema)
async def _(
    command: commands.SelectSchema, connection: connections.Connection
) -> bool:
    await connection.select_schema(command.schema)
    await connection.acknowledge()
    return True


@run.register(commands.ChangeUser)
async def _(
    command: commands.ChangeUser, connection: connections.Connection
) -> bool:
    await connection.change_user(command.body)
    return True


@run.register(commands.ResetConnection)
async def _(
    command: commands.ResetConnection, connection: connections.Connection
) -> bool:
    await connection.reset()
    await connection.acknowledge()
    return True


@run.register(commands.Quit)
async def _(command: commands.Quit, connection: connections.Connection) -> bool:
    return False


@run.register(commands.Unknown)
async def _(
    command: commands.Unknown, connection: connections.Connection
) -> bool:
    raise errors.FailureError(protocol_errors.UnknownCommand(command.code))
