"""Chooses the faults of a run and their times, from the seed alone."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import datetime
import enum
import random

from hickorygate.testing import object_store

__all__ = [
    "ChangeConfiguration",
    "ChangeWorkspaces",
    "CrashDatabase",
    "DeafenReplicas",
    "Fault",
    "ForgetHistory",
    "LinkFault",
    "ListedWorkspaces",
    "HarmLinks",
    "IsolatePrimary",
    "JoinDuringTakeover",
    "KillProxies",
    "LoseAnswers",
    "LoseOrderAnswers",
    "MuteDatabase",
    "PauseProxy",
    "OddEntry",
    "OddText",
    "Peer",
    "RefuseStatements",
    "ReleaseDatabase",
    "ReloadProxy",
    "RepeatAnswers",
    "ReplacePrimaries",
    "RestartDuringTakeover",
    "RunSize",
    "StopProxy",
    "StoreFails",
    "draw_faults",
]

_FIRST_FAULT_SECONDS = 1.0
"""Time from the start of the load to the first fault."""

_MEAN_GAP_SECONDS = 1.2
"""Mean time between the starts of faults.

It is shorter than the mean duration of a fault, so faults overlap.
"""

_SERIES_SHARE = 0.25
"""Fraction of the faults that are injected three times in a row."""

_SERIES_LENGTH = 3
_DRAIN_SECONDS = 5.0
"""Time from the announcement that a database leaves until it is replaced."""

_SILENCE_GAP_SECONDS = 1.5
"""Mean time between short silences of a primary."""

_SILENCE_SECONDS = (0.4, 0.8)
"""Lengths of a short silence: longer than a proxy waits for an answer that
takes no slot, shorter than it takes for a database to count as lost."""

_REPEATED_SHARE = 0.05
_REPEAT_DELAYS = tuple(
    datetime.timedelta(milliseconds=delay) for delay in (0, 5, 20, 100)
)
"""Share of the answers that are sent twice, and how late the copies are."""

_STORE_KINDS = (
    object_store.StoreFault.BUSY,
    object_store.StoreFault.TOO_MANY,
    object_store.StoreFault.LOST,
    object_store.StoreFault.SILENT,
)


class Peer(enum.Enum):
    """The other end of a proxy's connections."""

    CALLERS = "callers"
    DATABASES = "databases"
    STORE = "store"


class LinkFault(enum.Enum):
    """A fault of connections."""

    DELAY = "bytes arrive later"
    CUT_REQUESTS = "no requests arrive"
    CUT_ANSWERS = "no answers arrive"
    CUT = "nothing arrives"
    RESET = "open connections are reset"
    SILENCE = "open connections go silent for good"
    REFUSE = "new connections are reset"


