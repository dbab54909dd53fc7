"""A simulated group, its proxies, and an unreliable network.

The network loses, delays and repeats packets. Everything runs on one thread
with a simulated clock. The proxies run the production decision code (failover
and replication confirmation); the databases are the logs of the stand-in
database.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import itertools
import random

from hickorygate.core import position
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.testing import replication
from hickorygate.upstreams import failover
from hickorygate.upstreams import failover_dispatch
from hickorygate.upstreams import failover_events
from hickorygate.upstreams import failover_timing
from hickorygate.upstreams import write_confirmation

__all__ = [
    "Packet",
    "Probe",
    "Proxy",
    "ReplicaPositionRequest",
    "GroupSimulation",
    "Write",
]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_DETECTION = datetime.timedelta(milliseconds=100)
_TIMING = failover_timing.FailoverTiming(
    detection=_DETECTION,
    rank_delay=datetime.timedelta(0),
    readmission=datetime.timedelta(milliseconds=300),
    limit=datetime.timedelta(seconds=1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request for a database's status."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A request to append one entry.

    Attributes:
      label: unique label of the entry.
      term: term of the primary that the proxy sends the write to.
    """

    label: str
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A request for a primary's position, to confirm the writes of a term.

    Attributes:
      term: term of the writes.
      number: call number that matches the reply to the request, as a
        connection does.
    """

    term: types.Term
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaPositionRequest:
    """A request for a replica's position, to confirm the writes of a term.

    Attributes:
      term: term of the writes.
      number: call number that matches the reply to the request.
    """

    term: types.Term
    number: int


Request = failover_events.Call | Probe | Write | Read | ReplicaPositionRequest
Reply = position.DatabaseStatus | None
"""Status after the request, or None if the database refused it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A request or a reply in transit.

    Attributes:
      proxy: name of the proxy that sent the request.
      database: name of the database that receives the request.
      request: the request.
      replied: whether the packet carries the reply.
      reply: reply of the database; None if it refused the request.
    """

    proxy: str
    database: types.DatabaseName
    request: Request
    replied: bool = False
    reply: Reply = None


class Proxy:
    """One proxy: the failover and confirmation state of the group.

    Attributes:
      seen: newest status received from each database.
      confirmations: confirmation state by term.
      labels: write labels by confirmation ticket.
      expected: numbers of the calls whose replies are outstanding.
      paused: whether the proxy process is suspended.
    """

    def __init__(self, name: str, simulation: GroupSimulation) -> None:
        self.name = name
        self.simulation = simulation
        self.failover = failover.Failover(
            simulation.group, _TIMING, random.Random(name)
        )
        self.handle(failover_events.RankChanged(0))
        self.seen: dict[types.DatabaseName, position.DatabaseStatus] = {}
        self.confirmations: dict[
            types.Term, write_confirmation.WriteConfirmation
        ] = {}
        self.labels: dict[int, str] = {}
        self.numbers = itertools.count()
        self.expected: set[int] = set()
        self.paused = False

    @property
    def primary(self) -> position.DatabaseStatus | None:
        """Status of the primary with the newest term seen; None without one."""
        leaders = [
            s for s in self.seen.values() if s.role is position.Role.PRIMARY
        ]
        return max(leaders, key=lambda s: s.term, default=None)

    def send(self, database: types.DatabaseName, request: Request) -> None:
        """Adds a request to the packets in transit."""
        self.simulation.packets.append(Packet(self.name, database, request))

    def probe(self) -> None:
        """Sends a status request to each database."""
        for name in self.simulation.logs:
            self.send(name, Probe())

    def write(self, label: str) -> None:
        """Sends a write to the primary of the newest term seen, if any."""
        primary = self.primary
        if primary is not None:
            self.send(primary.database, Write(label, primary.term))

    def handle(self, event: failover_events.Event) -> None:
        """Passes an event to the failover logic and sends its calls."""
        effects = failover_dispatch.handle(
            event, self.failover, self.simulation.now
        )
        for effect in effects:
            if isinstance(effect, failover_events.Call):
                self.send(effect.database, effect)

    def next_number(self) -> int:
        """Returns a new call number and marks its reply as outstanding."""
        number = next(self.numbers)
        self.expected.add(number)
        return number

    def expects(self, number: int) -> bool:
        """Returns whether a call's reply is outstanding, and clears the mark.

        A repeated reply to the same call is therefore ignored.
        """
        awaited = number in self.expected
        self.expected.discard(number)
        return awaited

    def confirm(
        self, term: types.Term, event: write_confirmation.Event
    ) -> None:
        """Passes an event to a term's confirmation and performs the effects."""
        confirmation = self.confirmations[term]
        for effect in write_confirmation.handle(event, confirmation):
            _perform(effect, self, term)

    def start_confirming(self, write: Write, primary: str) -> None:
        """Starts to confirm that an answered write is durable."""
        others = [name for name in self.simulation.logs if name != primary]
        self.confirmations.setdefault(
            write.term,
            write_confirmation.WriteConfirmation(
                write.term, others, self.simulation.group.majority
            ),
        )
        ticket = len(self.labels)
        self.labels[ticket] = write.label
        self.confirm(write.term, write_confirmation.WriteRan(ticket))


