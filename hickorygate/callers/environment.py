"""What the sessions of one proxy share."""

from __future__ import annotations

import dataclasses
import random
from typing import Protocol

from hickorygate.callers import balance
from hickorygate.core import clock as clocks
from hickorygate.core import measurement as measurements
from hickorygate.core import retry
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import link as links

__all__ = ["Environment", "Fleet"]


class Fleet(Protocol):
    """The databases, as the sheet in force describes them."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force."""

    def group(self, name: types.GroupName) -> links.GroupLink:
        """Returns the link to a group."""


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Shared by all sessions of a proxy.

    Attributes:
      fleet: the databases.
      clock: the time.
      rng: randomness for choices and delays.
      zone: the proxy's availability zone.
      retries: bounds the retries of all sessions together.
      policy: how a replica is chosen.
      recorder: takes what is measured.
    """

    fleet: Fleet
    clock: clocks.Clock
    rng: random.Random
    zone: types.ZoneName
    retries: retry.Budget
    policy: balance.Policy
    recorder: measurements.Recorder