@dataclasses.dataclass(frozen=True, slots=True)
class RunSize:
    """The size of a run.

    Attributes:
      proxies: number of proxy processes.
      services: number of services; each has a group of three databases.
      callers: number of concurrent sessions.
      seconds: time from the start of the load in which faults start.
    """

    proxies: int = 5
    services: int = 2
    callers: int = 20
    seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Base class of the faults.

    Attributes:
      at: time from the start of the load to the start of the fault.
      lasts: duration of the fault.
    """

    at: datetime.timedelta
    lasts: datetime.timedelta

    @property
    def ends(self) -> datetime.timedelta:
        """Time from the start of the load to the end of the fault."""
        return self.at + self.lasts


@dataclasses.dataclass(frozen=True, slots=True)
class KillProxies(Fault):
    """Proxies are killed with SIGKILL together and restarted at the end.

    Attributes:
      proxies: indexes of the proxies.
    """

    proxies: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopProxy(Fault):
    """A proxy gets SIGTERM and is restarted once its process has ended.

    Attributes:
      proxy: index of the proxy.
    """

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseProxy(Fault):
    """A proxy is suspended with SIGSTOP and resumed with SIGCONT.

    Attributes:
      proxy: index of the proxy.
    """

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadProxy(Fault):
    """A proxy gets SIGHUP and reloads its settings.

    Attributes:
      proxy: index of the proxy.
    """

    proxy: int


@dataclasses.dataclass(frozen=True, slots=True)
class HarmLinks(Fault):
    """The connections between a proxy and one kind of peer fail.

    Attributes:
      proxy: index of the proxy.
      peer: other end of the connections.
      harm: fault of the connections.
      share: fraction of the proxy's relays to this kind of peer that are
        affected, 0 to 1; at least one is.
    """

    proxy: int
    peer: Peer
    harm: LinkFault
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFails(Fault):
    """Each call to the store fails.

    Attributes:
      kind: way in which the calls fail.
    """

    kind: object_store.StoreFault


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetHistory(Fault):
    """The store discards the history that watches resume from."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDatabase(Fault):
    """A database crashes and restarts with its log.

    Attributes:
      service: index of the service.
      primary: whether the fault affects the primary or a random replica.
    """

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MuteDatabase(Fault):
    """A database accepts requests but doesn't answer them.

    Attributes:
      service: index of the service.
      primary: whether the fault affects the primary or a random replica.
    """

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DeafenReplicas(Fault):
    """Replicas receive nothing from their primary.

    Attributes:
      service: index of the service.
      count: number of affected replicas.
    """

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class IsolatePrimary(Fault):
    """A primary can't reach its replicas, and some proxies can't reach it.

    The other proxies still reach the primary, so they may use it after it was
    replaced.

    Attributes:
      service: index of the service.
      proxies: indexes of the proxies that can't reach the primary.
    """

    service: int
    proxies: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDuringTakeover(Fault):
    """Some proxies lose the primary, and its replacement meets a restart.

    Soon after the order to promote one replica, another one crashes and is
    restarted with its log before the order takes effect. Without an order, the
    links heal and nothing else happens.

    Attributes:
      service: index of the service.
      proxies: indexes of the proxies that can't reach the primary.
      restarts: number of restarts, one after the other.
      all_replicas: whether all replicas restart at once, the chosen one too.
    """

    service: int
    proxies: tuple[int, ...]
    restarts: int = 1
    all_replicas: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoseOrderAnswers(Fault):
    """Some proxies lose the primary, and orders to promote seem to fail.

    The platform accepts the orders, which take effect, and answers with an
    error of its own.

    Attributes:
      service: index of the service.
      proxies: indexes of the proxies that can't reach the primary.
    """

    service: int
    proxies: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JoinDuringTakeover(Fault):
    """Some proxies lose the primary, and a database joins meanwhile.

    It replaces a replica that announced its shutdown when the fault began.

    Attributes:
      service: index of the service.
      proxies: indexes of the proxies that can't reach the primary.
      drain: time from the announcement to the loss of the primary.
    """

    service: int
    proxies: tuple[int, ...]
    drain: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class OddEntry(Fault):
    """Another writer puts an entry of a service that names no database.

    Attributes:
      service: index of the service.
    """

    service: int


