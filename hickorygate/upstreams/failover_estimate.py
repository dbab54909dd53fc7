"""Decides how long a request waits for a new primary, without I/O.

A request waits only if the new primary is expected before the request's
deadline. The expected duration of a failover is a moving average over the
previous ones.
"""

from __future__ import annotations

import datetime

from hickorygate.core import request_context

__all__ = ["FailoverEstimate"]

_INITIAL_ESTIMATE = datetime.timedelta(milliseconds=2_000)
"""Expected duration of a failover (detection, pauses and promotion) before
one was observed."""

_WEIGHT = 0.5
"""Weight of the latest failover in the moving average."""

_MARGIN = datetime.timedelta(milliseconds=250)
"""Time by which a failover may exceed its expected duration; also the shortest
retry delay that a rejection suggests."""

_MIN_WAIT_FRACTION = 0.2
"""Fraction of the rank's latency target for which a request waits if no
primary is expected in time; the primary may have been unreachable only
briefly."""


class FailoverEstimate:
    """Estimates when the primary of one group is available again."""

    __slots__ = ("_lost", "_typical_duration")

    def __init__(self) -> None:
        self._lost: datetime.datetime | None = None
        self._typical_duration = _INITIAL_ESTIMATE

    def __repr__(self) -> str:
        return f"FailoverEstimate(typical={self._typical_duration})"

    def record_loss(self, now: datetime.datetime) -> None:
        """Records that the primary was lost."""
        if self._lost is None:
            self._lost = now

    def record_recovery(self, now: datetime.datetime) -> None:
        """Records that a primary leads, and updates the moving average."""
        if self._lost is None:
            return
        took = now - self._lost
        self._typical_duration += _WEIGHT * (took - self._typical_duration)
        self._lost = None

    def wait_deadline(
        self, request: request_context.RequestContext, now: datetime.datetime
    ) -> datetime.datetime:
        """Returns the time until which a request should wait for a primary."""
        if self._lost is None:
            return request.deadline
        minimum = min(
            now + _MIN_WAIT_FRACTION * request.rank.target, request.deadline
        )
        expected = self._lost + self._typical_duration
        if expected > request.deadline or now > expected + _MARGIN:
            return minimum
        return min(max(expected + _MARGIN, minimum), request.deadline)

    def retry_after(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the delay after which a rejected caller should retry."""
        if self._lost is None:
            return _MARGIN
        return max(self._lost + self._typical_duration - now, _MARGIN)
