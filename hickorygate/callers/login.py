"""The packets in which a caller says who it is, and the users."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from mysql_mimic import auth
from mysql_mimic import types as mimic_types

from hickorygate.callers import packet as packets
from hickorygate.core import types

__all__ = ["Login", "Users", "is_tls_request", "read_change", "read_login"]

_TLS_REQUEST_BYTES = 32
_FILLER_BYTES = 23
_NOBODY = "00" * 20
"""The hash of no known password."""

_Capability = mimic_types.Capabilities


@dataclasses.dataclass(frozen=True, slots=True)
class Login:
    """Who connects.

    Attributes:
      capabilities: what both ends can do.
      user: the name.
      proof: the scrambled password.
      schema: to select; None for none.
      plugin: how the password was scrambled.
      attributes: the connection's attributes.
    """

    capabilities: mimic_types.Capabilities
    user: types.CallerName
    proof: bytes
    schema: types.SchemaName | None
    plugin: str
    attributes: dict[str, str]


class Users(auth.IdentityProvider):
    """The users that may log in, by their passwords."""

    def __init__(self, passwords: Mapping[types.CallerName, str]) -> None:
        plugin = auth.NativePasswordAuthPlugin
        self._hashes = {
            name: plugin.create_auth_string(password) if password else ""
            for name, password in passwords.items()
        }

    async def get_user(self, username: str) -> auth.User:
        """Returns the user; an unknown one has a password nobody knows."""
        plugin = auth.NativePasswordAuthPlugin.name
        hashed = self._hashes.get(username, _NOBODY)
        return auth.User(username, hashed, auth_plugin=plugin)


def is_tls_request(data: bytes) -> bool:
    """Tells whether a caller wants TLS before it says who it is."""
    return len(data) == _TLS_REQUEST_BYTES


def read_login(data: bytes, offered: mimic_types.Capabilities) -> Login:
    """Reads the answer to the greeting."""
    reader = packets.Reader(data)
    wanted = _Capability(reader.uint(4) & int(offered))
    if _Capability.CLIENT_PROTOCOL_41 not in wanted:
        raise packets.malformed("a client older than MySQL 4.1")
    reader.take(4)  # The longest packet that the client takes.
    reader.take(1)  # The character set; the proxy speaks UTF-8.
    reader.take(_FILLER_BYTES)
    user = packets.text(reader.terminated())
    if _Capability.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in wanted:
        proof = reader.length_bytes()
    else:
        proof = reader.take(reader.uint(1))
    schema = ""
    if _Capability.CLIENT_CONNECT_WITH_DB in wanted:
        schema = packets.text(reader.terminated())
    return _rest(reader, wanted, user, proof, schema)


def read_change(data: bytes, agreed: mimic_types.Capabilities) -> Login:
    """Reads a change of user."""
    reader = packets.Reader(data)
    user = packets.text(reader.terminated())
    proof = reader.take(reader.uint(1))
    schema = packets.text(reader.terminated())
    if reader.left:
        reader.take(2)  # The character set.
    return _rest(reader, agreed, user, proof, schema)


def _rest(
    reader: packets.Reader,
    capabilities: mimic_types.Capabilities,
    user: types.CallerName,
    proof: bytes,
    schema: types.SchemaName,
) -> Login:
    plugin = ""
    if _Capability.CLIENT_PLUGIN_AUTH in capabilities and reader.left:
        plugin = packets.text(reader.terminated())
    attributes = {}
    if _Capability.CLIENT_CONNECT_ATTRS in capabilities and reader.left:
        attributes = _attributes(packets.Reader(reader.length_bytes()))
    return Login(capabilities, user, proof, schema or None, plugin, attributes)


def _attributes(reader: packets.Reader) -> dict[str, str]:
    attributes = {}
    while reader.left:
        name = packets.text(reader.length_bytes())
        attributes[name] = packets.text(reader.length_bytes())
    return attributes