@dataclasses.dataclass(frozen=True, slots=True)
class OddText(Fault):
    """Callers send odd bytes in every field of their messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatAnswers(Fault):
    """The databases of a service send some answers a second time, late.

    Attributes:
      service: index of the service.
      share: fraction of the answers, 0 to 1.
      delays: times from an answer to its copy, of which each copy has one.
    """

    service: int
    share: float
    delays: tuple[datetime.timedelta, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoseAnswers(Fault):
    """A primary runs statements and closes the connection unanswered.

    Attributes:
      service: index of the service.
      count: number of affected statements.
    """

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseStatements(Fault):
    """A primary refuses statements as not run.

    Attributes:
      service: index of the service.
      count: number of refused statements.
    """

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseDatabase(Fault):
    """A database announces that it leaves, stops, and is replaced.

    Attributes:
      service: index of the service.
      primary: whether the fault affects the primary or a random replica.
    """

    service: int
    primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplacePrimaries(Fault):
    """Primaries are released one after the other.

    Each announcement waits for the end of the one before. There is none while
    the group misses a database or a primary, since each that goes takes its log
    along.

    Attributes:
      service: index of the service.
      count: number of primaries.
    """

    service: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration(Fault):
    """A newer configuration that adds a database name is stored."""


class ListedWorkspaces(enum.Enum):
    """The workspaces of a configuration, as the platform writes them.

    `WITH_KEY` is the list that a run begins with; no other one holds a key.
    """

    WITH_KEY = ({"name": "holder", "api_keys": ["held"]},)
    EMPTY = ()
    NULL = None
    WITHOUT_KEY = ({"name": "holder", "api_keys": []},)
    UNREADABLE = (None, "holder", {"api_keys": ["held"]})


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeWorkspaces(Fault):
    """A newer configuration with another list of workspaces is stored.

    Attributes:
      listed: the workspaces of that configuration.
    """

    listed: ListedWorkspaces


def draw_faults(seed: int, size: RunSize) -> tuple[Fault, ...]:
    """Returns the faults of a run, sorted by their start."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = _FIRST_FAULT_SECONDS
    while at < size.seconds:
        fault = _draw(rng, size, at)
        faults.append(fault)
        if rng.random() < _SERIES_SHARE:
            faults += _repeat(fault, rng)
        at += rng.expovariate(1 / _MEAN_GAP_SECONDS)
    faults += _draw_silences(seed, size)
    faults += _draw_takeover_faults(seed, size)
    faults += _draw_order_faults(seed, size)
    faults += _draw_message_faults(seed, size)
    faults += _draw_workspace_faults(seed, size)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_silences(seed: int, size: RunSize) -> list[Fault]:
    """Returns short silences, drawn apart from the other faults of a seed."""
    rng = random.Random(f"silences of {seed}")
    silences: list[Fault] = []
    at = _FIRST_FAULT_SECONDS
    while at < size.seconds:
        lasts = _seconds(rng.uniform(*_SILENCE_SECONDS))
        silences.append(
            MuteDatabase(_seconds(at), lasts, _service(rng, size), True)
        )
        at += rng.expovariate(1 / _SILENCE_GAP_SECONDS)
    return silences


