"""Time limits of a takeover on which other decisions rely.

A takeover sends its last order within `ORDER_WINDOW` of its beginning, and an
order takes effect within `EFFECT_SPAN` of being sent or not at all. So nothing
that a takeover does can still take effect `TAKEOVER_SPAN` after its beginning:
`commit_guard` relies on it to tell which replicas every takeover asks, and the
promotion lease to tell when another proxy may order.
"""

from __future__ import annotations

import datetime

__all__ = ["EFFECT_SPAN", "ORDER_WINDOW", "TAKEOVER_SPAN"]

TAKEOVER_SPAN = datetime.timedelta(seconds=10)
"""Time after the beginning of a takeover within which its order takes effect,
if ever."""

EFFECT_SPAN = datetime.timedelta(seconds=3)
"""Time after an order was sent within which it takes effect, if ever, whether
or not it was answered."""

ORDER_WINDOW = TAKEOVER_SPAN - EFFECT_SPAN
"""Time after the beginning of a takeover within which it may send orders."""
