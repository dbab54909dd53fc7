"""One run of the soak: start, inject faults, wait for recovery, audit."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import random

from hickorygate.core import background
from soak import caller as callers
from soak import checker
from soak import inject
from soak import plan
from soak import system

__all__ = ["Report", "run"]

_START_SECONDS = 30.0
_RECOVERY_SECONDS = 15.0
"""Time after the last fault in which each proxy must serve all names."""

_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a run.

    Attributes:
      seed: seed of the run.
      faults: number of injected faults by kind.
      outcomes: number of requests and sessions by outcome.
      acknowledged: number of acknowledged writes and transactions.
      promotions: number of promotions that were ordered.
      violations: broken guarantees.
    """

    seed: int
    faults: dict[str, int]
    outcomes: dict[str, int]
    acknowledged: int
    promotions: int
    violations: tuple[checker.Violation, ...]


class _Run:
    """The state of one run."""

    def __init__(
        self,
        seed: int,
        size: plan.RunSize,
        folder: pathlib.Path,
        only: frozenset[str],
    ) -> None:
        rng = random.Random(seed)
        self.faults = tuple(
            fault
            for fault in plan.draw_faults(seed, size)
            if not only or type(fault).__name__ in only
        )
        self.consistency_checker = checker.ConsistencyChecker()
        has_workspaces = any(
            isinstance(fault, plan.ChangeWorkspaces) for fault in self.faults
        )
        self.tested_system = system.SystemUnderTest(
            size, folder, has_workspaces
        )
        self.callers = [
            callers.Caller(
                number,
                self.tested_system,
                self.consistency_checker,
                random.Random(rng.getrandbits(64)),
            )
            for number in range(size.callers)
        ]
        self.configuration_checker = callers.ConfigurationChecker(
            self.tested_system,
            self.consistency_checker,
            random.Random(rng.getrandbits(64)),
        )
        self.access_checker = callers.AccessChecker(
            self.tested_system,
            self.consistency_checker,
            random.Random(seed),
        )
        self.injector = inject.Injector(
            self.tested_system, self.consistency_checker, self.faults, rng
        )

    async def play(self) -> None:
        """Runs the load while faults are injected, then audits the logs."""
        load = background.BackgroundTasks()
        if not await self._all_serve(_START_SECONDS):
            self.consistency_checker.record_violation(
                checker.Guarantee.RECOVERED, "not all served before any fault"
            )
            return
        for caller in (
            *self.callers,
            self.configuration_checker,
            self.access_checker,
        ):
            load.start(caller.run())
        await self.injector.run()
        if not await self._all_serve(_RECOVERY_SECONDS):
            self.consistency_checker.record_violation(
                checker.Guarantee.RECOVERED, self._describe_missing()
            )
        await load.close()
        await asyncio.sleep(_POLL_SECONDS)
        self._audit()

    async def _all_serve(self, limit: float) -> bool:
        """Waits until each proxy serves each name of each service.

        Each proxy must also accept the newest configuration.

        Args:
          limit: longest wait in seconds.

        Returns:
          Whether all served in time.
        """
        self._missing = {
            (proxy, kind, service)
            for proxy in range(self.tested_system.size.proxies)
            for kind in system.ROUTE_KINDS
            for service in range(self.tested_system.size.services)
        }
        try:
            async with asyncio.timeout(limit):
                while self._missing:
                    await asyncio.gather(*map(self._probe, [*self._missing]))
                    await asyncio.sleep(_POLL_SECONDS)
                while not await self._all_configured():
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    async def _probe(self, wanted: tuple[int, str, int]) -> None:
        proxy, kind, service = wanted
        prober = callers.Caller(
            service,
            self.tested_system,
            self.consistency_checker,
            random.Random(0),
        )
        if await prober.write_and_read(self.tested_system.proxies[proxy], kind):
            self._missing.discard(wanted)

    async def _all_configured(self) -> bool:
        """Returns whether each proxy accepts the newest database name."""
        for name in self.tested_system.added_names[-1:]:
            for proxy in range(self.tested_system.size.proxies):
                if not await self.configuration_checker.check_name(proxy, name):
                    return False
        return True

    def _describe_missing(self) -> str:
        if not self._missing:
            return "the newest configuration is not in force everywhere"
        return f"(proxy, name, service) that don't serve: {self._missing}"

    def _audit(self) -> None:
        kept: list[str] = []
        for number, group in enumerate(self.tested_system.groups):
            for database in self.tested_system.databases_ever(number):
                self.consistency_checker.audit_runs(database.ran)
            commits = group.primary.log.commits
            self.consistency_checker.audit(commits)
            kept += [commit.request for commit in commits]
            self.consistency_checker.audit_promoted(group.lost)
        self.consistency_checker.audit_durability(kept)
        self.consistency_checker.audit_promotions(
            (order["holder"], int(order["number"]))
            for order in self.tested_system.store.promotions
        )


async def run(
    seed: int,
    size: plan.RunSize,
    folder: pathlib.Path,
    only: frozenset[str] = frozenset(),
) -> Report:
    """Runs one seed and returns its report.

    Args:
      seed: seed of the faults; timing varies with the machine.
      size: size of the run.
      folder: folder for the settings and logs of the processes.
      only: kinds of the faults that are injected; empty for all.
    """
    state = _Run(seed, size, folder, only)
    try:
        await state.tested_system.start()
        await state.play()
    finally:
        await state.tested_system.close()
    outcomes: collections.Counter[str] = collections.Counter()
    for caller in state.callers:
        outcomes.update(caller.outcomes)
    kinds = collections.Counter(type(f).__name__ for f in state.faults)
    return Report(
        seed=seed,
        faults=dict(kinds),
        outcomes=dict(outcomes),
        acknowledged=state.consistency_checker.acknowledged,
        promotions=len(state.tested_system.store.promotions),
        violations=state.consistency_checker.violations,
    )
