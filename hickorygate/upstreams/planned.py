"""Why a healthy primary should be replaced: decisions without I/O."""

from __future__ import annotations

import datetime

from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import suspicion as suspicions
from hickorygate.upstreams import timing as timings

__all__ = ["reason"]


def reason(
    suspicion: suspicions.Suspicion,
    group: sheets.Group,
    leaving: frozenset[types.DatabaseName],
    timing: timings.Timing,
    now: datetime.datetime,
) -> str | None:
    """Tells why a healthy primary should be replaced, None if it need not.

    Args:
      suspicion: the group as its databases describe it.
      group: the group as the sheet describes it.
      leaving: databases that are about to stop.
      timing: how long things may take.
      now: the present.
    """
    primary = suspicion.primary
    if primary is None or not primary.answers or primary.fenced_off:
        return None
    others = [w for w in suspicion.watched if w is not primary]
    if primary.status.database in leaving:
        near = sum(
            _near(w, primary, timing) and w.status.database not in leaving
            for w in others
        )
        return "primary leaves" if 1 + near >= group.majority else None
    if any(_stranded(w, primary, timing, now) for w in others):
        return "a database needs a new term"
    return None


def _near(
    watched: suspicions.Watched,
    primary: suspicions.Watched,
    timing: timings.Timing,
) -> bool:
    """Whether a replica is close behind the primary."""
    status = watched.status
    in_term = status.term == status.log_term == primary.status.term
    heard = status.primary_silence < timing.detection / 2
    return watched.answers and in_term and heard


def _stranded(
    watched: suspicions.Watched,
    primary: suspicions.Watched,
    timing: timings.Timing,
    now: datetime.datetime,
) -> bool:
    """Whether only a new term can bring a database back."""
    if not watched.answers or watched.alone_since is None:
        return False
    above = watched.status.fenced > primary.status.term
    long = now - watched.alone_since >= timing.readmission
    return long and (above or watched.blank)
