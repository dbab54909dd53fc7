"""Simulation of a fleet of proxies with a faulty network and store.

Runs the decision code of several proxies. Time advances in periods. In each
period, every running proxy ends its heartbeat period, calls the store if its
watch plan requires it, and receives the packets that are due.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import document
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.proxies import codec
from hickorygate.proxies import document_dissemination
from hickorygate.proxies import effects
from hickorygate.proxies import member
from hickorygate.proxies import membership
from hickorygate.proxies import messages
from hickorygate.store import sheet_state
from hickorygate.store import watch

PERIOD = datetime.timedelta(milliseconds=250)
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_ZONES = ("a", "b", "c")
_STEPS_PER_PERIOD = 5
"""Number of points in time per period at which packets arrive."""
_UNKNOWN_AGE_MS = 2**31
"""Age of the store's last answer, in milliseconds, if there was none."""
_SHEET = document.DocumentKind.SHEET


class Store:
    """A store that holds the accepted sheets.

    Attributes:
      up: whether the store answers calls.
      texts: text of each stored sheet by version, newest last.
    """

    def __init__(self) -> None:
        self.up = True
        self.texts: dict[int, str] = {}
        self._last_version = 0

    @property
    def version(self) -> int:
        """Version of the newest sheet; 0 without a sheet."""
        return max(self.texts, default=0)

    def reset(self) -> None:
        """Loses all sheets except version 1.

        A sheet that is loaded later still gets a version above all earlier
        ones.
        """
        self.texts = {v: t for v, t in self.texts.items() if v == 1}

    def load(self, text: str) -> int:
        """Stores a sheet and returns its version.

        The version is above all earlier ones, as if the operator knew the
        version in force in the fleet.
        """
        version = self._last_version = self._last_version + 1
        self.texts[version] = text
        return version


