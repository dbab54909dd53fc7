"""A MySQL client that sends arbitrary packets, for tests of invalid input."""

from __future__ import annotations

import asyncio

from hickorygate.core import types

__all__ = ["RawClient", "connect", "log_in", "login_packet"]

_CAPABILITIES = 0x0000_8201
"""Capability flags: protocol 4.1, long password, secure connection."""

_QUERY_ATTRIBUTES = 0x0800_0000
_LOGIN_TAIL = (1 << 24).to_bytes(4, "little") + b"\x2d" + bytes(23)
_ONE_ATTRIBUTE = b"\x01\x01\x00\x01"
"""Header of one query attribute: one parameter, one set, not NULL, typed."""

_VAR_STRING_TYPE = b"\xfd\x00"
_BUFFER_BYTES = 65_536
_ERROR_HEADER = 0xFF


class RawClient:
    """A connection that sends and reads single packets."""

    __slots__ = ("_reader", "_writer")

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def __repr__(self) -> str:
        return f"RawClient({self._writer.get_extra_info('peername')})"

    def send_bytes(self, data: bytes) -> None:
        """Sends bytes without a packet header."""
        self._writer.write(data)

    def send(self, payload: bytes, sequence: int = 0) -> None:
        """Sends one packet."""
        header = len(payload).to_bytes(3, "little") + bytes((sequence,))
        self._writer.write(header + payload)

    def query(self, sql: str) -> None:
        """Sends a statement without waiting for its answer."""
        self.send(b"\x03" + sql.encode())

    def query_with_attribute(self, sql: str, name: str, value: str) -> None:
        """Sends a statement with one query attribute.

        The client must have logged in with `attributes`.
        """
        attribute = (
            _VAR_STRING_TYPE + _length_prefixed(name) + _length_prefixed(value)
        )
        self.send(b"\x03" + _ONE_ATTRIBUTE + attribute + sql.encode())

    async def read(self) -> bytes:
        """Returns the payload of one packet; empty if the connection ended."""
        try:
            header = await self._reader.readexactly(4)
            length = int.from_bytes(header[:3], "little")
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def read_bytes(self) -> bytes:
        """Returns received bytes undecoded, at most one buffer full."""
        return await self._reader.read(_BUFFER_BYTES)

    async def read_error_code(self) -> int:
        """Returns the error number of the next packet; 0 if it is no error."""
        packet = await self.read()
        if not packet or packet[0] != _ERROR_HEADER:
            return 0
        return int.from_bytes(packet[1:3], "little")

    async def read_to_end(self) -> None:
        """Reads until the server closes the connection."""
        while await self.read():
            pass

    async def close(self) -> None:
        """Closes the connection."""
        self._writer.close()
        try:
            await self._writer.wait_closed()
        except ConnectionError:
            return


def _length_prefixed(text: str) -> bytes:
    """Encodes a string of less than 251 bytes with its length before it."""
    return bytes((len(text),)) + text.encode()


def login_packet(user: types.CallerName, attributes: bool = False) -> bytes:
    """Returns the login of a user that has no password.

    Args:
      user: name of the user.
      attributes: whether each statement carries query attributes.
    """
    capabilities = _CAPABILITIES | (_QUERY_ATTRIBUTES if attributes else 0)
    head = capabilities.to_bytes(4, "little") + _LOGIN_TAIL
    return head + user.encode() + b"\x00\x00"


async def connect(port: int) -> RawClient:
    """Connects without logging in."""
    return RawClient(*await asyncio.open_connection("127.0.0.1", port))


async def log_in(
    port: int, user: types.CallerName, attributes: bool = False
) -> RawClient:
    """Connects and logs in a user that has no password.

    Args:
      port: port of the server on this machine.
      user: name of the user.
      attributes: whether each statement carries query attributes.
    """
    client = await connect(port)
    await client.read()
    client.send(login_packet(user, attributes), sequence=1)
    await client.read()
    return client
