"""Injects the faults of a plan and ends them."""

from __future__ import annotations

import asyncio
import datetime
import functools
import random
import signal

from hickorygate.testing import line_group
from hickorygate.testing import relay as relays
from hickorygate.testing import repeated_answers
from soak import checker
from soak import plan
from soak import proxy as proxies
from soak import system

__all__ = ["Injector"]

_DELAY = datetime.timedelta(milliseconds=80)
_DRAIN_SECONDS = 5.0
"""Time from the announcement that a database leaves until it stops."""

_RESTART_DELAY_SECONDS = 0.05
_DOWN_SECONDS = 0.1
"""Times from an order to promote a replica to the crash of another one, and
from there to its restart; together shorter than a promotion takes."""

_JOIN_DELAY_SECONDS = 0.5
"""Time from the loss of a primary until a database joins: while a takeover of
it is likely to run."""

_UNKNOWN_OUTCOME = 500
"""HTTP status that doesn't tell whether a call took effect."""

_NOTICE_SECONDS = 3.0
"""Time after which a leaving database must get no new statements.

The time runs from the announcement. Proxies that may not have received the
announcement, because of another fault, are excepted.
"""

_DISRUPTIONS = (
    plan.HarmLinks,
    plan.JoinDuringTakeover,
    plan.LoseOrderAnswers,
    plan.RestartDuringTakeover,
    plan.StoreFails,
    plan.ForgetHistory,
    plan.PauseProxy,
    plan.KillProxies,
)
"""Faults that may keep an announcement from a proxy.

A proxy that doesn't know that a database leaves may still send it work.
"""


class Injector:
    """Injects the faults of a plan; several may be active at a time.

    Attributes:
      tested_system: system under test.
      consistency_checker: record of broken guarantees.
      rng: source of the random choices of databases, connections and error
        codes.
      starting: held while a database starts, since two faults may restart or
        replace the same one.
    """

    def __init__(
        self,
        tested_system: system.SystemUnderTest,
        consistency_checker: checker.ConsistencyChecker,
        faults: tuple[plan.Fault, ...],
        rng: random.Random,
    ) -> None:
        self.tested_system = tested_system
        self.consistency_checker = consistency_checker
        self.rng = rng
        self.starting = asyncio.Lock()
        self._faults = faults

    def __repr__(self) -> str:
        return f"Injector(faults={len(self._faults)})"

    async def run(self) -> None:
        """Injects all faults; returns once the last has ended.

        Each proxy whose process doesn't run then is started again.
        """
        await asyncio.gather(*(self._run(fault) for fault in self._faults))
        for proxy in self.tested_system.proxies:
            await proxy.start()

    def disrupted(
        self, first: datetime.timedelta, last: datetime.timedelta
    ) -> bool:
        """Returns whether a disruption affects a time interval.

        Args:
          first: start of the interval, after the start of the load.
          last: end of the interval, after the start of the load.
        """
        return any(
            isinstance(fault, _DISRUPTIONS)
            and fault.at <= last
            and fault.ends + _SETTLING >= first
            for fault in self._faults
        )

    async def _run(self, fault: plan.Fault) -> None:
        await asyncio.sleep(fault.at.total_seconds())
        await _inject(fault, self)


_SETTLING = datetime.timedelta(seconds=4)
"""Time for which the effects of a fault may continue after its end."""


@functools.singledispatch
async def _inject(fault: plan.Fault, injector: Injector) -> None:
    """Starts a fault, waits for its duration, and ends it."""
    raise TypeError(f"no injector for {fault!r}; register one")


@_inject.register
async def _(fault: plan.KillProxies, injector: Injector) -> None:
    killed = [
        injector.tested_system.proxies[number] for number in fault.proxies
    ]
    for proxy in killed:
        proxy.send(signal.SIGKILL)
    await asyncio.sleep(fault.lasts.total_seconds())
    for proxy in killed:
        await _restart(proxy)


