"""Encodes columns and rows, in the text and in the binary protocol.

Cells come as the database's text form, or as Python values from a stand-in
or the proxy itself.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import re
import struct

from hickorygate.callers import packet as packets
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["CellEncoder", "binary_encoders", "binary_row", "column", "text_row"]

CellEncoder = Callable[[types.Cell], bytes]

_NULL_CELL = b"\xfb"
_FIXED_FIELDS = 0x0C
"""Bytes of a column's fields of fixed length."""

_UNSIGNED_FLAG = 32
_UTF8MB4 = 45
_CELL_LENGTH = 1_024
_INTEGER_BYTES = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2}
_FLOAT = 4
_DOUBLE = 5
_TIME = 11
_DATES = frozenset({7, 10, 12, 14})
_DATE = re.compile(
    r"(\d+)-(\d+)-(\d+)(?:[ T](\d+):(\d+):(\d+)(?:\.(\d{1,6}))?)?"
)
_CLOCK = re.compile(r"(-?)(\d+):(\d+):(\d+)(?:\.(\d{1,6}))?")


def column(definition: answers.Column) -> bytes:
    """Builds a column's definition."""
    name = packets.length_bytes(definition.name.encode())
    charset = definition.charset or _UTF8MB4
    return b"".join(
        (
            packets.length_bytes(b"def"),
            b"\x00\x00\x00",  # No schema, table or original table.
            name,
            name,
            packets.uint(_FIXED_FIELDS, 1),
            packets.uint(charset, 2),
            packets.uint(definition.length or _CELL_LENGTH, 4),
            packets.uint(definition.type_code, 1),
            packets.uint(definition.flags, 2),
            packets.uint(definition.decimals, 1),
            b"\x00\x00",
        )
    )


def text_row(row: types.Row) -> bytes:
    """Builds a row of the text protocol."""
    parts = []
    for cell in row:
        if cell is None:
            parts.append(_NULL_CELL)
            continue
        data = _text(cell)
        parts.append(packets.length(len(data)))
        parts.append(data)
    return b"".join(parts)


def binary_encoders(
    columns: tuple[answers.Column, ...],
) -> tuple[CellEncoder, ...]:
    """Returns what encodes each column's cells."""
    return tuple(_encoder(definition) for definition in columns)


def binary_row(encoders: tuple[CellEncoder, ...], row: types.Row) -> bytes:
    """Builds a row of the binary protocol."""
    nulls = bytearray((len(row) + 9) // 8)
    parts = []
    for index, cell in enumerate(row):
        if cell is None:
            nulls[(index + 2) // 8] |= 1 << (index + 2) % 8
        else:
            parts.append(encoders[index](cell))
    return b"\x00" + bytes(nulls) + b"".join(parts)


def _text(cell: types.Cell) -> bytes:
    if isinstance(cell, bytes):
        return cell
    if isinstance(cell, str):
        return cell.encode()
    return str(cell).encode()


def _encoder(definition: answers.Column) -> CellEncoder:
    code = definition.type_code
    if code in _INTEGER_BYTES:
        signed = not definition.flags & _UNSIGNED_FLAG
        return functools.partial(_integer, _INTEGER_BYTES[code], signed)
    if code == _FLOAT:
        return functools.partial(_real, "<f")
    if code == _DOUBLE:
        return functools.partial(_real, "<d")
    if code in _DATES:
        return _date
    if code == _TIME:
        return _time
    return _bytes


def _integer(width: int, signed: bool, cell: types.Cell) -> bytes:
    number = int(cell or 0)
    return number.to_bytes(width, "little", signed=signed and number < 0)


def _real(form: str, cell: types.Cell) -> bytes:
    return struct.pack(form, float(cell or 0))


def _bytes(cell: types.Cell) -> bytes:
    return packets.length_bytes(_text(cell))


def _date(cell: types.Cell) -> bytes:
    match = _DATE.match(_text(cell).decode())
    if match is None:
        raise ValueError(f"no date: {cell!r}")
    numbers = [int(part or 0) for part in match.groups()[:6]]
    micros = int((match.group(7) or "").ljust(6, "0"))
    if not any(numbers) and not micros:
        return b"\x00"
    day = packets.uint(numbers[0], 2) + bytes(numbers[1:3])
    if micros:
        time = bytes(numbers[3:]) + packets.uint(micros, 4)
        return b"\x0b" + day + time
    if any(numbers[3:]):
        return b"\x07" + day + bytes(numbers[3:])
    return b"\x04" + day


def _time(cell: types.Cell) -> bytes:
    match = _CLOCK.match(_text(cell).decode())
    if match is None:
        raise ValueError(f"no time: {cell!r}")
    days, hours = divmod(int(match.group(2)), 24)
    minutes, seconds = int(match.group(3)), int(match.group(4))
    micros = int((match.group(5) or "").ljust(6, "0"))
    if not any((days, hours, minutes, seconds, micros)):
        return b"\x00"
    sign = b"\x01" if match.group(1) else b"\x00"
    time = sign + packets.uint(days, 4) + bytes((hours, minutes, seconds))
    if micros:
        return b"\x0c" + time + packets.uint(micros, 4)
    return b"\x08" + time
