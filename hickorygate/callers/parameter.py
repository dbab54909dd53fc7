"""Parameters of the binary protocol, and the literals made of them."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import decimal
import functools
import math
import struct

from hickorygate.callers import packet as packets
from hickorygate.callers import protocol_errors
from hickorygate.core import errors

__all__ = [
    "Binary",
    "Kind",
    "Value",
    "from_bytes",
    "literal",
    "read_kind",
    "read_value",
]

_UNSIGNED = 0x80
_NULL = 6
_FLOAT = 4
_DOUBLE = 5
_TIME = 11
_INTEGER_BYTES = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2, 244: 1}
_DATES = frozenset({7, 10, 12, 14})
_DECIMALS = frozenset({0, 246})
_BINARIES = frozenset({16, 249, 250, 251, 252, 255})
_TEXTS = frozenset({15, 245, 247, 248, 253, 254})
_DIGITS = 65
"""The most digits of a DECIMAL."""

_ESCAPES = str.maketrans({"\\": "\\\\", "'": "''", "\x00": "\\0"})


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A parameter's type.

    Attributes:
      code: MySQL's column type number.
      unsigned: whether an integer has no sign.
    """

    code: int
    unsigned: bool

    @property
    def binary(self) -> bool:
        """Whether its bytes are no text."""
        return self.code in _BINARIES


@dataclasses.dataclass(frozen=True, slots=True)
class Binary:
    """Bytes that are no text."""

    data: bytes


Value = None | int | float | decimal.Decimal | str | Binary


def read_kind(reader: packets.Reader) -> Kind:
    """Takes a parameter's type."""
    code = reader.uint(1)
    return Kind(code, bool(reader.uint(1) & _UNSIGNED))


def read_value(reader: packets.Reader, kind: Kind) -> Value:
    """Takes a parameter that isn't null."""
    code = kind.code
    if code == _NULL:
        return None
    width = _INTEGER_BYTES.get(code)
    if width is not None:
        return reader.uint(width) if kind.unsigned else reader.sint(width)
    if code == _FLOAT:
        return struct.unpack("<f", reader.take(4))[0]
    if code == _DOUBLE:
        return struct.unpack("<d", reader.take(8))[0]
    if code in _DATES:
        return _date(reader)
    if code == _TIME:
        return _time(reader)
    return from_bytes(reader.length_bytes(), kind)


def from_bytes(data: bytes, kind: Kind) -> Value:
    """Returns the value of bytes that came as text, number or binary."""
    if kind.code in _DECIMALS:
        return _decimal(data)
    if kind.binary:
        return Binary(data)
    if kind.code not in _TEXTS:
        reason = f"type {kind.code} of a parameter is unknown"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    try:
        return data.decode()
    except UnicodeDecodeError:
        return Binary(data)


@functools.singledispatch
def literal(value: Value) -> str:
    """Returns a value as SQL that can stand in a parameter's place."""
    raise TypeError(f"no literal for {value!r}; register one")


@literal.register
def _(value: None) -> str:
    return "NULL"


@literal.register
def _(value: int) -> str:
    # The space keeps two minus signs from opening a comment.
    return f" {value}"


@literal.register
def _(value: float) -> str:
    if not math.isfinite(value):
        reason = f"{value} is no number that MySQL knows"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    digits = repr(value)
    return f" {digits}" if "e" in digits else f" {digits}e0"


@literal.register
def _(value: decimal.Decimal) -> str:
    return f" {value:f}"


@literal.register
def _(value: str) -> str:
    return f"'{value.translate(_ESCAPES)}'"


@literal.register
def _(value: Binary) -> str:
    return f"x'{value.data.hex()}'"


def _decimal(data: bytes) -> decimal.Decimal:
    try:
        number = decimal.Decimal(data.decode("ascii"))
    except (UnicodeDecodeError, decimal.InvalidOperation) as error:
        reason = f"{data[:40]!r} is no decimal number"
        raise errors.FailureError(
            protocol_errors.BadParameter(reason)
        ) from error
    if not number.is_finite() or abs(number.adjusted()) > _DIGITS:
        reason = f"{data[:40]!r} is out of a decimal's range"
        raise errors.FailureError(protocol_errors.BadParameter(reason))
    return number


def _date(reader: packets.Reader) -> str:
    size = _size(reader, (0, 4, 7, 11))
    year = reader.uint(2) if size else 0
    month, day = _bytes(reader, 2) if size else (0, 0)
    text = f"{year:04}-{month:02}-{day:02}"
    if size > 4:
        hour, minute, second = _bytes(reader, 3)
        text += f" {hour:02}:{minute:02}:{second:02}"
    if size > 7:
        text += f".{reader.uint(4):06}"
    return text


def _time(reader: packets.Reader) -> str:
    size = _size(reader, (0, 8, 12))
    if not size:
        return "00:00:00"
    sign = "-" if reader.uint(1) else ""
    days = reader.uint(4)
    hour, minute, second = _bytes(reader, 3)
    text = f"{sign}{days * 24 + hour:02}:{minute:02}:{second:02}"
    if size > 8:
        text += f".{reader.uint(4):06}"
    return text


def _bytes(reader: packets.Reader, count: int) -> Sequence[int]:
    return reader.take(count)


def _size(reader: packets.Reader, known: tuple[int, ...]) -> int:
    size = reader.uint(1)
    if size not in known:
        raise packets.malformed(f"a date or time of {size} bytes")
    return size