@_inject.register
async def _(fault: plan.StopProxy, injector: Injector) -> None:
    proxy = injector.tested_system.proxies[fault.proxy]
    incarnation, was_running = proxy.incarnation, proxy.running
    proxy.send(signal.SIGTERM)
    ended = await proxy.wait_ended(proxies.GRACE_SECONDS)
    same_process = proxy.incarnation == incarnation
    if (
        not ended
        and same_process
        and was_running
        and not _may_end_late(injector, fault)
    ):
        injector.consistency_checker.record_violation(
            checker.Guarantee.GRACEFUL,
            f"{proxy.name} ran on {proxies.GRACE_SECONDS} s after SIGTERM",
        )
    if not ended and same_process:
        proxy.send(signal.SIGKILL)
        await proxy.wait_ended(proxies.GRACE_SECONDS)
    await _restart(proxy)


@_inject.register
async def _(fault: plan.PauseProxy, injector: Injector) -> None:
    proxy = injector.tested_system.proxies[fault.proxy]
    proxy.send(signal.SIGSTOP)
    await asyncio.sleep(fault.lasts.total_seconds())
    proxy.send(signal.SIGCONT)


@_inject.register
async def _(fault: plan.ReloadProxy, injector: Injector) -> None:
    injector.tested_system.proxies[fault.proxy].send(signal.SIGHUP)


@_inject.register
async def _(fault: plan.HarmLinks, injector: Injector) -> None:
    links = injector.tested_system.proxies[fault.proxy].relays_to(fault.peer)
    count = max(1, round(len(links) * fault.share))
    affected = injector.rng.sample(links, count)
    for relay in affected:
        _apply_link_fault(relay, fault.harm)
    await asyncio.sleep(fault.lasts.total_seconds())
    for relay in affected:
        relay.heal()
        relay.delay = datetime.timedelta()
        relay.reset_new_connections = False


@_inject.register
async def _(fault: plan.StoreFails, injector: Injector) -> None:
    injector.tested_system.store.persistent_fault = fault.kind
    await asyncio.sleep(fault.lasts.total_seconds())
    injector.tested_system.store.persistent_fault = None


@_inject.register
async def _(fault: plan.ForgetHistory, injector: Injector) -> None:
    injector.tested_system.store.forget_history()


@_inject.register
async def _(fault: plan.CrashDatabase, injector: Injector) -> None:
    database = _database(injector, fault.service, fault.primary)
    database.crash()
    await asyncio.sleep(fault.lasts.total_seconds())
    group = injector.tested_system.groups[fault.service]
    await _start_database(injector, group, database)


@_inject.register
async def _(fault: plan.MuteDatabase, injector: Injector) -> None:
    database = _database(injector, fault.service, fault.primary)
    database.faults.unresponsive = True
    await asyncio.sleep(fault.lasts.total_seconds())
    database.faults.unresponsive = False


@_inject.register
async def _(fault: plan.DeafenReplicas, injector: Injector) -> None:
    replicas = injector.tested_system.groups[fault.service].replicas[
        : fault.count
    ]
    for database in replicas:
        database.faults.replication_blocked = True
    await asyncio.sleep(fault.lasts.total_seconds())
    for database in replicas:
        database.faults.replication_blocked = False


