"""hickorygate: a database proxy with session consistency.

The public names are loaded when they are first used, so that a process that
speaks one protocol doesn't load the libraries of the other.
"""

from __future__ import annotations

import importlib
from typing import Any

__all__ = [
    "VERSION",
    "Clock",
    "Daemon",
    "Position",
    "Settings",
    "Sheet",
    "SystemClock",
]

_HOMES = {
    "VERSION": "hickorygate.daemon",
    "Clock": "hickorygate.core.clock",
    "Daemon": "hickorygate.daemon",
    "Position": "hickorygate.core.position",
    "Settings": "hickorygate.core.settings",
    "Sheet": "hickorygate.core.sheet",
    "SystemClock": "hickorygate.core.clock",
}


def __getattr__(name: str) -> Any:
    """Loads a public name from the module that defines it (PEP 562)."""
    if name not in _HOMES:
        known = ", ".join(__all__)
        raise AttributeError(
            f"module {__name__!r} has no {name!r}; it has {known}"
        )
    return getattr(importlib.import_module(_HOMES[name]), name)


def __dir__() -> list[str]:
    return sorted({*globals(), *__all__})
