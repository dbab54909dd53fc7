"""hickorygate: a MySQL proxy with session consistency."""

from __future__ import annotations

from hickorygate.core.clock import Clock
from hickorygate.core.clock import SystemClock
from hickorygate.core.position import Position
from hickorygate.core.settings import Settings
from hickorygate.core.sheet import Sheet
from hickorygate.daemon import VERSION
from hickorygate.daemon import Daemon

__all__ = [
    "VERSION",
    "Clock",
    "Daemon",
    "Position",
    "Settings",
    "Sheet",
    "SystemClock",
]
