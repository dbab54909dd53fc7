"""One run of the soak: start, harm, let it settle, audit."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import random

from hickorygate.core import background
from soak import caller as callers
from soak import inject
from soak import plan
from soak import register as registers
from soak import site as sites

__all__ = ["Report", "run"]

_START_SECONDS = 30.0
_RECOVERY_SECONDS = 15.0
"""After the last fault until every proxy serves all names again."""

_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run showed.

    Attributes:
      seed: of the run.
      faults: how many of each kind were injected.
      outcomes: how often callers met each outcome.
      acknowledged: writes and transactions that callers were told of.
      promotions: that were ordered.
      violations: broken promises.
    """

    seed: int
    faults: dict[str, int]
    outcomes: dict[str, int]
    acknowledged: int
    promotions: int
    violations: tuple[registers.Violation, ...]


class _Run:
    """The parts of a run."""

    def __init__(
        self, seed: int, size: plan.Size, folder: pathlib.Path
    ) -> None:
        rng = random.Random(seed)
        self.faults = plan.make(seed, size)
        self.register = registers.Register()
        self.site = sites.Site(size, folder)
        self.callers = [
            callers.Caller(
                number,
                self.site,
                self.register,
                random.Random(rng.getrandbits(64)),
            )
            for number in range(size.callers)
        ]
        self.visitor = callers.Visitor(
            self.site, self.register, random.Random(rng.getrandbits(64))
        )
        self.injector = inject.Injector(
            self.site, self.register, self.faults, rng
        )

    async def play(self) -> None:
        """Runs the load under the faults, then audits."""
        load = background.Background()
        if not await self._all_serve(_START_SECONDS):
            self.register.break_(
                registers.Promise.SERVING, "not all served before any fault"
            )
            return
        for one in (*self.callers, self.visitor):
            load.start(one.run())
        await self.injector.run()
        if not await self._all_serve(_RECOVERY_SECONDS):
            self.register.break_(registers.Promise.SERVING, self._idle())
        await load.close()
        await asyncio.sleep(_POLL_SECONDS)
        self._audit()

    async def _all_serve(self, limit: float) -> bool:
        """Waits until each proxy writes and reads under each name."""
        self._missing = {
            (proxy, kind, service)
            for proxy in range(self.site.size.proxies)
            for kind in sites.KINDS
            for service in range(self.site.size.services)
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
            service, self.site, self.register, random.Random(0)
        )
        if await prober.serve_once(self.site.proxies[proxy], kind):
            self._missing.discard(wanted)

    async def _all_configured(self) -> bool:
        """Whether each proxy accepts the newest name."""
        for name in self.site.extras[-1:]:
            for proxy in range(self.site.size.proxies):
                if not await self.visitor.visit(proxy, name):
                    return False
        return True

    def _idle(self) -> str:
        if not self._missing:
            return "the newest configuration is not in force everywhere"
        return f"(proxy, name, service) that don't serve: {self._missing}"

    def _audit(self) -> None:
        kept: list[str] = []
        for group in self.site.groups:
            commits = group.primary.log.commits
            self.register.audit(commits)
            kept += [commit.request for commit in commits]
            for commit in group.lost:
                self.register.break_(
                    registers.Promise.KEPT, f"promoted without {commit}"
                )
        self.register.audit_kept(kept)
        self.register.audit_orders(
            (order["holder"], int(order["number"]))
            for order in self.site.store.promotions
        )


async def run(seed: int, size: plan.Size, folder: pathlib.Path) -> Report:
    """Plays one seed.

    Args:
      seed: decides the faults; timing varies with the machine.
      size: how large.
      folder: for settings and logs of the processes.
    """
    played = _Run(seed, size, folder)
    try:
        await played.site.start()
        await played.play()
    finally:
        await played.site.close()
    outcomes: collections.Counter[str] = collections.Counter()
    for caller in played.callers:
        outcomes.update(caller.outcomes)
    kinds = collections.Counter(type(f).__name__ for f in played.faults)
    return Report(
        seed=seed,
        faults=dict(kinds),
        outcomes=dict(outcomes),
        acknowledged=played.register.acknowledged,
        promotions=len(played.site.store.promotions),
        violations=played.register.violations,
    )
