"""Decodes parameters of the binary protocol and writes them as literals.

Column types are given by their MySQL numbers.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import decimal
import functools
import math
import struct

from hickorygate.callers import packet
from hickorygate.callers import protocol_errors
from hickorygate.core import errors

__all__ = [
    "Binary",
    "ParameterType",
    "ParameterValue",
    "value_from_bytes",
    "sql_literal",
    "read_type",
    "read_value",
]

_UNSIGNED_FLAG = 0x80
_NULL_TYPE = 6
_FLOAT_TYPE = 4
_DOUBLE_TYPE = 5
_TIME_TYPE = 11
_INTEGER_WIDTHS = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2, 244: 1}
"""Width in bytes of each integer type, with YEAR (13) and BOOL (244)."""

_DATE_TYPES = frozenset({7, 10, 12, 14})
"""TIMESTAMP, DATE, DATETIME, NEWDATE."""

_DECIMAL_TYPES = frozenset({0, 246})
"""DECIMAL, NEWDECIMAL."""

_BINARY_TYPES = frozenset({16, 249, 250, 251, 252, 255})
"""BIT, the BLOB types, GEOMETRY."""

_TEXT_TYPES = frozenset({15, 245, 247, 248, 253, 254})
"""VARCHAR, JSON, ENUM, SET, VAR_STRING, STRING."""

_MAX_DECIMAL_DIGITS = 65
"""Maximum number of digits of a DECIMAL."""

_ESCAPES = str.maketrans({"\\": "\\\\", "'": "''", "\x00": "\\0"})
"""Replacements of special characters in a string literal."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParameterType:
    """Type of a parameter.

    Attributes:
      code: MySQL's number of the column type.
      unsigned: whether an integer is unsigned.
    """

    code: int
    unsigned: bool

    @property
    def binary(self) -> bool:
        """Whether values of this type are binary data."""
        return self.code in _BINARY_TYPES


@dataclasses.dataclass(frozen=True, slots=True)
class Binary:
    """Binary data.

    Attributes:
      data: the bytes.
    """

    data: bytes


ParameterValue = None | int | float | decimal.Decimal | str | Binary
"""Decoded value of a parameter; None is NULL."""


def read_type(reader: packet.PacketReader) -> ParameterType:
    """Reads the type of a parameter."""
    code = reader.read_uint(1)
    return ParameterType(code, bool(reader.read_uint(1) & _UNSIGNED_FLAG))


def read_value(
    reader: packet.PacketReader, kind: ParameterType
) -> ParameterValue:
    """Reads the value of a parameter that is not in the NULL bitmap.

    Args:
      reader: reader positioned at the value.
      kind: type of the parameter.

    Raises:
      errors.FailureError: the packet is malformed, or the type is unknown or
        doesn't fit the value.
    """
    code = kind.code
    if code == _NULL_TYPE:
        return None
    width = _INTEGER_WIDTHS.get(code)
    if width is not None:
        return (
            reader.read_uint(width) if kind.unsigned else reader.read_int(width)
        )
    if code == _FLOAT_TYPE:
        return struct.unpack("<f", reader.read_bytes(4))[0]
    if code == _DOUBLE_TYPE:
        return struct.unpack("<d", reader.read_bytes(8))[0]
    if code in _DATE_TYPES:
        return _read_date(reader)
    if code == _TIME_TYPE:
        return _read_time(reader)
    return value_from_bytes(reader.read_length_prefixed(), kind)


def value_from_bytes(data: bytes, kind: ParameterType) -> ParameterValue:
    """Returns the value of a parameter that was sent as bytes.

    Text that is not UTF-8 becomes a binary value.

    Args:
      data: bytes of the value, in text form for a DECIMAL.
      kind: type of the parameter.

    Raises:
      errors.FailureError: with a `BadParameter`, if the type is unknown or
        the bytes are not a valid DECIMAL.
    """
    if kind.code in _DECIMAL_TYPES:
        return _parse_decimal(data)
    if kind.binary:
        return Binary(data)
    if kind.code not in _TEXT_TYPES:
        reason = f"type {kind.code} of a parameter is unknown"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    try:
        return data.decode()
    except UnicodeDecodeError:
        return Binary(data)


@functools.singledispatch
def sql_literal(value: ParameterValue) -> str:
    """Returns the SQL literal that replaces a parameter.

    Raises:
      errors.FailureError: with a `BadParameter`, if MySQL has no literal for
        the value.
    """
    raise TypeError(f"no SQL literal for {value!r}; register one")


@sql_literal.register
def _(value: None) -> str:
    return "NULL"


@sql_literal.register
def _(value: int) -> str:
    # Without the space, `-?` with a negative value would start a `--` comment.
    return f" {value}"


@sql_literal.register
def _(value: float) -> str:
    if not math.isfinite(value):
        reason = f"{value} is no number that MySQL knows"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    digits = repr(value)
    return f" {digits}" if "e" in digits else f" {digits}e0"


@sql_literal.register
def _(value: decimal.Decimal) -> str:
    return f" {value:f}"


@sql_literal.register
def _(value: str) -> str:
    return f"'{value.translate(_ESCAPES)}'"


@sql_literal.register
def _(value: Binary) -> str:
    return f"x'{value.data.hex()}'"


def _parse_decimal(data: bytes) -> decimal.Decimal:
    try:
        number = decimal.Decimal(data.decode("ascii"))
    except (UnicodeDecodeError, decimal.InvalidOperation) as error:
        reason = f"{data[:40]!r} is no decimal number"
        raise errors.FailureError(
            protocol_errors.BadParameter(reason)
        ) from error
    if not number.is_finite() or abs(number.adjusted()) > _MAX_DECIMAL_DIGITS:
        reason = f"{data[:40]!r} is out of a decimal's range"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    return number


def _read_date(reader: packet.PacketReader) -> str:
    size = _read_size(reader, (0, 4, 7, 11))
    year = reader.read_uint(2) if size else 0
    month, day = _read_bytes(reader, 2) if size else (0, 0)
    text = f"{year:04}-{month:02}-{day:02}"
    if size > 4:
        hour, minute, second = _read_bytes(reader, 3)
        text += f" {hour:02}:{minute:02}:{second:02}"
    if size > 7:
        text += f".{reader.read_uint(4):06}"
    return text


def _read_time(reader: packet.PacketReader) -> str:
    size = _read_size(reader, (0, 8, 12))
    if not size:
        return "00:00:00"
    sign = "-" if reader.read_uint(1) else ""
    days = reader.read_uint(4)
    hour, minute, second = _read_bytes(reader, 3)
    text = f"{sign}{days * 24 + hour:02}:{minute:02}:{second:02}"
    if size > 8:
        text += f".{reader.read_uint(4):06}"
    return text


def _read_bytes(reader: packet.PacketReader, count: int) -> Sequence[int]:
    return reader.read_bytes(count)


def _read_size(reader: packet.PacketReader, allowed: tuple[int, ...]) -> int:
    size = reader.read_uint(1)
    if size not in allowed:
        raise packet.malformed(f"a date or time of {size} bytes")
    return size
