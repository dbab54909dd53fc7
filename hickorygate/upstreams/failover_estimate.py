"""Decides how long a request waits for a primary, without I/O.

A request waits only if a primary is expected before the request's deadline. The
expected duration of a failover is a moving average over the previous ones; a
proxy that has not known a primary yet expects to find one at once. An outage
that lasts longer is expected to last for about as long again.
"""

from __future__ import annotations

import datetime

from hickorygate.core import request_context

__all__ = ["FailoverEstimate", "brief_wait", "overdue_wait"]

_INITIAL_ESTIMATE = datetime.timedelta(milliseconds=1_000)
"""Expected time from the detection of a loss to the promotion of another
primary, before one was observed."""

_DISCOVERY = datetime.timedelta(milliseconds=300)
"""Expected time until a proxy that starts to monitor a group finds its
primary."""

_WEIGHT = 0.5
"""Weight of the latest failover in the moving average."""

_MARGIN = datetime.timedelta(milliseconds=250)
"""Time by which a failover may exceed its expected duration; also the shortest
retry delay that a rejection suggests."""

_OVERDUE_FRACTION = 0.5
"""Fraction of the time without a primary for which a request must be able to
wait if the primary is overdue. An outage that has lasted for some time usually
lasts for as long again, so a request that can't wait that long would wait in
vain."""

_MIN_WAIT_FRACTION = 0.2
"""Fraction of the rank's latency target for which a request waits if no
primary is expected in time; the primary may have been unreachable only
briefly."""


def brief_wait(
    request: request_context.RequestContext, began: datetime.datetime
) -> datetime.datetime:
    """Returns until when to wait for something that isn't expected in time.

    Args:
      request: request that waits.
      began: time at which it began to wait.
    """
    brief = _MIN_WAIT_FRACTION * request.rank.target
    return min(began + brief, request.deadline)


def overdue_wait(
    request: request_context.RequestContext,
    began: datetime.datetime,
    missing_since: datetime.datetime,
) -> datetime.datetime:
    """Returns until when to wait for something that is overdue.

    Args:
      request: request that waits.
      began: time at which it began to wait.
      missing_since: time since which it waits for something that is missing.
    """
    missing = began - missing_since
    if request.deadline - began >= _OVERDUE_FRACTION * missing:
        return request.deadline
    return brief_wait(request, began)


class FailoverEstimate:
    """Estimates when the primary of one group is available again."""

    __slots__ = ("_discovered", "_missing_since", "_typical_duration")

    def __init__(self, now: datetime.datetime) -> None:
        """Creates the estimate of a group whose primary isn't known yet.

        Args:
          now: time at which the group began to be monitored.
        """
        self._missing_since: datetime.datetime | None = now
        self._discovered = False
        self._typical_duration = _INITIAL_ESTIMATE

    def __repr__(self) -> str:
        return f"FailoverEstimate(typical={self._typical_duration})"

    def record_loss(self, now: datetime.datetime) -> None:
        """Records that there is no primary."""
        if self._missing_since is None:
            self._missing_since = now

    def record_recovery(self, now: datetime.datetime) -> None:
        """Records that a primary leads, and updates the moving average."""
        if self._missing_since is not None and self._discovered:
            took = now - self._missing_since
            self._typical_duration += _WEIGHT * (took - self._typical_duration)
        self._discovered = True
        self._missing_since = None

    def wait_deadline(
        self,
        request: request_context.RequestContext,
        began: datetime.datetime,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Returns the time until which a request should wait for a primary.

        Args:
          request: request that waits.
          began: time at which it began to wait.
          now: current time.
        """
        expected = self._expected()
        if expected is None:
            return request.deadline
        minimum = brief_wait(request, began)
        if now > expected + _MARGIN:
            assert self._missing_since is not None, "there is a primary"
            return overdue_wait(request, began, self._missing_since)
        if expected > request.deadline:
            return minimum
        return min(max(expected + _MARGIN, minimum), request.deadline)

    def retry_after(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the delay after which a rejected caller should retry."""
        expected = self._expected()
        if expected is None:
            return _MARGIN
        return max(expected - now, _MARGIN)

    def _expected(self) -> datetime.datetime | None:
        """Returns when a primary is expected; None if there is one."""
        if self._missing_since is None:
            return None
        duration = self._typical_duration if self._discovered else _DISCOVERY
        return self._missing_since + duration
