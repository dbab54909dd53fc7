"""The failure of a platform object that can't be decoded."""

from __future__ import annotations

import pydantic

from hickorygate.store import failures

__all__ = ["malformed"]


def malformed(
    kind: str, error: pydantic.ValidationError
) -> failures.ObjectMalformed:
    """Returns the failure with the first invalid field."""
    detail = error.errors(include_url=False)[0]
    where = ".".join(str(part) for part in detail["loc"])
    return failures.ObjectMalformed(kind, f"{where}: {detail['msg']}")
