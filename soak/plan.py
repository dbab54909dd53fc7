"""Which faults a run injects, and when: decided by its seed alone."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import datetime
import enum
import random

from hickorygate.testing import object_store

__all__ = [
    "ChangeConfiguration",
    "CrashDatabase",
    "DeafenReplicas",
    "Fault",
    "ForgetHistory",
    "Harm",
    "HarmLinks",
    "IsolatePrimary",
    "KillProxies",
    "LoseAnswers",
    "MuteDatabase",
    "PauseProxy",
    "Peer",
    "RefuseStatements",
    "ReleaseDatabase",
    "ReloadProxy",
    "Size",
    "StopProxy",
    "StoreFails",
    "make",
]

_FIRST = 1.0
"""Seconds before the first fault."""

_GAP = 1.2
"""Mean seconds between the beginnings of faults; they last longer."""

_SERIES_SHARE = 0.25
"""Part of the faults that come three times in a row."""

_SERIES_LENGTH = 3
_STORE_KINDS = (
    object_store.StoreFault.BUSY,
    object_store.StoreFault.TOO_MANY,
    object_store.StoreFault.LOST,
    object_store.StoreFault.SILENT,
)


class Peer(enum.Enum):
    """Whom a proxy's connections lead to."""

    CALLERS = "callers"
    DATABASES = "databases"
    STORE = "store"


class Harm(enum.Enum):
    """What happens to connections."""

    DELAY = "bytes arrive later"
    CUT_THERE = "no requests arrive"
    CUT_BACK = "no answers arrive"
    CUT = "nothing arrives"
    RESET = "open connections are reset"
    SILENCE = "open connections go silent for good"
    REFUSE = "new connections are reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large a run is.

    Attributes:
      proxies: processes.
      services: groups of three databases.
      callers: sessions at a time.
      seconds: how long faults begin.
    """

    proxies: int = 5
    services: int = 2
    callers: int = 20
    seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Base of the faults.

    Attributes:
      at: when it begins, after the start of the load.
      lasts: how long it goes on.
    """

    at: datetime.timedelta
    lasts: datetime.timedelta

    @property
    def ends(self) -> datetime.timedelta:
        """When it is over."""
        return self.at + self.lasts


@dataclasses.dataclass(frozen=True, slots=True)
class KillProxies(Fault):
    """SIGKILL at once; they start again afterwards."""

    proxies: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopProxy(Fault):
    """SIGTERM; it starts again once it has ended."""

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseProxy(Fault):
    """SIGSTOP, then SIGCONT."""

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadProxy(Fault):
    """SIGHUP."""

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class HarmLinks(Fault):
    """Harms the connections between a proxy and one kind of peer.

    Attributes:
      proxy: whose.
      peer: the other end.
      harm: what happens.
      share: of the proxy's databases that are concerned, 0 to 1.
    """

    proxy: int
    peer: Peer
    harm: Harm
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFails(Fault):
    """Every call to the store fails."""

    kind: object_store.StoreFault


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetHistory(Fault):
    """The store discards what watches ask for."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDatabase(Fault):
    """A database ends and comes back with its log."""

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MuteDatabase(Fault):
    """A database takes requests and answers none."""

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DeafenReplicas(Fault):
    """Replicas receive nothing from their primary."""

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class IsolatePrimary(Fault):
    """A primary reaches no replica, and some proxies don't reach it.

    The other proxies still do, so they may take it for the primary when it
    was replaced.
    """

    service: int
    proxies: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoseAnswers(Fault):
    """A primary runs statements and breaks the connection."""

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseStatements(Fault):
    """A primary refuses statements as not run."""

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseDatabase(Fault):
    """A database announces its end, ends, and is replaced."""

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration(Fault):
    """A newer configuration adds a name."""


def make(seed: int, size: Size) -> tuple[Fault, ...]:
    """Returns the faults of a run, by their beginning."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = _FIRST
    while at < size.seconds:
        fault = _draw(rng, size, at)
        faults.append(fault)
        if rng.random() < _SERIES_SHARE:
            faults += _repeat(fault, rng)
        at += rng.expovariate(1 / _GAP)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _repeat(fault: Fault, rng: random.Random) -> list[Fault]:
    pause = _seconds(rng.uniform(0.1, 1.5))
    return [
        dataclasses.replace(fault, at=fault.at + number * (fault.lasts + pause))
        for number in range(1, _SERIES_LENGTH)
    ]


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _draw(rng: random.Random, size: Size, at: float) -> Fault:
    """Returns one fault of any kind."""
    lasts = _seconds(rng.uniform(0.3, 4.0))
    make_fault = rng.choice(_MAKERS)
    return make_fault(rng, size, _seconds(at), lasts)


def _proxy(rng: random.Random, size: Size) -> int:
    return rng.randrange(size.proxies)


def _some_proxies(rng: random.Random, size: Size) -> tuple[int, ...]:
    count = rng.randint(1, size.proxies)
    return tuple(sorted(rng.sample(range(size.proxies), count)))


def _service(rng: random.Random, size: Size) -> int:
    return rng.randrange(size.services)


_Maker = Callable[
    [random.Random, Size, datetime.timedelta, datetime.timedelta], Fault
]

_MAKERS: tuple[_Maker, ...] = (
    lambda r, s, at, lasts: KillProxies(at, lasts, (_proxy(r, s),)),
    lambda r, s, at, lasts: KillProxies(at, lasts, _some_proxies(r, s)),
    lambda r, s, at, lasts: StopProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: PauseProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: ReloadProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.DATABASES, r.choice(tuple(Harm)), 1.0
    ),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.DATABASES, r.choice(tuple(Harm)), 0.34
    ),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.STORE, r.choice(tuple(Harm)), 1.0
    ),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.CALLERS, r.choice(tuple(Harm)), 1.0
    ),
    lambda r, s, at, lasts: StoreFails(at, lasts, r.choice(_STORE_KINDS)),
    lambda r, s, at, lasts: ForgetHistory(at, lasts),
    lambda r, s, at, lasts: CrashDatabase(
        at, lasts, _service(r, s), r.random() < 0.7
    ),
    lambda r, s, at, lasts: MuteDatabase(
        at, lasts, _service(r, s), r.random() < 0.7
    ),
    lambda r, s, at, lasts: DeafenReplicas(
        at, lasts, _service(r, s), r.randint(1, 2)
    ),
    lambda r, s, at, lasts: IsolatePrimary(
        at, lasts, _service(r, s), _some_proxies(r, s)
    ),
    lambda r, s, at, lasts: LoseAnswers(
        at, lasts, _service(r, s), r.randint(1, 20)
    ),
    lambda r, s, at, lasts: RefuseStatements(
        at, lasts, _service(r, s), r.randint(1, 20)
    ),
    lambda r, s, at, lasts: ReleaseDatabase(
        at, lasts, _service(r, s), r.random() < 0.7
    ),
    lambda r, s, at, lasts: ChangeConfiguration(at, lasts),
)
