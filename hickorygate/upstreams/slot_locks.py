"""Encodes slots and counted connections as MySQL advisory locks.

This module only builds the statements and parses their results. A lock
belongs to the connection that acquired it and is released when that
connection ends, whatever happens to the proxy. The database ends a connection
that has been idle for `wait_timeout`, so a paused proxy or a connection that
stopped responding doesn't hold its locks for long.
"""

from __future__ import annotations

from collections.abc import Sequence
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import pool_errors
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_events

__all__ = [
    "RESERVED_PREFIX",
    "register_connection",
    "queue_for_slot",
    "release_slot",
    "yield_slot",
    "acquire_free_slot",
]

RESERVED_PREFIX = "hickorygate."
"""Prefix of the proxies' lock names, which callers may not use."""

_WAIT_TIMEOUT_SECONDS = 1
"""The minimum `wait_timeout` that MySQL supports."""

SlotResult = expression.Result[int | None, errors.Failure]


def _connection_lock(number: int) -> str:
    return f"'{RESERVED_PREFIX}connection.{number}'"


def _slot_lock(number: int) -> str:
    return f"'{RESERVED_PREFIX}slot.{number}'"


def _case_branches(names: Sequence[tuple[int, str]]) -> str:
    return " ".join(
        f"WHEN GET_LOCK({name}, 0) = 1 THEN {number}" for number, name in names
    )


def _first_free_query(names: Sequence[tuple[int, str]]) -> str:
    return f"SELECT CASE {_case_branches(names)} END"


async def register_connection(
    connection: connections.Connection,
    limit: int,
    timeout: datetime.timedelta,
) -> expression.Result[None, errors.Failure]:
    """Registers a new connection in the connection limit of all proxies.

    The connection acquires one of `limit` locks. Its `wait_timeout` is set
    first.

    Args:
      connection: connection that was just opened.
      limit: maximum number of registered connections.
      timeout: time limit for each of the two statements.

    Returns:
      None, `ConnectionLimit` if as many connections are registered already,
      or another failure.
    """
    idle = f"SET SESSION wait_timeout = {_WAIT_TIMEOUT_SECONDS}"
    prepared = await connection.execute_internal(idle, timeout)
    if prepared.is_error():
        return expression.Error(prepared.error)
    names = [(number, _connection_lock(number)) for number in range(limit)]
    acquired = await _query_number(
        connection, _first_free_query(names), timeout
    )
    if acquired.is_ok() and acquired.ok is None:
        name = connection.database.name
        return expression.Error(pool_errors.ConnectionLimit(name))
    return acquired.map(lambda _: None)


async def acquire_free_slot(
    connection: connections.Connection,
    slots: Sequence[int],
    timeout: datetime.timedelta,
) -> SlotResult:
    """Acquires the first free slot.

    Args:
      connection: connection that acquires the slot.
      slots: slots to try, in order.
      timeout: time after which the answer counts as lost.

    Returns:
      The slot, or None if none is free.
    """
    names = [(number, _slot_lock(number)) for number in slots]
    return await _query_number(connection, _first_free_query(names), timeout)


async def queue_for_slot(
    connection: connections.Connection,
    effect: slot_events.QueueForSlot,
    wait: datetime.timedelta,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Tries to acquire other slots, then queues for a slot.

    For an ordinary request, the connection first queues for the slot's gate, a
    second lock that only one connection can hold, and then for the slot while
    it holds the gate. For an urgent request, the connection queues for the slot
    directly. Therefore at most one connection with an ordinary request (the one
    that holds the gate) is ahead of it.

    Args:
      connection: connection that acquires the slot.
      effect: slot to queue for, other slots to try first, and whether the
        request is urgent.
      wait: time limit for queueing for the gate, and again for the slot.
      timeout: time limit for the answer, in addition to these waits.

    Returns:
      The slot, or None if no slot became free.
    """
    slot, seconds = effect.slot, wait.total_seconds()
    condition = f"GET_LOCK({_slot_lock(slot)}, {seconds:.3f})"
    gate = f"'{RESERVED_PREFIX}gate.{slot}'"
    if not effect.urgent:
        # MySQL evaluates the terms in order. The sum is 3 if the slot was
        # acquired and 2 if it was not.
        condition = (
            f"IF(GET_LOCK({gate}, {seconds:.3f}) = 1, "
            f"{condition} + 2 * RELEASE_LOCK({gate}), 0)"
        )
    success = 1 if effect.urgent else 3
    names = [(number, _slot_lock(number)) for number in effect.others]
    branches = (
        _case_branches(names) + f" WHEN {condition} = {success} THEN {slot}"
    )
    sql = f"SELECT CASE {branches.strip()} END"
    return await _query_number(connection, sql, wait * 2 + timeout)


async def yield_slot(
    connection: connections.Connection,
    slot: int,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Passes the slot to the first waiter, or keeps it if there is none.

    MySQL evaluates the expressions of a SELECT in order and grants a released
    lock to its first waiter at once.

    Args:
      connection: connection that holds the slot.
      slot: slot to yield.
      timeout: time after which the answer counts as lost.

    Returns:
      The slot if the connection still holds it, else None.
    """
    name = _slot_lock(slot)
    sql = f"SELECT IF(RELEASE_LOCK({name}), GET_LOCK({name}, 0), NULL)"
    acquired = await _query_number(connection, sql, timeout)
    return acquired.map(lambda cell: slot if cell == 1 else None)


async def release_slot(
    connection: connections.Connection,
    slot: int,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Releases a slot that the connection holds."""
    return await _query_number(
        connection, f"SELECT RELEASE_LOCK({_slot_lock(slot)})", timeout
    )


async def _query_number(
    connection: connections.Connection, sql: str, timeout: datetime.timedelta
) -> SlotResult:
    """Runs a query that returns one number; None stands for NULL."""
    result = await connection.execute_internal(sql, timeout)
    match result:
        case expression.Result(tag="ok", ok=answer.ResultSet() as table):
            return _parse_number(connection, table)
        case expression.Result(tag="error", error=failure):
            return expression.Error(failure)
    return _malformed(connection, "no row came")


def _parse_number(
    connection: connections.Connection, table: answer.ResultSet
) -> SlotResult:
    try:
        ((cell,),) = table.rows
        return expression.Ok(None if cell is None else int(cell))
    except (TypeError, ValueError) as error:
        return _malformed(connection, str(error))


def _malformed(connection: connections.Connection, reason: str) -> SlotResult:
    connection.close()
    name = connection.database.name
    return expression.Error(errors.AnswerLost(name, f"lock: {reason}"))