class Node:
    """One process of a proxy.

    Attributes:
      fleet: fleet that the process belongs to.
      running: False while the process is paused.
      versions: 0 and the sheet versions put in force, in order.
      sent: number of packets sent.
      joined: unused.
      membership: view of the fleet's membership.
      dissemination: dissemination of document versions.
      configuration: sheet in force.
      plan: schedule of the calls to the store.
      store_reached: time of the latest known answer of the store to any
        proxy.
    """

    def __init__(self, fleet: Fleet, name: str, seeds: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.running = True
        self.versions: list[int] = [0]
        self.sent = 0
        self.joined: set[str] = set()
        settings = settings_lib.PeerSettings(seeds=seeds)
        me = member.Member(
            name=name,
            address=f"{name}:1",
            admin=f"{name}:2",
            zone=_ZONES[sum(name.encode()) % len(_ZONES)],
            incarnation=fleet.periods,
        )
        self.membership = membership.Membership(me, settings, fleet.generator)
        self.dissemination = document_dissemination.DocumentDissemination(
            self.membership
        )
        self.configuration = sheet_state.SheetState()
        self.plan = watch.WatchPlan(self.configuration, fleet.generator)
        self.store_reached: datetime.datetime | None = None

    @property
    def name(self) -> str:
        """Name of the proxy."""
        return self.membership.me.name

    def header(self) -> messages.Header:
        """Returns the header of the next message."""
        now = self.fleet.now
        reached = self.store_reached
        age = (now - reached).total_seconds() if reached else None
        return messages.Header(
            sender=self.membership.me,
            wall=now,
            count=0,
            versions=self.dissemination.versions,
            digest=self.membership.digest,
            store_age_ms=_UNKNOWN_AGE_MS if age is None else int(age * 1_000),
        )

    def tick(self) -> None:
        """Ends a heartbeat period and calls the store if that is due."""
        event = membership.Tick()
        self.perform(self.membership.handle(event, self.fleet.now))
        self.ask_store()

    def ask_store(self) -> None:
        """Carries out the next step of the watch plan.

        A watch is simulated by one read per period.
        """
        now = self.fleet.now
        reached = self.store_reached
        age = now - reached if reached else datetime.timedelta.max
        role = watch.RelayRole(
            self.membership.is_relay, age < datetime.timedelta(seconds=45)
        )
        step = self.plan.step(role, now)
        if isinstance(step, watch.Pause):
            return
        store = self.fleet.store
        self.fleet.store_calls += 1
        if not store.up:
            failure = errors.StoreUnavailable("down", False)
            self.plan.handle(watch.Failed(failure), now)
            return
        self.store_reached = now
        if store.version > step.after:
            self.offer(store.version, store.texts[store.version], "platform")
        self.plan.handle(watch.Answered(store.version), now)

    def offer(self, version: int, text: str, source: str) -> None:
        """Offers a copy of a sheet to the configuration.

        Args:
          version: version of the sheet.
          text: text of the sheet.
          source: origin of the copy, for a person.
        """
        candidate = document.ReceivedDocument(version, text, source)
        for effect in self.configuration.offer(candidate):
            if isinstance(effect, sheet_state.ApplySheet):
                self.versions.append(effect.sheet.version)
                self.perform(
                    self.dissemination.announce_version(
                        _SHEET, effect.sheet.version
                    )
                )

    def receive(self, packet: codec.Packet) -> None:
        """Processes a packet."""
        now = self.fleet.now
        header = packet.header
        if header.store_age_ms < _UNKNOWN_AGE_MS:
            age = datetime.timedelta(milliseconds=header.store_age_ms)
            self.store_reached = max(now - age, self.store_reached or now - age)
        event = membership.Received(packet)
        self.perform(self.membership.handle(event, now))
        self.perform(self.dissemination.request_newer(header, now))
        _handle_message(packet.message, self, header.sender)

    def perform(self, found: tuple[effects.Effect, ...]) -> None:
        """Sends the messages among the effects and ignores other effects."""
        for effect in found:
            if isinstance(effect, effects.Send):
                self.sent += 1
                packet = codec.Packet(self.header(), effect.message)
                self.fleet.post(self, effect.address, packet)


@functools.singledispatch
def _handle_message(
    message: messages.Message, node: Node, sender: member.Member
) -> None:
    """Ignores a message that the membership has already handled."""


@_handle_message.register
def _(
    message: messages.DocumentRequest, node: Node, sender: member.Member
) -> None:
    sheet = node.configuration.sheet
    if sheet is not None:
        copy = messages.DocumentCopy(_SHEET, sheet.version, sheet.text.encode())
        node.perform((effects.Send(sender.address, copy, sender.name),))


@_handle_message.register
def _(
    message: messages.DocumentCopy, node: Node, sender: member.Member
) -> None:
    node.offer(message.version, message.data.decode(), sender.name)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _PostedPacket:
    """A packet in the network.

    Packets are ordered by arrival time, then by sending order.

    Attributes:
      arrival_step: step at which the packet arrives.
      sequence: number that orders the packets of one step.
      address: name of the receiver.
      packet: the packet.
    """

    arrival_step: int
    sequence: int
    address: str = dataclasses.field(compare=False)
    packet: codec.Packet = dataclasses.field(compare=False)


class Fleet:
    """Proxies, the network between them, and the store.

    Attributes:
      generator: source of randomness for proxies and network.
      periods: number of periods that have started.
      loss: probability that a packet is lost; above 0, packets are also
        delayed and duplicated.
      store: the store of all proxies.
      store_calls: number of calls to the store.
      cut: names of the proxies on one side of a network partition.
      blocked: names of proxies between which all packets are lost.
      nodes: processes by name of the proxy.
    """

    def __init__(self, size: int, generator: random.Random) -> None:
        self.generator = generator
        self.periods = 0
        self.loss = 0.0
        self.store = Store()
        self.store_calls = 0
        self.cut: frozenset[str] = frozenset()
        self.blocked: frozenset[str] = frozenset()
        self.nodes: dict[str, Node] = {}
        self._in_flight: list[_PostedPacket] = []
        self._posted_count = 0
        self._step = 0
        for number in range(size):
            self.start(f"p{number}")

    @property
    def now(self) -> datetime.datetime:
        """Current time."""
        return (
            _START
            + self.periods * PERIOD
            + self._step_in_period * PERIOD / _STEPS_PER_PERIOD
        )

    @property
    def _step_in_period(self) -> int:
        """Number of steps since the start of the current period."""
        return self._step % _STEPS_PER_PERIOD

    @property
    def running(self) -> list[Node]:
        """Processes that are not paused."""
        return [node for node in self.nodes.values() if node.running]

    def start(self, name: str) -> None:
        """Starts a process; it replaces an older process of the same name."""
        seeds = tuple(f"{other}:1" for other in list(self.nodes)[:2])
        self.nodes[name] = Node(self, name, seeds)

    def crash(self, name: str) -> None:
        """Ends a process permanently, without an announcement."""
        del self.nodes[name]

    def post(self, sender: Node, address: str, packet: codec.Packet) -> None:
        """Drops a packet or schedules its delivery, once or twice.

        Args:
          sender: process that sends the packet.
          address: `name:port` of the receiver.
          packet: packet to deliver.
        """
        receiver = address.partition(":")[0]
        if (sender.name in self.cut) != (receiver in self.cut):
            return
        if {sender.name, receiver} <= self.blocked:
            return
        if self.generator.random() < self.loss:
            return
        copies = 2 if self.loss and self.generator.random() < 0.1 else 1
        for _ in range(copies):
            delay = self.generator.randint(
                1, _STEPS_PER_PERIOD if self.loss else 1
            )
            self._posted_count += 1
            self._in_flight.append(
                _PostedPacket(
                    self._step + delay, self._posted_count, receiver, packet
                )
            )

    def run(self, periods: int) -> None:
        """Advances the simulation by a number of periods."""
        for _ in range(periods):
            self.periods += 1
            self._step = self.periods * _STEPS_PER_PERIOD
            for node in self.running:
                node.tick()
            for _ in range(_STEPS_PER_PERIOD):
                self._step += 1
                self._deliver()
            self._step = self.periods * _STEPS_PER_PERIOD

    def heal(self) -> None:
        """Ends all faults of network and proxies, but none of the store."""
        self.loss = 0.0
        self.cut = frozenset()
        for node in self.nodes.values():
            node.running = True

    def _deliver(self) -> None:
        """Delivers the packets that are due to running processes."""
        due = [p for p in self._in_flight if p.arrival_step <= self._step]
        self._in_flight = [
            p for p in self._in_flight if p.arrival_step > self._step
        ]
        for posted in sorted(due):
            node = self.nodes.get(posted.address)
            if node is not None and node.running:
                node.receive(posted.packet)
