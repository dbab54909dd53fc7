"""What sessions work with."""

from __future__ import annotations

import dataclasses
import datetime
import random
from typing import Protocol

from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import retry
from hickorygate.core import types
from hickorygate.upstreams import supervisor as supervisors

__all__ = ["Fleet", "Surroundings"]


class Fleet(Protocol):
    """The configuration in force and the databases that it names."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """After which an idle transaction may be ended."""

    async def configured(self, limit: datetime.timedelta) -> bool:
        """Waits for the first configuration; tells whether there is one."""

    def route(self, database: types.SchemaName) -> catalogs.Route | None:
        """Returns how a database name is served; None if it isn't."""

    def group(
        self, service: types.ServiceName
    ) -> supervisors.Supervisor | None:
        """Returns the databases of a service; None if there is no such one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What each session gets.

    Attributes:
      fleet: configuration and databases.
      clock: the time.
      zone: the availability zone of this proxy.
      rng: breaks ties.
      journal: takes decisions in.
      retries: bounds retries to a share of the requests.
      background: runs what outlives a request.
    """

    fleet: Fleet
    clock: clocks.Clock
    zone: types.ZoneName
    rng: random.Random
    journal: events.Journal
    retries: retry.Budget
    background: background.Background
