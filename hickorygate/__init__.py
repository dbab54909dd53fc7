"""hickorygate: a database proxy with session consistency.

Public names are imported on first use, so that a process that serves one
protocol doesn't import the libraries of the other protocol.
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

_MODULES = {
    "VERSION": "hickorygate.daemon",
    "Clock": "hickorygate.core.clock",
    "Daemon": "hickorygate.daemon",
    "Position": "hickorygate.core.position",
    "Settings": "hickorygate.core.settings",
    "Sheet": "hickorygate.core.sheet",
    "SystemClock": "hickorygate.core.clock",
}


def __getattr__(name: str) -> Any:
    """Imports a public name from the module that defines it (PEP 562)."""
    if name not in _MODULES:
        known = ", ".join(__all__)
        raise AttributeError(
            f"module {__name__!r} has no attribute {name!r}; public names: "
            f"{known}"
        )
    return getattr(importlib.import_module(_MODULES[name]), name)


def __dir__() -> list[str]:
    return sorted({*globals(), *__all__})
