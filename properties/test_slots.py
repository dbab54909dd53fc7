"""Slots of one database, shared by several proxies, in random event orders.

The test guards against more statements at a time than slots, against more
connections than the limit, and against requests that wait forever once the
faults have ended.

Hypothesis sorts the rules by their names: the name of a rule decides which
examples are tested.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hickorygate.core import pool_errors
from hickorygate.upstreams import slot_events
from hickorygate.upstreams import slot_settings
from hickorygate.upstreams import slots
import properties

__all__ = ["SlotsTest"]

assert properties.__doc__, "the import loads the Hypothesis profile"

_SLOTS = 2
_PROXIES = 3
_SHARE = slots.SharedConnections(limit=4, proxies=2)
"""Assumes fewer proxies than there are.

This is the case while instances are replaced.
"""

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_FULL = pool_errors.ConnectionLimit("one")
_DRAIN_STEPS = 2_000


@dataclasses.dataclass(eq=False, slots=True)
class _Session:
    """One connection, as the database and the proxy know it.

    Attributes:
      proxy: index of the proxy that opened the connection.
      channel: number of the connection at that proxy.
      entered: whether the connection counts in the database's limit.
      slot: slot whose lock the session holds; None without one.
      lent: whether the proxy runs a request on the connection.
      closed_here: whether the proxy closed the connection.
      ended: whether the database ended the session.
    """

    proxy: int
    channel: int
    entered: bool = False
    slot: int | None = None
    lent: bool = False
    closed_here: bool = False
    ended: bool = False


class _Database:
    """The slot locks of a database; each has one holder and a queue."""

    def __init__(self) -> None:
        self.sessions: list[_Session] = []
        self.holders: dict[int, _Session] = {}
        self.queues: dict[int, list[_Session]] = {
            slot: [] for slot in range(_SLOTS)
        }

    def connect(self, session: _Session) -> bool:
        """Adds a connection; returns False if the limit is reached."""
        if len([s for s in self.sessions if s.entered]) >= _SHARE.limit:
            return False
        session.entered = True
        self.sessions.append(session)
        return True

    def acquire(self, session: _Session, slot: int) -> bool:
        """Acquires a slot if it is free; returns whether it did."""
        if session.ended or self.holders.get(slot) is not None:
            return False
        self.holders[slot] = session
        session.slot = slot
        return True

    def release(self, session: _Session) -> list[_Session]:
        """Releases a session's slot; returns the sessions that got it."""
        slot, session.slot = session.slot, None
        if slot is None:
            return []
        self.holders.pop(slot, None)
        queue = self.queues[slot]
        while queue:
            first = queue.pop(0)
            if self.acquire(first, slot):
                return [first]
        return []

    def end(self, session: _Session) -> list[_Session]:
        """Ends a session, releases its slot, returns who got the slot."""
        session.ended = True
        session.entered = False
        self.sessions.remove(session)
        for queue in self.queues.values():
            if session in queue:
                queue.remove(session)
        return self.release(session)


@dataclasses.dataclass(eq=False, slots=True)
class _Letter:
    """A reply of the database in transit to a proxy."""

    session: _Session
    event: slot_events.Event