class GroupSimulation:
    """The databases, proxies and packets, and the checked guarantees.

    Attributes:
      logs: log by database name.
      down: names of the databases that are stopped.
      cut_links: pairs of databases between which replication is cut.
      packets: packets in transit.
      acknowledged: term by label of each acknowledged write.
      primaries: first primary seen of each term.
      inherited: labels that the primary of each term held when promoted.
    """

    def __init__(self, databases: int, proxies: int) -> None:
        names = [f"db-{number}" for number in range(databases)]
        self.group = sheet.Group(
            "g",
            ("s",),
            tuple(
                sheet.Database(name, "127.0.0.1", 1, "hobart", 20, 3)
                for name in names
            ),
        )
        self.now = _START
        self.logs = {
            name: replication.ReplicationLog(name, "first") for name in names
        }
        self.down: set[types.DatabaseName] = set()
        self.cut_links: set[frozenset[types.DatabaseName]] = set()
        self.packets: list[Packet] = []
        self.acknowledged: dict[str, types.Term] = {}
        self.primaries: dict[types.Term, types.DatabaseName] = {1: names[0]}
        self.inherited: dict[types.Term, frozenset[str]] = {}
        for log in self.logs.values():
            log.fence(1, "setup")
        self.logs[names[0]].promote(1, "setup")
        for name in names[1:]:
            self.logs[name].follow(1, names[0])
            self.replicate(name, None)
        self.proxies = {
            f"proxy-{number}": Proxy(f"proxy-{number}", self)
            for number in range(proxies)
        }

    def advance(self, milliseconds: int) -> None:
        """Advances the clock and ticks each proxy that isn't paused."""
        self.now += datetime.timedelta(milliseconds=milliseconds)
        for proxy in self.proxies.values():
            if not proxy.paused:
                proxy.handle(failover_events.Tick())

    def replicate(self, name: types.DatabaseName, most: int | None) -> None:
        """Copies entries to a replica from the primary that it follows.

        Args:
          name: name of the replica.
          most: greatest number of entries to copy; None for all.
        """
        log = self.logs[name]
        source = log.following
        if source is None or frozenset((name, source)) in self.cut_links:
            return
        if not self.down & {name, source}:
            log.pull(self.logs[source], self.now, most)
            log.applied = len(log.entries)

    def deliver(self, packet: Packet) -> None:
        """Runs a request at its database, or passes a reply to its proxy."""
        proxy = self.proxies[packet.proxy]
        if packet.replied:
            _handle_reply(packet.request, packet.reply, packet.database, proxy)
        elif packet.database in self.down:
            self.lose(packet)
        else:
            log = self.logs[packet.database]
            ran = _run(packet.request, log, packet.proxy, self)
            reply = log.status(self.now) if ran else None
            self.packets.append(
                dataclasses.replace(packet, replied=True, reply=reply)
            )

    def lose(self, packet: Packet) -> None:
        """Drops a packet; the proxy handles the timeout of its call."""
        _time_out(packet.request, packet.database, self.proxies[packet.proxy])

    def crash(self, name: types.DatabaseName) -> None:
        """Stops a database and drops the requests in transit to it."""
        self.down.add(name)
        dead = [p for p in self.packets if p.database == name and not p.replied]
        self.packets = [p for p in self.packets if p not in dead]
        for packet in dead:
            self.lose(packet)

    def acknowledge(self, label: str, term: types.Term) -> None:
        """Records an acknowledged write; later primaries must have it."""
        self.acknowledged[label] = term
        for later, labels in self.inherited.items():
            if later > term:
                assert label in labels, (
                    f"{label} was acknowledged, but lost in term {later}"
                )

    def promoted(self, log: replication.ReplicationLog) -> None:
        """Checks a promoted database.

        A term must have one primary, and the primary must hold each write
        that was acknowledged in an earlier term.
        """
        known = self.primaries.setdefault(log.term, log.database)
        assert known == log.database, f"two primaries in term {log.term}"
        if log.term in self.inherited:
            return
        labels = frozenset(
            label for entry in log.entries for label in entry.statements
        )
        self.inherited[log.term] = labels
        for label, term in self.acknowledged.items():
            if term < log.term:
                assert label in labels, (
                    f"{label} was acknowledged, but lost in term {log.term}"
                )


