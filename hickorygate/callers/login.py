"""Decoder of login packets, and the users that may log in."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from mysql_mimic import auth
from mysql_mimic import types as mimic_types

from hickorygate.callers import packet
from hickorygate.core import types

__all__ = [
    "LoginRequest",
    "Users",
    "is_tls_request",
    "read_change_user",
    "read_login",
]

_TLS_REQUEST_BYTES = 32
"""Size of a TLS request: a handshake response that ends before the user."""

_FILLER_BYTES = 23
_UNKNOWN_USER_HASH = "00" * 20
"""Password hash used for an unknown user; no known password has this hash."""

_Capability = mimic_types.Capabilities


@dataclasses.dataclass(frozen=True, slots=True)
class LoginRequest:
    """A decoded handshake response or COM_CHANGE_USER.

    Attributes:
      capabilities: capabilities that both ends support.
      user: name of the user.
      auth_response: authentication response, a hash of the password and the
        nonce.
      schema: schema to select; None if the caller names none.
      plugin: authentication plugin that computed the response; empty if the
        caller names none.
      attributes: connection attributes.
    """

    capabilities: mimic_types.Capabilities
    user: types.CallerName
    auth_response: bytes
    schema: types.SchemaName | None
    plugin: str
    attributes: dict[str, str]


class Users(auth.IdentityProvider):
    """The users that may log in, with hashes of their passwords.

    Args:
      passwords: password of each user; an empty one means no password.
    """

    def __init__(self, passwords: Mapping[types.CallerName, str]) -> None:
        plugin = auth.NativePasswordAuthPlugin
        self._hashes = {
            name: plugin.create_auth_string(password) if password else ""
            for name, password in passwords.items()
        }

    async def get_user(self, username: str) -> auth.User:
        """Returns a user with its password hash.

        An unknown name gets a hash that no known password has, so its login
        fails like one with a wrong password.
        """
        plugin = auth.NativePasswordAuthPlugin.name
        hashed = self._hashes.get(username, _UNKNOWN_USER_HASH)
        return auth.User(username, hashed, auth_plugin=plugin)


def is_tls_request(data: bytes) -> bool:
    """Tells whether the first packet of a caller is a TLS request."""
    return len(data) == _TLS_REQUEST_BYTES


def read_login(data: bytes, offered: mimic_types.Capabilities) -> LoginRequest:
    """Decodes a handshake response.

    Args:
      data: the packet.
      offered: capabilities of the proxy.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """
    reader = packet.PacketReader(data)
    requested = _Capability(reader.read_uint(4) & int(offered))
    if _Capability.CLIENT_PROTOCOL_41 not in requested:
        raise packet.malformed("a client older than MySQL 4.1")
    reader.read_bytes(4)  # The client's maximum packet size.
    reader.read_bytes(1)  # The character set; the proxy uses UTF-8.
    reader.read_bytes(_FILLER_BYTES)
    user = packet.text(reader.read_null_terminated())
    if _Capability.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in requested:
        auth_response = reader.read_length_prefixed()
    else:
        auth_response = reader.read_bytes(reader.read_uint(1))
    schema = ""
    if _Capability.CLIENT_CONNECT_WITH_DB in requested:
        schema = packet.text(reader.read_null_terminated())
    return _read_plugin_and_attributes(
        reader, requested, user, auth_response, schema
    )


def read_change_user(
    data: bytes, agreed: mimic_types.Capabilities
) -> LoginRequest:
    """Decodes the body of a COM_CHANGE_USER.

    Args:
      data: body of the packet.
      agreed: capabilities that both ends support.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """
    reader = packet.PacketReader(data)
    user = packet.text(reader.read_null_terminated())
    auth_response = reader.read_bytes(reader.read_uint(1))
    schema = packet.text(reader.read_null_terminated())
    if reader.remaining:
        reader.read_bytes(2)  # The character set.
    return _read_plugin_and_attributes(
        reader, agreed, user, auth_response, schema
    )


def _read_plugin_and_attributes(
    reader: packet.PacketReader,
    capabilities: mimic_types.Capabilities,
    user: types.CallerName,
    auth_response: bytes,
    schema: types.SchemaName,
) -> LoginRequest:
    plugin = ""
    if _Capability.CLIENT_PLUGIN_AUTH in capabilities and reader.remaining:
        plugin = packet.text(reader.read_null_terminated())
    attributes = {}
    if _Capability.CLIENT_CONNECT_ATTRS in capabilities and reader.remaining:
        attributes = _read_attributes(
            packet.PacketReader(reader.read_length_prefixed())
        )
    return LoginRequest(
        capabilities, user, auth_response, schema or None, plugin, attributes
    )


def _read_attributes(reader: packet.PacketReader) -> dict[str, str]:
    attributes = {}
    while reader.remaining:
        name = packet.text(reader.read_length_prefixed())
        attributes[name] = packet.text(reader.read_length_prefixed())
    return attributes