@_inject.register
async def _(fault: plan.IsolatePrimary, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    replicas = group.replicas
    cut = _cut_from(injector, fault.proxies, group.primary)
    for database in replicas:
        database.faults.replication_blocked = True
    await asyncio.sleep(fault.lasts.total_seconds())
    for database in replicas:
        database.faults.replication_blocked = False
    _heal(cut)


@_inject.register
async def _(fault: plan.RestartDuringTakeover, injector: Injector) -> None:
    tested_system = injector.tested_system
    group = tested_system.groups[fault.service]
    former = group.primary
    cut = _cut_from(injector, fault.proxies, former)
    limit = fault.lasts.total_seconds()
    chosen = await tested_system.wait_for_order(group.service, limit)
    if chosen is not None:
        others = [
            database
            for name, database in group.databases.items()
            if database.running and name not in (chosen, former.name)
        ]
        affected = group.replicas if fault.all_replicas else others[:1]
        for _ in range(fault.restarts):
            await asyncio.sleep(_RESTART_DELAY_SECONDS)
            await _restart_databases(injector, group, affected)
    _heal(cut)


@_inject.register
async def _(fault: plan.LoseOrderAnswers, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    store = injector.tested_system.store
    cut = _cut_from(injector, fault.proxies, group.primary)
    answer, store.promotion_status = store.promotion_status, _UNKNOWN_OUTCOME
    await asyncio.sleep(fault.lasts.total_seconds())
    store.promotion_status = answer
    _heal(cut)


@_inject.register
async def _(fault: plan.JoinDuringTakeover, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    if not _is_sound(group):
        return
    database = injector.rng.choice(group.replicas)
    database.leaving = True
    await asyncio.sleep(fault.drain.total_seconds())
    cut = _cut_from(injector, fault.proxies, group.primary)
    await asyncio.sleep(_JOIN_DELAY_SECONDS)
    await _replace(injector, fault.service, database)
    rest = (fault.lasts - fault.drain).total_seconds() - _JOIN_DELAY_SECONDS
    await asyncio.sleep(rest)
    _heal(cut)


@_inject.register
async def _(fault: plan.OddEntry, injector: Injector) -> None:
    injector.tested_system.put_odd_entry(fault.service)


@_inject.register
async def _(fault: plan.OddText, injector: Injector) -> None:
    injector.tested_system.odd_texts += 1
    await asyncio.sleep(fault.lasts.total_seconds())
    injector.tested_system.odd_texts -= 1


@_inject.register
async def _(fault: plan.RepeatAnswers, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    affected = tuple(group.databases.values())
    for number, database in enumerate(affected):
        rng = random.Random(f"copies of {number}")
        database.faults.repeated_answers = repeated_answers.RepeatedAnswers(
            share=fault.share, delays=fault.delays, rng=rng
        )
    await asyncio.sleep(fault.lasts.total_seconds())
    for database in affected:
        database.faults.repeated_answers = None


@_inject.register
async def _(fault: plan.LoseAnswers, injector: Injector) -> None:
    database = _database(injector, fault.service, True)
    database.faults.lose_answers += fault.count


@_inject.register
async def _(fault: plan.RefuseStatements, injector: Injector) -> None:
    faults = _database(injector, fault.service, True).faults
    faults.refuse = injector.rng.choice(("BUSY", "FAILED"))
    faults.refusals += fault.count


@_inject.register
async def _(fault: plan.ReleaseDatabase, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    database = _database(injector, fault.service, fault.primary)
    if database.leaving:
        return
    database.leaving = True
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(_DRAIN_SECONDS)
    if database not in group.databases.values():
        return
    late = (database.last_ran or began) - began - _NOTICE_SECONDS
    ends = fault.at + datetime.timedelta(seconds=_DRAIN_SECONDS)
    if (
        late > 0
        and not injector.disrupted(fault.at, ends)
        and _has_other_primary(group, database)
    ):
        injector.consistency_checker.record_violation(
            checker.Guarantee.LEAVING,
            f"{database.name} ran a statement {late:.1f} s too late",
        )
    await _replace(injector, fault.service, database)


@_inject.register
async def _(fault: plan.ReplacePrimaries, injector: Injector) -> None:
    group = injector.tested_system.groups[fault.service]
    at = fault.at
    for _ in range(fault.count):
        if not _is_sound(group):
            return
        release = plan.ReleaseDatabase(at, fault.lasts, fault.service, True)
        await _inject(release, injector)
        at += datetime.timedelta(seconds=_DRAIN_SECONDS)


@_inject.register
async def _(fault: plan.ChangeConfiguration, injector: Injector) -> None:
    injector.tested_system.change_configuration()


@_inject.register
async def _(fault: plan.ChangeWorkspaces, injector: Injector) -> None:
    injector.tested_system.change_workspaces(fault.listed)


def _cut_from(
    injector: Injector,
    numbers: tuple[int, ...],
    database: line_group.LineDatabase,
) -> list[relays.FaultRelay]:
    """Cuts proxies from a database; returns the relays to heal later."""
    cut = [
        injector.tested_system.proxies[number].databases[database.port]
        for number in numbers
    ]
    for relay in cut:
        relay.cut(relays.Direction.BOTH)
    return cut


def _heal(cut: list[relays.FaultRelay]) -> None:
    for relay in cut:
        relay.heal()


async def _start_database(
    injector: Injector,
    group: line_group.LineGroup,
    database: line_group.LineDatabase,
) -> None:
    """Starts a database, unless it runs or was replaced."""
    async with injector.starting:
        if database in group.databases.values():
            await database.start()


async def _restart_databases(
    injector: Injector,
    group: line_group.LineGroup,
    affected: list[line_group.LineDatabase],
) -> None:
    """Crashes databases together and starts them again with their logs."""
    for database in affected:
        database.crash()
    await asyncio.sleep(_DOWN_SECONDS)
    for database in affected:
        await _start_database(injector, group, database)


async def _replace(
    injector: Injector, service: int, database: line_group.LineDatabase
) -> None:
    """Replaces a database by a new one, which gets its log and address.

    Does nothing if another fault has replaced it already.
    """
    successor = injector.tested_system.new_database_name()
    group = injector.tested_system.groups[service]
    async with injector.starting:
        if database in group.databases.values():
            injector.tested_system.replaced.append((service, database))
            await group.replace(database.name, successor)


async def _restart(proxy: proxies.Proxy) -> None:
    """Starts a proxy again, unless its former process still runs."""
    if await proxy.wait_ended(0.01):
        await proxy.start()


def _may_end_late(injector: Injector, fault: plan.StopProxy) -> bool:
    """Returns whether another fault may have delayed the process's end.

    A suspended process, for example, can't handle SIGTERM.
    """
    return injector.disrupted(fault.at, fault.at + 2 * _SETTLING)


def _apply_link_fault(relay: relays.FaultRelay, harm: plan.LinkFault) -> None:
    match harm:
        case plan.LinkFault.DELAY:
            relay.delay = _DELAY
        case plan.LinkFault.CUT_REQUESTS:
            relay.cut(relays.Direction.THERE)
        case plan.LinkFault.CUT_ANSWERS:
            relay.cut(relays.Direction.BACK)
        case plan.LinkFault.CUT:
            relay.cut(relays.Direction.BOTH)
        case plan.LinkFault.RESET:
            relay.reset()
        case plan.LinkFault.SILENCE:
            relay.blackhole()
        case plan.LinkFault.REFUSE:
            relay.reset_new_connections = True


def _database(
    injector: Injector, service: int, primary: bool
) -> line_group.LineDatabase:
    group = injector.tested_system.groups[service]
    if primary:
        return group.primary
    return injector.rng.choice(group.replicas)


def _is_sound(group: line_group.LineGroup) -> bool:
    """Returns whether all databases run and stay, and one of them leads."""
    databases = group.databases.values()
    staying = all(d.running and not d.leaving for d in databases)
    return staying and any(d.log.leads for d in databases)


def _has_other_primary(
    group: line_group.LineGroup, database: line_group.LineDatabase
) -> bool:
    """Returns whether another running primary could serve in its place."""
    others = [d for d in group.databases.values() if d is not database]
    return any(d.log.leads and d.running and not d.leaving for d in others)
