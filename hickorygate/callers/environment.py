"""The dependencies that all MySQL sessions of a proxy share."""

from __future__ import annotations

import dataclasses
import random
from typing import Protocol

from hickorygate.callers import load_balancing
from hickorygate.core import clock as clocks
from hickorygate.core import measurement
from hickorygate.core import retry
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import group_link

__all__ = ["Environment", "GroupLinks"]


class GroupLinks(Protocol):
    """The databases that the current configuration sheet describes."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The current configuration sheet; None before the first one."""

    def group(self, name: types.GroupName) -> group_link.GroupLink:
        """Returns the link to a group."""


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """The dependencies that all MySQL sessions of a proxy share.

    Attributes:
      fleet: links to the groups of databases, and the current sheet.
      clock: source of the current time.
      rng: random generator for choices and delays.
      zone: availability zone of the proxy.
      retries: budget that limits the retries of all sessions together.
      policy: load-balancing policy for reads.
      recorder: recorder of measurements.
    """

    fleet: GroupLinks
    clock: clocks.Clock
    rng: random.Random
    zone: types.ZoneName
    retries: retry.RetryBudget
    policy: load_balancing.BalancingPolicy
    recorder: measurement.Recorder