def _draw_takeover_faults(seed: int, size: RunSize) -> list[Fault]:
    """Returns faults around takeovers, drawn apart from the other faults.

    Primaries are replaced as planned one after the other, a replica restarts
    during a takeover, and the list has an odd entry all the while.
    """
    rng = random.Random(f"takeovers of {seed}")
    service = _service(rng, size)
    first = _seconds(rng.uniform(0, size.seconds / 2))
    nothing = datetime.timedelta()
    faults: list[Fault] = [
        OddEntry(nothing, nothing, _service(rng, size)),
        ReplacePrimaries(first, nothing, service, _SERIES_LENGTH),
    ]
    cut = _some_proxies(rng, size)[: max(1, size.proxies // 2)]
    at = _seconds(rng.uniform(0, size.seconds))
    lasts = _seconds(rng.uniform(2.0, 5.0))
    other = _service(rng, size)
    return [*faults, RestartDuringTakeover(at, lasts, other, cut)]


def _draw_order_faults(seed: int, size: RunSize) -> list[Fault]:
    """Returns further faults around takeovers, drawn apart from the others.

    A replica restarts twice, all replicas restart at once, an order's answer is
    lost, and a database joins, each while some proxies lack the primary.
    """
    rng = random.Random(f"orders of {seed}")

    def draw() -> tuple[datetime.timedelta, int, tuple[int, ...]]:
        at = _seconds(rng.uniform(0, size.seconds))
        cut = _some_proxies(rng, size)[: max(1, size.proxies // 2)]
        return at, _service(rng, size), cut

    lasts = _seconds(rng.uniform(2.0, 5.0))
    twice, every, unanswered, joined = draw(), draw(), draw(), draw()
    drain = _seconds(_DRAIN_SECONDS)
    return [
        RestartDuringTakeover(twice[0], lasts, *twice[1:], restarts=2),
        RestartDuringTakeover(every[0], lasts, *every[1:], all_replicas=True),
        LoseOrderAnswers(unanswered[0], lasts, *unanswered[1:]),
        JoinDuringTakeover(joined[0], drain + lasts, *joined[1:], drain),
    ]


def _draw_message_faults(seed: int, size: RunSize) -> list[Fault]:
    """Returns faults of messages and answers, drawn apart from the others."""
    rng = random.Random(f"messages of {seed}")

    def draw() -> tuple[datetime.timedelta, datetime.timedelta]:
        at = rng.uniform(0, size.seconds / 2)
        return _seconds(at), _seconds(rng.uniform(0.3, 0.5) * size.seconds)

    delays = (rng.choice(_REPEAT_DELAYS), rng.choice(_REPEAT_DELAYS))
    service = _service(rng, size)
    return [
        OddText(*draw()),
        RepeatAnswers(*draw(), service, _REPEATED_SHARE, delays),
    ]


def _draw_workspace_faults(seed: int, size: RunSize) -> list[Fault]:
    """Returns changes of workspaces, drawn apart from the other faults.

    Deployments with workspaces and without them are run by turns.
    """
    if seed % 2:
        return []
    rng = random.Random(f"workspaces of {seed}")
    nothing = datetime.timedelta()
    times = [rng.uniform(0, size.seconds) for _ in ListedWorkspaces]
    lists = rng.sample(tuple(ListedWorkspaces), len(ListedWorkspaces))
    return [
        ChangeWorkspaces(_seconds(at), nothing, listed)
        for at, listed in zip(times, lists, strict=True)
    ]


def _repeat(fault: Fault, rng: random.Random) -> list[Fault]:
    pause = _seconds(rng.uniform(0.1, 1.5))
    return [
        dataclasses.replace(fault, at=fault.at + number * (fault.lasts + pause))
        for number in range(1, _SERIES_LENGTH)
    ]


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _draw(rng: random.Random, size: RunSize, at: float) -> Fault:
    """Returns a random fault that starts at a given time."""
    lasts = _seconds(rng.uniform(0.3, 4.0))
    factory = rng.choice(_FACTORIES)
    return factory(rng, size, _seconds(at), lasts)


def _proxy(rng: random.Random, size: RunSize) -> int:
    return rng.randrange(size.proxies)


def _some_proxies(rng: random.Random, size: RunSize) -> tuple[int, ...]:
    count = rng.randint(1, size.proxies)
    return tuple(sorted(rng.sample(range(size.proxies), count)))


def _service(rng: random.Random, size: RunSize) -> int:
    return rng.randrange(size.services)


_Factory = Callable[
    [random.Random, RunSize, datetime.timedelta, datetime.timedelta], Fault
]

_FACTORIES: tuple[_Factory, ...] = (
    lambda r, s, at, lasts: KillProxies(at, lasts, (_proxy(r, s),)),
    lambda r, s, at, lasts: KillProxies(at, lasts, _some_proxies(r, s)),
    lambda r, s, at, lasts: StopProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: PauseProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: ReloadProxy(at, lasts, _proxy(r, s)),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.DATABASES, r.choice(tuple(LinkFault)), 1.0
    ),
    lambda r, s, at, lasts: HarmLinks(
        at,
        lasts,
        _proxy(r, s),
        Peer.DATABASES,
        r.choice(tuple(LinkFault)),
        0.34,
    ),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.STORE, r.choice(tuple(LinkFault)), 1.0
    ),
    lambda r, s, at, lasts: HarmLinks(
        at, lasts, _proxy(r, s), Peer.CALLERS, r.choice(tuple(LinkFault)), 1.0
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
