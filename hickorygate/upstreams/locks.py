"""Slots and connections as MySQL advisory locks: the encoding alone.

A lock belongs to the connection that took it and ends with it, whatever
becomes of the proxy. The database ends a connection that has been idle for
`wait_timeout`, so a paused proxy or a connection that went silent keeps
nothing for long.
"""

from __future__ import annotations

from collections.abc import Sequence
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import pool_errors
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_events as events

__all__ = ["RESERVED_PREFIX", "enter", "queue", "release", "swap", "take_any"]

RESERVED_PREFIX = "hickorygate."
"""Callers may not name locks that start with this."""

_IDLE_SECONDS = 1
"""MySQL's least `wait_timeout`."""

SlotResult = expression.Result[int | None, errors.Failure]


def _connection(number: int) -> str:
    return f"'{RESERVED_PREFIX}connection.{number}'"


def _slot(number: int) -> str:
    return f"'{RESERVED_PREFIX}slot.{number}'"


def _branches(names: Sequence[tuple[int, str]]) -> str:
    return " ".join(
        f"WHEN GET_LOCK({name}, 0) = 1 THEN {number}" for number, name in names
    )


def _first_free(names: Sequence[tuple[int, str]]) -> str:
    return f"SELECT CASE {_branches(names)} END"


async def enter(
    connection: connections.Connection,
    limit: int,
    timeout: datetime.timedelta,
) -> expression.Result[None, errors.Failure]:
    """Counts a new connection in the limit over all proxies.

    Args:
      connection: just opened.
      limit: how many connections may be counted.
      timeout: for each of two statements.

    Returns:
      `ConnectionLimit` if all places are taken.
    """
    idle = f"SET SESSION wait_timeout = {_IDLE_SECONDS}"
    prepared = await connection.control(idle, timeout)
    if prepared.is_error():
        return expression.Error(prepared.error)
    names = [(number, _connection(number)) for number in range(limit)]
    taken = await _ask(connection, _first_free(names), timeout)
    if taken.is_ok() and taken.ok is None:
        name = connection.database.name
        return expression.Error(pool_errors.ConnectionLimit(name))
    return taken.map(lambda _: None)


async def take_any(
    connection: connections.Connection,
    slots: Sequence[int],
    timeout: datetime.timedelta,
) -> SlotResult:
    """Takes the first free slot; None if there is none."""
    names = [(number, _slot(number)) for number in slots]
    return await _ask(connection, _first_free(names), timeout)


async def queue(
    connection: connections.Connection,
    effect: events.Await,
    wait: datetime.timedelta,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Queues for a slot behind those who came before.

    Ordinary work queues for the slot's gate first, which only one of all
    connections holds, so that pressing work finds at most one ordinary
    request ahead of it.

    Args:
      connection: takes the slot.
      effect: which slot, and whether the work is pressing.
      wait: how long to queue for the gate, and again for the slot.
      timeout: for the answer, beyond those waits.

    Returns:
      The slot, or None if none came free.
    """
    slot, seconds = effect.slot, wait.total_seconds()
    taken = f"GET_LOCK({_slot(slot)}, {seconds:.3f})"
    gate = f"'{RESERVED_PREFIX}gate.{slot}'"
    if not effect.pressing:
        # The terms are evaluated in order: 3 is a slot, 2 is none.
        taken = (
            f"IF(GET_LOCK({gate}, {seconds:.3f}) = 1, "
            f"{taken} + 2 * RELEASE_LOCK({gate}), 0)"
        )
    got = 1 if effect.pressing else 3
    names = [(number, _slot(number)) for number in effect.others]
    branches = _branches(names) + f" WHEN {taken} = {got} THEN {slot}"
    sql = f"SELECT CASE {branches.strip()} END"
    return await _ask(connection, sql, wait * 2 + timeout)


async def swap(
    connection: connections.Connection,
    slot: int,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Lets the first waiter have the slot; keeps it if nobody waits.

    The columns of a SELECT are evaluated in order, and a released lock is
    granted to its first waiter at once.
    """
    name = _slot(slot)
    sql = f"SELECT IF(RELEASE_LOCK({name}), GET_LOCK({name}, 0), NULL)"
    taken = await _ask(connection, sql, timeout)
    return taken.map(lambda cell: slot if cell == 1 else None)


async def release(
    connection: connections.Connection,
    slot: int,
    timeout: datetime.timedelta,
) -> SlotResult:
    """Gives a slot back."""
    return await _ask(
        connection, f"SELECT RELEASE_LOCK({_slot(slot)})", timeout
    )


async def _ask(
    connection: connections.Connection, sql: str, timeout: datetime.timedelta
) -> SlotResult:
    """Returns the one number that the database answers with, or NULL."""
    result = await connection.control(sql, timeout)
    match result:
        case expression.Result(tag="ok", ok=answers.Table() as table):
            return _number(connection, table)
        case expression.Result(tag="error", error=failure):
            return expression.Error(failure)
    return _malformed(connection, "no row came")


def _number(
    connection: connections.Connection, table: answers.Table
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
