"""Encodes column definitions and rows in the text and binary protocols.

Cells are in MySQL's text form if they come from a database, or Python values
if they come from a stand-in database or the proxy itself. Column types are
given by their MySQL numbers.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import re
import struct

from hickorygate.callers import packet
from hickorygate.core import types
from hickorygate.upstreams import answer

__all__ = [
    "CellEncoder",
    "binary_encoders",
    "encode_binary_row",
    "encode_column",
    "encode_text_row",
]

CellEncoder = Callable[[types.Cell], bytes]
"""Encodes a non-NULL cell of one column."""

_NULL_CELL = b"\xfb"
_FIXED_FIELDS_LENGTH = 0x0C
"""Size in bytes of the fixed-length fields of a column definition."""

_UNSIGNED_FLAG = 32
_UTF8MB4 = 45
_DEFAULT_COLUMN_LENGTH = 1_024
"""Column length that callers get if the length isn't known."""

_INTEGER_WIDTHS = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2}
"""Width in bytes of each integer type, with YEAR (13)."""

_FLOAT_TYPE = 4
_DOUBLE_TYPE = 5
_TIME_TYPE = 11
_DATE_TYPES = frozenset({7, 10, 12, 14})
"""TIMESTAMP, DATE, DATETIME, NEWDATE."""

_DATE_PATTERN = re.compile(
    r"(\d+)-(\d+)-(\d+)(?:[ T](\d+):(\d+):(\d+)(?:\.(\d{1,6}))?)?"
)
_TIME_PATTERN = re.compile(r"(-?)(\d+):(\d+):(\d+)(?:\.(\d{1,6}))?")


def encode_column(definition: answer.Column) -> bytes:
    """Encodes a column definition."""
    name = packet.encode_length_prefixed(definition.name.encode())
    charset = definition.charset or _UTF8MB4
    return b"".join(
        (
            packet.encode_length_prefixed(b"def"),
            b"\x00\x00\x00",  # Empty schema, table and original table.
            name,
            name,
            packet.encode_uint(_FIXED_FIELDS_LENGTH, 1),
            packet.encode_uint(charset, 2),
            packet.encode_uint(definition.length or _DEFAULT_COLUMN_LENGTH, 4),
            packet.encode_uint(definition.type_code, 1),
            packet.encode_uint(definition.flags, 2),
            packet.encode_uint(definition.decimals, 1),
            b"\x00\x00",
        )
    )


def encode_text_row(row: types.Row) -> bytes:
    """Encodes a row in the text protocol."""
    parts = []
    for cell in row:
        if cell is None:
            parts.append(_NULL_CELL)
            continue
        data = _to_bytes(cell)
        parts.append(packet.encode_length(len(data)))
        parts.append(data)
    return b"".join(parts)


def binary_encoders(
    columns: tuple[answer.Column, ...],
) -> tuple[CellEncoder, ...]:
    """Returns the encoder of each column, for `encode_binary_row`."""
    return tuple(_select_encoder(definition) for definition in columns)


def encode_binary_row(
    encoders: tuple[CellEncoder, ...], row: types.Row
) -> bytes:
    """Encodes a row in the binary protocol.

    Args:
      encoders: one encoder for each cell.
      row: cells to encode; None is NULL.

    Raises:
      ValueError: a cell can't be parsed as the type of its column.
    """
    null_bitmap = bytearray((len(row) + 9) // 8)
    parts = []
    for index, cell in enumerate(row):
        if cell is None:
            null_bitmap[(index + 2) // 8] |= 1 << (index + 2) % 8
        else:
            parts.append(encoders[index](cell))
    return b"\x00" + bytes(null_bitmap) + b"".join(parts)


def _to_bytes(cell: types.Cell) -> bytes:
    if isinstance(cell, bytes):
        return cell
    if isinstance(cell, str):
        return cell.encode()
    return str(cell).encode()


def _select_encoder(definition: answer.Column) -> CellEncoder:
    code = definition.type_code
    if code in _INTEGER_WIDTHS:
        signed = not definition.flags & _UNSIGNED_FLAG
        return functools.partial(_encode_integer, _INTEGER_WIDTHS[code], signed)
    if code == _FLOAT_TYPE:
        return functools.partial(_encode_float, "<f")
    if code == _DOUBLE_TYPE:
        return functools.partial(_encode_float, "<d")
    if code in _DATE_TYPES:
        return _encode_date
    if code == _TIME_TYPE:
        return _encode_time
    return _encode_bytes


def _encode_integer(width: int, signed: bool, cell: types.Cell) -> bytes:
    number = int(cell or 0)
    try:
        return number.to_bytes(width, "little", signed=signed)
    except OverflowError as error:
        raise ValueError(f"{number} needs more than {width} bytes") from error


def _encode_float(float_format: str, cell: types.Cell) -> bytes:
    return struct.pack(float_format, float(cell or 0))


def _encode_bytes(cell: types.Cell) -> bytes:
    return packet.encode_length_prefixed(_to_bytes(cell))


def _encode_date(cell: types.Cell) -> bytes:
    match = _DATE_PATTERN.match(_to_bytes(cell).decode())
    if match is None:
        raise ValueError(f"not a date: {cell!r}")
    numbers = [int(part or 0) for part in match.groups()[:6]]
    micros = int((match.group(7) or "").ljust(6, "0"))
    if not any(numbers) and not micros:
        return b"\x00"
    day = packet.encode_uint(numbers[0], 2) + bytes(numbers[1:3])
    if micros:
        time = bytes(numbers[3:]) + packet.encode_uint(micros, 4)
        return b"\x0b" + day + time
    if any(numbers[3:]):
        return b"\x07" + day + bytes(numbers[3:])
    return b"\x04" + day


def _encode_time(cell: types.Cell) -> bytes:
    match = _TIME_PATTERN.match(_to_bytes(cell).decode())
    if match is None:
        raise ValueError(f"not a time: {cell!r}")
    days, hours = divmod(int(match.group(2)), 24)
    minutes, seconds = int(match.group(3)), int(match.group(4))
    micros = int((match.group(5) or "").ljust(6, "0"))
    if not any((days, hours, minutes, seconds, micros)):
        return b"\x00"
    sign = b"\x01" if match.group(1) else b"\x00"
    time = sign + packet.encode_uint(days, 4) + bytes((hours, minutes, seconds))
    if micros:
        return b"\x0c" + time + packet.encode_uint(micros, 4)
    return b"\x08" + time
