"""Session tokens: a session's write floors, signed, for the next proxy."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
import hashlib
import hmac

import expression
import msgpack

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["TOKEN_LIMIT", "Floors", "issue", "read"]

TOKEN_LIMIT = 4_096
"""The longest token that is looked at, in characters."""

_SIGNATURE_BYTES = 16

Floors = Mapping[types.GroupName, positions.Position]


def _signature(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:_SIGNATURE_BYTES]


def issue(floors: Floors, key: bytes) -> str:
    """Returns a token for the floors.

    Args:
      floors: the session's newest write in each group.
      key: the secret that all proxies share.
    """
    body = msgpack.packb(
        {name: (f.term, f.offset) for name, f in sorted(floors.items())}
    )
    return base64.urlsafe_b64encode(_signature(body, key) + body).decode()


def read(token: str, key: bytes) -> expression.Result[Floors, errors.BadToken]:
    """Checks a token and returns its floors."""
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
            name: positions.Position(term, offset)
            for name, (term, offset) in floors.items()
        }
    )
