"""Prepared statements, emulated by inserting the parameters as literals.

A pooled connection serves many sessions, so the proxy prepares nothing on the
databases. Each execution reaches a database as an ordinary statement.
"""

from __future__ import annotations

import dataclasses

from hickorygate.callers import packet
from hickorygate.callers import parameter
from hickorygate.callers import protocol_errors
from hickorygate.core import errors
from hickorygate.core import sql_patterns

__all__ = [
    "Execution",
    "EmulatedPreparedStatement",
    "read_execution",
    "parse_placeholders",
    "read_attributes",
]

_PARAMETER_COUNT_AVAILABLE = 0x08
"""Flag of an execution whose packet always holds a parameter count."""

_MAX_PARAMETERS = 65_535


@dataclasses.dataclass(slots=True)
class EmulatedPreparedStatement:
    """A prepared statement of one connection.

    Attributes:
      number: statement id, unique on its connection.
      sql_parts: SQL text before, between and after the parameters.
      parameter_types: types of the parameters, as last sent. A caller may leave
        out the types when it executes the statement again.
      long_data: data of parameters sent by COM_STMT_SEND_LONG_DATA, by index
        of the parameter.
      oversized: size in bytes of the long data that was refused and dropped;
        0 if none was refused.
    """

    number: int
    sql_parts: tuple[str, ...]
    parameter_types: tuple[parameter.ParameterType, ...] = ()
    long_data: dict[int, bytearray] = dataclasses.field(default_factory=dict)
    oversized: int = 0

    @property
    def parameter_count(self) -> int:
        """Number of parameters."""
        return len(self.sql_parts) - 1

    def append_long_data(self, index: int, data: bytes, limit: int) -> None:
        """Appends long data to a parameter.

        If the total size exceeds the limit, or if the parameter doesn't
        exist, all long data is dropped and the next execution is refused.

        Args:
          index: index of the parameter, from 0.
          data: bytes to append.
          limit: maximum size of all long data in bytes.
        """
        size = sum(map(len, self.long_data.values())) + len(data)
        if size > limit or index >= self.parameter_count:
            self.oversized = max(size, self.oversized)
            self.long_data.clear()
            return
        self.long_data.setdefault(index, bytearray()).extend(data)

    def reset_long_data(self) -> None:
        """Drops all long data."""
        self.long_data.clear()
        self.oversized = 0

    def interpolate(self, values: list[parameter.ParameterValue]) -> str:
        """Returns the SQL with a literal in the place of each parameter."""
        pieces = [self.sql_parts[0]]
        for value, part in zip(values, self.sql_parts[1:], strict=True):
            pieces += (parameter.sql_literal(value), part)
        return "".join(pieces)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a prepared statement.

    Attributes:
      sql: statement with the parameters as literals.
      attributes: query attributes by name.
    """

    sql: str
    attributes: dict[str, str]


def parse_placeholders(number: int, sql: str) -> EmulatedPreparedStatement:
    """Splits a statement at its parameters.

    Args:
      number: id of the new prepared statement.
      sql: statement with `?` in the place of each parameter.

    Raises:
      errors.FailureError: with a `BadParameter`, if there are too many.
    """
    parts = []
    end = 0
    for match in sql_patterns.PLACE.finditer(sql):
        if match["place"]:
            parts.append(sql[end : match.start()])
            end = match.end()
    parts.append(sql[end:])
    if len(parts) - 1 > _MAX_PARAMETERS:
        reason = f"{len(parts) - 1} parameters, over {_MAX_PARAMETERS}"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    return EmulatedPreparedStatement(number, tuple(parts))


def read_execution(
    reader: packet.PacketReader,
    statement: EmulatedPreparedStatement,
    has_attributes: bool,
    limit: int,
) -> Execution:
    """Decodes a COM_STMT_EXECUTE and inserts the parameters.

    Args:
      reader: reader of the packet, positioned after the statement id.
      statement: prepared statement to execute. Its parameter types are
        replaced if the packet has types.
      has_attributes: whether the connection supports query attributes.
      limit: maximum size of a statement in bytes.

    Raises:
      errors.FailureError: the packet is malformed, a parameter can't be
        written as a literal, or the long data exceeded the limit.
    """
    flags = reader.read_uint(1)
    reader.read_bytes(4)  # The iteration count, always 1.
    count = statement.parameter_count
    if has_attributes and (count or flags & _PARAMETER_COUNT_AVAILABLE):
        count = reader.read_length()
    if count < statement.parameter_count:
        raise packet.malformed(f"{count} parameters are too few")
    if statement.oversized:
        size = statement.oversized
        raise errors.FailureError(errors.StatementTooLarge(size, limit))
    names, values = _read_values(reader, statement, count, has_attributes)
    placeholders = statement.parameter_count
    sql = statement.interpolate(values[:placeholders])
    return Execution(
        sql, _to_attributes(names[placeholders:], values[placeholders:])
    )


def read_attributes(reader: packet.PacketReader) -> dict[str, str]:
    """Reads the query attributes that precede the SQL text of a COM_QUERY."""
    count = reader.read_length()
    reader.read_length()  # The number of parameter sets, always 1.
    if not count:
        return {}
    names, values = _read_values(
        reader, EmulatedPreparedStatement(0, ("",)), count, True
    )
    return _to_attributes(names, values)


def _read_values(
    reader: packet.PacketReader,
    statement: EmulatedPreparedStatement,
    count: int,
    has_attributes: bool,
) -> tuple[list[str], list[parameter.ParameterValue]]:
    if not count:
        return [], []
    null_bitmap = reader.read_bytes((count + 7) // 8)
    names = [""] * count
    kinds = list(statement.parameter_types)
    if reader.read_uint(1):
        kinds = []
        for index in range(count):
            kinds.append(parameter.read_type(reader))
            if has_attributes:
                names[index] = packet.text(reader.read_length_prefixed())
        statement.parameter_types = tuple(kinds)
    if len(kinds) != count:
        raise packet.malformed("the parameters' types are missing")
    values = [
        _read_value(reader, statement, index, kind, null_bitmap)
        for index, kind in enumerate(kinds)
    ]
    return names, values


def _read_value(
    reader: packet.PacketReader,
    statement: EmulatedPreparedStatement,
    index: int,
    kind: parameter.ParameterType,
    null_bitmap: bytes,
) -> parameter.ParameterValue:
    if null_bitmap[index // 8] >> index % 8 & 1:
        return None
    long_data = statement.long_data.get(index)
    if long_data is not None:
        return parameter.value_from_bytes(bytes(long_data), kind)
    return parameter.read_value(reader, kind)


def _to_attributes(
    names: list[str], values: list[parameter.ParameterValue]
) -> dict[str, str]:
    return {
        name: str(value)
        for name, value in zip(names, values, strict=True)
        if name
        and value is not None
        and not isinstance(value, parameter.Binary)
    }
