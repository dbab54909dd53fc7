"""Prepared statements: the proxy puts the parameters in as literals.

A pooled connection serves many sessions, so nothing is prepared on the
databases: each execution is a statement of its own there.
"""

from __future__ import annotations

import dataclasses

from hickorygate.callers import packet as packets
from hickorygate.callers import parameter as parameters
from hickorygate.callers import protocol_errors
from hickorygate.core import errors
from hickorygate.core import lexer

__all__ = ["Execution", "Prepared", "execute", "prepare", "read_attributes"]

_COUNT_AVAILABLE = 0x08
_MOST_PARAMETERS = 65_535


@dataclasses.dataclass(slots=True)
class Prepared:
    """One prepared statement.

    Attributes:
      number: its id on the connection.
      parts: the text between the parameters' places.
      kinds: the parameters' types, as last bound.
      long_data: parameters that came in parts, by their index.
      oversized: bytes of long data, once they are over the limit.
    """

    number: int
    parts: tuple[str, ...]
    kinds: tuple[parameters.Kind, ...] = ()
    long_data: dict[int, bytearray] = dataclasses.field(default_factory=dict)
    oversized: int = 0

    @property
    def parameters(self) -> int:
        """How many parameters it has."""
        return len(self.parts) - 1

    def append(self, index: int, data: bytes, limit: int) -> None:
        """Takes in a part of a parameter; too much of it is dropped."""
        size = sum(map(len, self.long_data.values())) + len(data)
        if size > limit or index >= self.parameters:
            self.oversized = max(size, self.oversized)
            self.long_data.clear()
            return
        self.long_data.setdefault(index, bytearray()).extend(data)

    def forget(self) -> None:
        """Drops what came in parts."""
        self.long_data.clear()
        self.oversized = 0

    def fill(self, values: list[parameters.Value]) -> str:
        """Returns the statement with values in the parameters' places."""
        pieces = [self.parts[0]]
        for value, part in zip(values, self.parts[1:], strict=True):
            pieces += (parameters.literal(value), part)
        return "".join(pieces)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A statement to run, and the query's attributes."""

    sql: str
    attributes: dict[str, str]


def prepare(number: int, sql: str) -> Prepared:
    """Finds the parameters of a statement."""
    parts = []
    end = 0
    for match in lexer.PLACE.finditer(sql):
        if match["place"]:
            parts.append(sql[end : match.start()])
            end = match.end()
    parts.append(sql[end:])
    if len(parts) - 1 > _MOST_PARAMETERS:
        reason = f"{len(parts) - 1} parameters, over {_MOST_PARAMETERS}"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    return Prepared(number, tuple(parts))


def execute(
    reader: packets.Reader, statement: Prepared, named: bool, limit: int
) -> Execution:
    """Reads an execution's parameters and fills them in.

    Args:
      reader: stands behind the statement's id.
      statement: what is executed.
      named: whether the caller sends query attributes.
      limit: bytes of the longest statement.
    """
    flags = reader.uint(1)
    reader.take(4)  # The iteration count, always 1.
    count = statement.parameters
    if named and (count or flags & _COUNT_AVAILABLE):
        count = reader.length()
    if count < statement.parameters:
        raise packets.malformed(f"{count} parameters are too few")
    if statement.oversized:
        size = statement.oversized
        raise errors.FailureError(errors.StatementTooLarge(size, limit))
    names, values = _values(reader, statement, count, named)
    inside = statement.parameters
    sql = statement.fill(values[:inside])
    return Execution(sql, _attributes(names[inside:], values[inside:]))


def read_attributes(reader: packets.Reader) -> dict[str, str]:
    """Takes the attributes ahead of a query's text."""
    count = reader.length()
    reader.length()  # The number of parameter sets, always 1.
    if not count:
        return {}
    names, values = _values(reader, Prepared(0, ("",)), count, True)
    return _attributes(names, values)


def _values(
    reader: packets.Reader, statement: Prepared, count: int, named: bool
) -> tuple[list[str], list[parameters.Value]]:
    if not count:
        return [], []
    nulls = reader.take((count + 7) // 8)
    names = [""] * count
    kinds = list(statement.kinds)
    if reader.uint(1):
        kinds = []
        for index in range(count):
            kinds.append(parameters.read_kind(reader))
            if named:
                names[index] = packets.text(reader.length_bytes())
        statement.kinds = tuple(kinds)
    if len(kinds) != count:
        raise packets.malformed("the parameters' types are missing")
    values = [
        _value(reader, statement, index, kind, nulls)
        for index, kind in enumerate(kinds)
    ]
    return names, values


def _value(
    reader: packets.Reader,
    statement: Prepared,
    index: int,
    kind: parameters.Kind,
    nulls: bytes,
) -> parameters.Value:
    if nulls[index // 8] >> index % 8 & 1:
        return None
    long_data = statement.long_data.get(index)
    if long_data is not None:
        return parameters.from_bytes(bytes(long_data), kind)
    return parameters.read_value(reader, kind)


def _attributes(
    names: list[str], values: list[parameters.Value]
) -> dict[str, str]:
    return {
        name: str(value)
        for name, value in zip(names, values, strict=True)
        if name
        and value is not None
        and not isinstance(value, parameters.Binary)
    }
