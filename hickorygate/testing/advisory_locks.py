"""Advisory locks of a stand-in database, with MySQL's semantics.

A lock belongs to a session, which may acquire it several times; the lock is
released when the session ends. Waiters get a lock in the order of arrival.
`AdvisoryLocks.evaluate` evaluates a SELECT of lock functions from left to
right.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools

import sqlglot
from sqlglot import errors as sqlglot_errors
from sqlglot import expressions

from hickorygate.upstreams import answer

__all__ = ["AdvisoryLocks", "SqlValue", "parse_lock_select", "result_set"]

_CACHED_STATEMENTS = 1_024
_LONGLONG = 8
_BINARY = 63
_FUNCTIONS = frozenset(
    {"GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS", "IS_FREE_LOCK"}
)

SqlValue = int | str | None
"""The value of an SQL expression; None stands for NULL."""

Owner = object
"""The session that holds a lock; compared by identity."""


@functools.lru_cache(maxsize=_CACHED_STATEMENTS)
def parse_lock_select(sql: str) -> tuple[expressions.Expression, ...] | None:
    """Returns the columns of a SELECT that calls a lock function, else None."""
    upper = sql.upper()
    if not any(name in upper for name in _FUNCTIONS):
        return None
    try:
        tree = sqlglot.parse_one(sql, read="mysql")
    except sqlglot_errors.SqlglotError:
        return None
    if not isinstance(tree, expressions.Select) or tree.args.get("from_"):
        return None
    return tuple(tree.expressions)


def result_set(
    columns: tuple[expressions.Expression, ...], row: tuple[SqlValue, ...]
) -> answer.ResultSet:
    """Returns a result set with one row of values."""
    definitions = tuple(
        answer.Column(column.alias_or_name, _LONGLONG, _BINARY)
        for column in columns
    )
    return answer.ResultSet(warnings=0, columns=definitions, rows=[row])


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """An entry in the queue for a lock."""

    owner: Owner
    granted: asyncio.Future[None]


@dataclasses.dataclass(slots=True, eq=False)
class _Lock:
    """A named lock, which is free while `count` is 0."""

    owner: Owner = None
    count: int = 0
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )

    def grant_next(self) -> None:
        """Grants a free lock to the first waiter that hasn't given up."""
        while not self.count and self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.granted.done():
                self.owner, self.count = waiter.owner, 1
                waiter.granted.set_result(None)


class AdvisoryLocks:
    """All advisory locks of one database."""

    __slots__ = ("_locks",)

    def __init__(self) -> None:
        self._locks: dict[str, _Lock] = {}

    def __repr__(self) -> str:
        return f"AdvisoryLocks(held={self.held})"

    @property
    def held(self) -> tuple[str, ...]:
        """The names of the held locks."""
        return tuple(n for n, lock in self._locks.items() if lock.count)

    def is_free(self, name: str) -> bool:
        """Returns whether the lock is free."""
        lock = self._locks.get(name)
        return lock is None or not lock.count

    async def acquire(self, owner: Owner, name: str, seconds: float) -> bool:
        """Acquires a lock.

        Args:
          owner: session that acquires the lock.
          name: name of the lock.
          seconds: maximum wait; a negative number sets no limit.

        Returns:
          Whether the lock was acquired in time.
        """
        lock = self._locks.setdefault(name, _Lock())
        if not lock.count or lock.owner is owner:
            lock.owner = owner
            lock.count += 1
            return True
        if seconds == 0:
            return False
        return await self._wait(lock, owner, seconds)

    def release(self, owner: Owner, name: str) -> bool | None:
        """Releases a lock once.

        Returns:
          True if the lock was released, False if another session holds the
          lock, None if the lock is free.
        """
        lock = self._locks.get(name)
        if lock is None or not lock.count:
            return None
        if lock.owner is not owner:
            return False
        lock.count -= 1
        lock.grant_next()
        return True

    def release_all(self, owner: Owner) -> int:
        """Releases all locks of a session; returns how often they were held."""
        released = 0
        for lock in self._locks.values():
            if lock.count and lock.owner is owner:
                released += lock.count
                lock.count = 0
                lock.grant_next()
        return released

    async def evaluate(
        self, owner: Owner, columns: tuple[expressions.Expression, ...]
    ) -> tuple[SqlValue, ...]:
        """Returns the values of the columns of a parsed SELECT."""
        return tuple([await _value(c, self, owner) for c in columns])

    async def _wait(self, lock: _Lock, owner: Owner, seconds: float) -> bool:
        waiter = _Waiter(owner, asyncio.get_running_loop().create_future())
        lock.waiters.append(waiter)
        try:
            await asyncio.wait(
                (waiter.granted,), timeout=seconds if seconds > 0 else None
            )
        except asyncio.CancelledError:
            self._cancel_wait(lock, waiter)
            raise
        if waiter.granted.done():
            return True
        self._cancel_wait(lock, waiter)
        return False

    def _cancel_wait(self, lock: _Lock, waiter: _Waiter) -> None:
        """Cancels a wait; a lock that was granted meanwhile is passed on."""
        if waiter.granted.done():
            lock.count -= 1
            lock.grant_next()
        else:
            lock.waiters.remove(waiter)


@functools.singledispatch
async def _value(
    node: expressions.Expression, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    raise TypeError(f"can't evaluate {node.sql()!r} in a lock statement")


@_value.register
async def _(
    node: expressions.Literal, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    if node.is_string:
        return node.this
    return int(float(node.this))


@_value.register
async def _(
    node: expressions.Null, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    return None


@_value.register
async def _(
    node: expressions.Alias, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    return await _value(node.this, locks, owner)


@_value.register
async def _(
    node: expressions.EQ, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    left = await _value(node.this, locks, owner)
    right = await _value(node.expression, locks, owner)
    if left is None or right is None:
        return None
    return int(left == right)


@_value.register
async def _(
    node: expressions.Case, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    for branch in node.args["ifs"]:
        if await _value(branch.this, locks, owner):
            return await _value(branch.args["true"], locks, owner)
    default = node.args.get("default")
    return None if default is None else await _value(default, locks, owner)


@_value.register
async def _(
    node: expressions.Add, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    left = await _value(node.this, locks, owner)
    right = await _value(node.expression, locks, owner)
    return None if left is None or right is None else left + right


@_value.register
async def _(
    node: expressions.Mul, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    left = await _value(node.this, locks, owner)
    right = await _value(node.expression, locks, owner)
    return None if left is None or right is None else left * right


@_value.register
async def _(
    node: expressions.If, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    if await _value(node.this, locks, owner):
        return await _value(node.args["true"], locks, owner)
    default = node.args.get("false")
    return None if default is None else await _value(default, locks, owner)


@_value.register
async def _(
    node: expressions.Anonymous, locks: AdvisoryLocks, owner: Owner
) -> SqlValue:
    arguments = node.expressions
    match node.name.upper():
        case "RELEASE_ALL_LOCKS":
            return locks.release_all(owner)
        case "RELEASE_LOCK":
            released = locks.release(owner, arguments[0].name)
            return None if released is None else int(released)
        case "IS_FREE_LOCK":
            return int(locks.is_free(arguments[0].name))
        case "GET_LOCK":
            seconds = float(arguments[1].name)
            return int(await locks.acquire(owner, arguments[0].name, seconds))
    raise TypeError(f"{node.name} is not a lock function")