@functools.singledispatch
def _run(
    request: Request,
    log: replication.ReplicationLog,
    owner: str,
    simulation: GroupSimulation,
) -> bool:
    """Runs a request on a database; returns whether it was accepted."""
    return True


@_run.register
def _(
    request: Write,
    log: replication.ReplicationLog,
    owner: str,
    simulation: GroupSimulation,
) -> bool:
    if not log.writable:
        return False
    log.append((request.label,))
    return True


@_run.register
def _(
    request: failover_events.Fence,
    log: replication.ReplicationLog,
    owner: str,
    simulation: GroupSimulation,
) -> bool:
    return log.fence(request.term, owner).is_ok()


@_run.register
def _(
    request: failover_events.Promote,
    log: replication.ReplicationLog,
    owner: str,
    simulation: GroupSimulation,
) -> bool:
    accepted = log.promote(request.term, owner).is_ok()
    if accepted:
        simulation.promoted(log)
    return accepted


@_run.register
def _(
    request: failover_events.Follow,
    log: replication.ReplicationLog,
    owner: str,
    simulation: GroupSimulation,
) -> bool:
    return log.follow(request.term, request.primary).is_ok()


@functools.singledispatch
def _handle_reply(
    request: Request, reply: Reply, database: types.DatabaseName, proxy: Proxy
) -> None:
    """Passes a reply to the proxy's decision logic."""
    raise TypeError(f"no handler for the reply to {request!r}")


@_handle_reply.register
def _(
    request: Probe, reply: Reply, database: types.DatabaseName, proxy: Proxy
) -> None:
    assert reply is not None, "a database never refuses a status request"
    proxy.seen[database] = reply
    proxy.handle(failover_events.StatusSeen(reply))


@_handle_reply.register
def _(
    request: Write, reply: Reply, database: types.DatabaseName, proxy: Proxy
) -> None:
    if reply is not None:
        proxy.start_confirming(request, database)


@_handle_reply.register
def _(
    request: Read, reply: Reply, database: types.DatabaseName, proxy: Proxy
) -> None:
    if proxy.expects(request.number):
        proxy.confirm(request.term, write_confirmation.PositionRead(reply))


@_handle_reply.register
def _(
    request: ReplicaPositionRequest,
    reply: Reply,
    database: types.DatabaseName,
    proxy: Proxy,
) -> None:
    if proxy.expects(request.number):
        proxy.confirm(
            request.term, write_confirmation.ReplicaWaitEnded(database, reply)
        )


@_handle_reply.register
def _(
    request: failover_events.Call,
    reply: Reply,
    database: types.DatabaseName,
    proxy: Proxy,
) -> None:
    if reply is None:
        proxy.handle(failover_events.CallRefused(request))
    else:
        proxy.handle(failover_events.CallSucceeded(request, reply))


@functools.singledispatch
def _time_out(
    request: Request, database: types.DatabaseName, proxy: Proxy
) -> None:
    """Reports a lost request or reply to the proxy's decision logic."""


@_time_out.register
def _(request: Probe, database: types.DatabaseName, proxy: Proxy) -> None:
    proxy.seen.pop(database, None)
    proxy.handle(failover_events.ProbeFailed(database))


@_time_out.register
def _(request: Read, database: types.DatabaseName, proxy: Proxy) -> None:
    if proxy.expects(request.number):
        proxy.confirm(request.term, write_confirmation.PositionRead(None))


@_time_out.register
def _(
    request: ReplicaPositionRequest, database: types.DatabaseName, proxy: Proxy
) -> None:
    if proxy.expects(request.number):
        proxy.confirm(
            request.term, write_confirmation.ReplicaWaitEnded(database, None)
        )


@_time_out.register
def _(
    request: failover_events.Call, database: types.DatabaseName, proxy: Proxy
) -> None:
    proxy.handle(failover_events.CallLost(request))


@functools.singledispatch
def _perform(
    effect: write_confirmation.Effect, proxy: Proxy, term: types.Term
) -> None:
    """Performs an effect of a confirmation."""


@_perform.register
def _(
    effect: write_confirmation.ReadPosition, proxy: Proxy, term: types.Term
) -> None:
    proxy.send(
        proxy.simulation.primaries[term], Read(term, proxy.next_number())
    )


@_perform.register
def _(
    effect: write_confirmation.WaitForReplica, proxy: Proxy, term: types.Term
) -> None:
    proxy.send(
        effect.database, ReplicaPositionRequest(term, proxy.next_number())
    )


@_perform.register
def _(
    effect: write_confirmation.Confirmed, proxy: Proxy, term: types.Term
) -> None:
    proxy.simulation.acknowledge(proxy.labels[effect.ticket], term)
