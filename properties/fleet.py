"""The decision code of several proxies over a network and a store that fail.

Time moves in periods. In each, every proxy that runs ends its period, asks
the store if its plan says so, and takes in the packets that are due.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.proxies import codec
from hickorygate.proxies import documents as spreading
from hickorygate.proxies import effects
from hickorygate.proxies import member as members
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages
from hickorygate.store import configuration as configurations
from hickorygate.store import watch

PERIOD = datetime.timedelta(milliseconds=250)
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_ZONES = ("a", "b", "c")
_SLOTS = 5
"""Moments of a period at which packets arrive."""
_NEVER_MS = 2**31
_SHEET = documents.DocumentKind.SHEET


class Store:
    """The sheets that were accepted, newest last."""

    def __init__(self) -> None:
        self.up = True
        self.texts: dict[int, str] = {}
        self._newest = 0

    @property
    def version(self) -> int:
        """Of the newest sheet; 0 without one."""
        return max(self.texts, default=0)

    def reset(self) -> None:
        """Loses all but the oldest sheet; versions go on from there."""
        self.texts = {v: t for v, t in self.texts.items() if v == 1}

    def load(self, text: str) -> int:
        """Accepts a sheet, as one who has seen the fleet would."""
        version = self._newest = self._newest + 1
        self.texts[version] = text
        return version


class Node:
    """One process of a proxy."""

    def __init__(self, fleet: Fleet, name: str, seeds: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.running = True
        self.versions: list[int] = [0]
        self.sent = 0
        self.joined: set[str] = set()
        settings = settings_lib.PeerSettings(seeds=seeds)
        me = members.Member(
            name=name,
            address=f"{name}:1",
            admin=f"{name}:2",
            zone=_ZONES[sum(name.encode()) % len(_ZONES)],
            incarnation=fleet.periods,
        )
        self.membership = memberships.Membership(me, settings, fleet.generator)
        self.spreading = spreading.Documents(self.membership)
        self.configuration = configurations.Configuration()
        self.plan = watch.WatchPlan(self.configuration, fleet.generator)
        self.store_reached: datetime.datetime | None = None

    @property
    def name(self) -> str:
        """Its name."""
        return self.membership.me.name

    def header(self) -> messages.Header:
        """Goes before each message."""
        now = self.fleet.now
        reached = self.store_reached
        age = (now - reached).total_seconds() if reached else None
        return messages.Header(
            sender=self.membership.me,
            wall=now,
            count=0,
            versions=self.spreading.versions,
            digest=self.membership.digest,
            store_age_ms=_NEVER_MS if age is None else int(age * 1_000),
        )

    def tick(self) -> None:
        """Ends a period."""
        event = memberships.Tick()
        self.perform(self.membership.handle(event, self.fleet.now))
        self.ask_store()

    def ask_store(self) -> None:
        """Does what the plan says; a watch looks once a period."""
        now = self.fleet.now
        reached = self.store_reached
        age = now - reached if reached else datetime.timedelta.max
        role = watch.Role(
            self.membership.is_relay, age < datetime.timedelta(seconds=45)
        )
        step = self.plan.step(role, now)
        if isinstance(step, watch.Pause):
            return
        store = self.fleet.store
        self.fleet.store_calls += 1
        if not store.up:
            failure = errors.StoreUnavailable("down", False)
            self.plan.take(watch.Failed(failure), now)
            return
        self.store_reached = now
        if store.version > step.after:
            self.offer(store.version, store.texts[store.version], "platform")
        self.plan.take(watch.Answered(store.version), now)

    def offer(self, version: int, text: str, source: str) -> None:
        """Hears of a sheet."""
        candidate = documents.Candidate(version, text, source)
        for effect in self.configuration.offer(candidate):
            if isinstance(effect, configurations.Apply):
                self.versions.append(effect.sheet.version)
                self.perform(self.spreading.hold(_SHEET, effect.sheet.version))

    def receive(self, packet: codec.Packet) -> None:
        """Takes in a packet."""
        now = self.fleet.now
        header = packet.header
        if header.store_age_ms < _NEVER_MS:
            age = datetime.timedelta(milliseconds=header.store_age_ms)
            self.store_reached = max(now - age, self.store_reached or now - age)
        event = memberships.Received(packet)
        self.perform(self.membership.handle(event, now))
        self.perform(self.spreading.hear(header, now))
        _take(packet.message, self, header.sender)

    def perform(self, found: tuple[effects.Effect, ...]) -> None:
        """Sends what the decisions ask for."""
        for effect in found:
            if isinstance(effect, effects.Send):
                self.sent += 1
                packet = codec.Packet(self.header(), effect.message)
                self.fleet.post(self, effect.address, packet)


@functools.singledispatch
def _take(
    message: messages.Message, node: Node, sender: members.Member
) -> None:
    """Everything else was taken by the membership."""


@_take.register
def _(
    message: messages.DocumentWanted, node: Node, sender: members.Member
) -> None:
    sheet = node.configuration.sheet
    if sheet is not None:
        copy = messages.DocumentCopy(_SHEET, sheet.version, sheet.text.encode())
        node.perform((effects.Send(sender.address, copy, sender.name),))


@_take.register
def _(
    message: messages.DocumentCopy, node: Node, sender: members.Member
) -> None:
    node.offer(message.version, message.data.decode(), sender.name)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Posted:
    slot: int
    order: int
    address: str = dataclasses.field(compare=False)
    packet: codec.Packet = dataclasses.field(compare=False)


class Fleet:
    """Proxies, the network between them, and the store."""

    def __init__(self, size: int, generator: random.Random) -> None:
        self.generator = generator
        self.periods = 0
        self.loss = 0.0
        self.store = Store()
        self.store_calls = 0
        self.cut: frozenset[str] = frozenset()
        self.blocked: frozenset[str] = frozenset()
        self.nodes: dict[str, Node] = {}
        self._posted: list[_Posted] = []
        self._order = 0
        self._slot = 0
        for number in range(size):
            self.start(f"p{number}")

    @property
    def now(self) -> datetime.datetime:
        """The present moment."""
        return _START + self.periods * PERIOD + self._part * PERIOD / _SLOTS

    @property
    def _part(self) -> int:
        return self._slot % _SLOTS

    @property
    def running(self) -> list[Node]:
        """The processes that are not paused."""
        return [node for node in self.nodes.values() if node.running]

    def start(self, name: str) -> None:
        """Starts a process, in place of an older one of that name."""
        seeds = tuple(f"{other}:1" for other in list(self.nodes)[:2])
        self.nodes[name] = Node(self, name, seeds)

    def crash(self, name: str) -> None:
        """Ends a process for good."""
        del self.nodes[name]

    def post(self, sender: Node, address: str, packet: codec.Packet) -> None:
        """Loses a packet, or delivers it once or twice, some time later."""
        receiver = address.partition(":")[0]
        if (sender.name in self.cut) != (receiver in self.cut):
            return
        if {sender.name, receiver} <= self.blocked:
            return
        if self.generator.random() < self.loss:
            return
        copies = 2 if self.loss and self.generator.random() < 0.1 else 1
        for _ in range(copies):
            delay = self.generator.randint(1, _SLOTS if self.loss else 1)
            self._order += 1
            self._posted.append(
                _Posted(self._slot + delay, self._order, receiver, packet)
            )

    def run(self, periods: int) -> None:
        """Lets time pass."""
        for _ in range(periods):
            self.periods += 1
            self._slot = self.periods * _SLOTS
            for node in self.running:
                node.tick()
            for _ in range(_SLOTS):
                self._slot += 1
                self._deliver()
            self._slot = self.periods * _SLOTS

    def heal(self) -> None:
        """Ends all faults but those of the store."""
        self.loss = 0.0
        self.cut = frozenset()
        for node in self.nodes.values():
            node.running = True

    def _deliver(self) -> None:
        due = [p for p in self._posted if p.slot <= self._slot]
        self._posted = [p for p in self._posted if p.slot > self._slot]
        for posted in sorted(due):
            node = self.nodes.get(posted.address)
            if node is not None and node.running:
                node.receive(posted.packet)