@hypothesis.seed(
    20578169194528260920681063761740684188753326654530837634670397738956860624713474149854981502569204682356808677262195
)
class SlotMachine(stateful.RuleBasedStateMachine):
    """Proxies, a database, and answers between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START
        self.database = _Database()
        self.letters: list[_Letter] = []
        self.waiting = [0] * _PROXIES
        self.keepers = [self.allocator(p) for p in range(_PROXIES)]
        self.sessions: dict[tuple[int, int], _Session] = {}

    def allocator(self, proxy: int) -> slots.SlotAllocator:
        """Returns a proxy's decisions as after its start."""
        return slots.SlotAllocator(
            _SLOTS, _SHARE, slot_settings.SlotSettings(), random.Random(proxy)
        )

    def note(self, proxy: int, event: slot_events.Event) -> None:
        """Lets a proxy decide and does what it says."""
        for effect in self.keepers[proxy].handle(event, self.now):
            _perform(effect, self, proxy)

    def demand(self, proxy: int) -> None:
        """Tells a proxy how much waits."""
        self.note(proxy, slot_events.Demand(self.waiting[proxy], False))

    def answer(self, session: _Session, event: slot_events.Event) -> None:
        """Sends an answer on its way."""
        self.letters.append(_Letter(session, event))

    def grant(self, granted: list[_Session]) -> None:
        """Tells those who waited that they hold a slot."""
        for session in granted:
            self.answer(
                session, slot_events.SlotGranted(session.channel, session.slot)
            )

    def drop(self, session: _Session) -> None:
        """Closes a connection on the proxy's side only."""
        session.closed_here = True
        session.lent = False
        self.sessions.pop((session.proxy, session.channel), None)

    @property
    def current(self) -> list[_Session]:
        """The connections that proxies have open."""
        return list(self.sessions.values())

    @stateful.rule(
        proxy=strategies.integers(0, _PROXIES - 1),
        count=strategies.integers(1, 3),
    )
    def request(self, proxy: int, count: int) -> None:
        self.waiting[proxy] += count
        self.demand(proxy)

    @stateful.rule(
        numbers=strategies.lists(strategies.integers(0, 99), min_size=1)
    )
    def deliver_some(self, numbers: list[int]) -> None:
        for number in numbers:
            self.deliver(number)
            self.limits_hold()

    def deliver(self, number: int) -> None:
        """Delivers one of the answers on their way."""
        if not self.letters:
            return
        letter = self.letters.pop(number % len(self.letters))
        session = letter.session
        key = (session.proxy, session.channel)
        if isinstance(
            letter.event, slot_events.Opened | slot_events.OpenFailed
        ):
            if session.closed_here:
                return
            if isinstance(letter.event, slot_events.Opened):
                self.sessions[key] = session
            self.note(session.proxy, letter.event)
        elif self.sessions.get(key) is session:
            self.note(session.proxy, letter.event)

    @stateful.rule(number=strategies.integers(0, 99))
    def lose_answer(self, number: int) -> None:
        """An answer is lost after its effect: the connection is dropped."""
        lost = [
            letter for letter in self.letters if letter.session in self.current
        ]
        if not lost:
            return
        letter = lost[number % len(lost)]
        self.letters.remove(letter)
        self.drop(letter.session)
        self.note(
            letter.session.proxy,
            slot_events.ConnectionLost(letter.session.channel),
        )

    @stateful.rule(number=strategies.integers(0, 99))
    def finish(self, number: int) -> None:
        lent = [session for session in self.current if session.lent]
        if lent:
            session = lent[number % len(lent)]
            session.lent = False
            self.note(
                session.proxy, slot_events.ConnectionReturned(session.channel)
            )

    @stateful.rule(number=strategies.integers(0, 99))
    def stall(self, number: int) -> None:
        lent = [session for session in self.current if session.lent]
        if lent:
            session = lent[number % len(lent)]
            self.note(
                session.proxy, slot_events.StatementStalled(session.channel)
            )

    @stateful.rule(number=strategies.integers(0, 99))
    def database_ends_one(self, number: int) -> None:
        """The database ends a session; its proxy doesn't notice."""
        if self.database.sessions:
            count = len(self.database.sessions)
            session = self.database.sessions[number % count]
            self.grant(self.database.end(session))

    @stateful.rule(proxy=strategies.integers(0, _PROXIES - 1))
    def crash(self, proxy: int) -> None:
        """A proxy is replaced; the database notices later, if ever."""
        for session in self.current:
            if session.proxy == proxy:
                self.drop(session)
        for letter in self.letters:
            if letter.session.proxy == proxy:
                letter.session.closed_here = True
        self.keepers[proxy] = self.allocator(proxy)
        self.waiting[proxy] = 0

    @stateful.rule(milliseconds=strategies.integers(1, 200))
    def pass_time(self, milliseconds: int) -> None:
        self.now += datetime.timedelta(milliseconds=milliseconds)
        for proxy in range(_PROXIES):
            self.note(proxy, slot_events.Tick())

    @stateful.invariant()
    def limits_hold(self) -> None:
        running = [s for s in self.current if s.lent and not s.ended]
        assert len(running) <= _SLOTS
        for session in running:
            assert self.database.holders.get(session.slot) is session
        entered = [s for s in self.database.sessions if s.entered]
        assert len(entered) <= _SHARE.limit

    def teardown(self) -> None:
        """Once faults stop and dead sessions end, all work is done."""
        for _ in range(_DRAIN_STEPS):
            if not any(self.waiting):
                return
            for session in list(self.database.sessions):
                if session not in self.current:
                    opening = any(
                        letter.session is session for letter in self.letters
                    )
                    if session.closed_here or not opening:
                        self.grant(self.database.end(session))
            for session in self.current:
                if session.ended:
                    self.drop(session)
                    lost = slot_events.ConnectionLost(session.channel)
                    self.note(session.proxy, lost)
            self.deliver(0)
            self.finish(0)
            self.pass_time(20)
            for proxy in range(_PROXIES):
                self.demand(proxy)
        assert not any(self.waiting), self.keepers


