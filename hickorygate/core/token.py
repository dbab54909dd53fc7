"""Session tokens, which carry a session's read-your-writes state.

A token holds the position of the session's newest write in each group, and is
signed, so that another proxy can continue the session.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
import hashlib
import hmac

import expression
import msgpack

from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import types

__all__ = ["TOKEN_LIMIT", "Floors", "issue", "read"]

TOKEN_LIMIT = 4_096
"""Maximum length of a token, in characters; longer ones aren't decoded."""

_SIGNATURE_BYTES = 16

Floors = Mapping[types.GroupName, position.Position]
"""For each group, the least position that reads of the session must see."""


def _signature(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:_SIGNATURE_BYTES]


def issue(floors: Floors, key: bytes) -> str:
    """Returns a signed token.

    Args:
      floors: position of the session's newest write in each group.
      key: secret that all proxies share.
    """
    body = msgpack.packb(
        {name: (f.term, f.offset) for name, f in sorted(floors.items())}
    )
    return base64.urlsafe_b64encode(_signature(body, key) + body).decode()


def read(token: str, key: bytes) -> expression.Result[Floors, errors.BadToken]:
    """Verifies a token and returns the floors in it.

    Args:
      token: what `issue` returned.
      key: secret that all proxies share.

    Returns:
      The floors, or `BadToken` if the token is too long, malformed or forged.
    """
    if len(token) > TOKEN_LIMIT:
        reason = f"{len(token)} characters, over the limit of {TOKEN_LIMIT}"
        return expression.Error(errors.BadToken(reason))
    try:
        raw = base64.urlsafe_b64decode(token.encode("ascii"))
    except (UnicodeEncodeError, binascii.Error):
        return expression.Error(errors.BadToken("not base64"))
    signature, body = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(body, key)):
        return expression.Error(errors.BadToken("wrong signature"))
    floors = msgpack.unpackb(body)
    return expression.Ok(
        {
            name: position.Position(term, offset)
            for name, (term, offset) in floors.items()
        }
    )