@functools.singledispatch
def _perform(
    effect: slot_events.Effect, machine: SlotMachine, proxy: int
) -> None:
    raise TypeError(f"the simulation has no handler for {effect!r}")


@_perform.register
def _(effect: slot_events.Open, machine: SlotMachine, proxy: int) -> None:
    session = _Session(proxy, effect.channel)
    if machine.database.connect(session):
        machine.answer(session, slot_events.Opened(effect.channel))
    else:
        failed = slot_events.OpenFailed(effect.channel, _FULL)
        machine.answer(session, failed)


@_perform.register
def _(effect: slot_events.TryAcquire, machine: SlotMachine, proxy: int) -> None:
    session = machine.sessions[proxy, effect.channel]
    for slot in effect.slots:
        if machine.database.acquire(session, slot):
            machine.answer(
                session, slot_events.SlotGranted(effect.channel, slot)
            )
            return
    machine.answer(session, slot_events.SlotUnavailable(effect.channel))


@_perform.register
def _(
    effect: slot_events.QueueForSlot, machine: SlotMachine, proxy: int
) -> None:
    session = machine.sessions[proxy, effect.channel]
    for slot in (*effect.others, effect.slot):
        if machine.database.acquire(session, slot):
            machine.answer(
                session, slot_events.SlotGranted(effect.channel, slot)
            )
            return
    if not session.ended:
        machine.database.queues[effect.slot].append(session)


@_perform.register
def _(effect: slot_events.YieldSlot, machine: SlotMachine, proxy: int) -> None:
    session = machine.sessions[proxy, effect.channel]
    if machine.database.queues[effect.slot]:
        machine.grant(machine.database.release(session))
        machine.answer(session, slot_events.SlotUnavailable(effect.channel))
    elif session.slot == effect.slot:
        machine.answer(
            session, slot_events.SlotGranted(effect.channel, effect.slot)
        )
    else:
        machine.answer(session, slot_events.SlotUnavailable(effect.channel))


@_perform.register
def _(effect: slot_events.Release, machine: SlotMachine, proxy: int) -> None:
    session = machine.sessions[proxy, effect.channel]
    machine.grant(machine.database.release(session))
    machine.answer(session, slot_events.SlotReleased(effect.channel))


@_perform.register
def _(
    effect: slot_events.LeaseConnection, machine: SlotMachine, proxy: int
) -> None:
    session = machine.sessions[proxy, effect.channel]
    assert not session.lent, "a connection serves one request at a time"
    assert machine.waiting[proxy] > 0
    machine.waiting[proxy] -= 1
    session.lent = True


@_perform.register
def _(effect: slot_events.Close, machine: SlotMachine, proxy: int) -> None:
    session = machine.sessions.get((proxy, effect.channel))
    if session is not None:
        machine.drop(session)


@_perform.register
def _(
    effect: slot_events.RefuseWaiting, machine: SlotMachine, proxy: int
) -> None:
    machine.waiting[proxy] = 0


@_perform.register
def _(
    effect: slot_events.ScheduleTick, machine: SlotMachine, proxy: int
) -> None:
    return


SlotsTest = SlotMachine.TestCase
SlotsTest.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
