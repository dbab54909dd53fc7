"""Checks the promotion lease over restores of the store, in any order."""

from __future__ import annotations

import dataclasses
import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.testing import clock
from hickorygate.upstreams import lease_record

_PROXIES = ("a", "b", "c")
_CALL_SECONDS = 1.0
"""Time-out of a call, of an order too."""

_SETTLED_SECONDS = 10.0
_PAUSES_SECONDS = (0.1, 0.4, 1.0, 2.3, 4.6)
_EXAMPLES = 2_000
_STEPS = 200


@dataclasses.dataclass(slots=True)
class _Call:
    """An update under way.

    Attributes:
      write: the update.
      sent: time at which it was sent, in seconds.
      reading: what the store returned; None before it was applied.
    """

    write: lease_record.Write
    sent: float
    reading: lease_record.LeaseReading | None = None


@dataclasses.dataclass(slots=True)
class _Order:
    """A promotion that a proxy ordered.

    Attributes:
      holder: the proxy.
      number: fencing token.
      start: time at which the order was sent, in seconds.
      end: time at which it was answered or timed out, in seconds.
    """

    holder: str
    number: int
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    """The store's record and its revision counter."""

    stored: lease_record.StoredLeaseRecord | None = None
    revision: int = 1


class _Simulation:
    """Three proxies and a store that goes back to copies of itself.

    Attributes:
      survives: whether an update that was made for an earlier era of the store
        may take effect.
    """

    def __init__(self, rng: random.Random, survives: bool) -> None:
        self.rng = rng
        self.survives = survives
        self.now = 0.0
        self.era = 1
        self.state = _State()
        self.copies = [self.state]
        self.proxies = {
            name: lease_record.LeaseState(name, name) for name in _PROXIES
        }
        self.read_by: set[str] = set()
        self.calls: dict[str, _Call] = {}
        self.orders: list[_Order] = []

    def run(self) -> None:
        for name in _PROXIES:
            self.read(name)
        self.now += _SETTLED_SECONDS
        steps = _PROXY_STEPS | _STORE_STEPS
        for step in self.rng.choices(
            tuple(steps), tuple(steps.values()), k=_STEPS
        ):
            if step in _PROXY_STEPS:
                step(self, self.rng.choice(_PROXIES))
            else:
                step(self)
            self.check()

    def advance(self) -> None:
        self.now += self.rng.choice(_PAUSES_SECONDS)

    def copy(self) -> None:
        self.copies.append(self.state)

    def restore(self) -> None:
        self.state = self.rng.choice(self.copies)
        self.copies = [self.state]
        self.era += 1

    def read(self, name: str) -> None:
        reading = lease_record.LeaseReading(self.state.stored, self.era)
        if self.proxies[name].record_read(reading, clock.at(self.now)):
            self.read_by.add(name)

    def send(self, name: str) -> None:
        if name not in self.read_by or name in self.calls:
            return
        self.read_by.discard(name)
        action = self.proxies[name].decide(clock.at(self.now))
        if isinstance(action, lease_record.Write):
            self.calls[name] = _Call(action, self.now)

    def release(self, name: str) -> None:
        if name in self.calls or self._is_ordering(name):
            return
        write = self.proxies[name].release()
        if write is not None:
            self.calls[name] = _Call(write, self.now)

    def apply(self, name: str) -> None:
        call = self.calls.get(name)
        if call is None or call.reading is not None:
            return
        found = self.state.stored.revision if self.state.stored else None
        lost = call.write.record.era != self.era and not self.survives
        if lost or call.write.revision != found:
            del self.calls[name]
            return
        stored = lease_record.StoredLeaseRecord(
            call.write.record, self.state.revision + 1
        )
        self.state = _State(stored, stored.revision)
        call.reading = lease_record.LeaseReading(stored, self.era)

    def deliver(self, name: str) -> None:
        call = self.calls.get(name)
        if call is None or call.reading is None:
            return
        del self.calls[name]
        if self.now - call.sent <= _CALL_SECONDS:
            proxy = self.proxies[name]
            proxy.record_era(call.reading.era, clock.at(self.now))
            proxy.record_write(call.reading, clock.at(call.sent))

    def order(self, name: str) -> None:
        proxy = self.proxies[name]
        record = proxy.record
        if record is not None and proxy.may_order(clock.at(self.now)):
            end = self.now + _CALL_SECONDS
            self.orders.append(_Order(name, record.number, self.now, end))

    def take_over(self, name: str) -> None:
        """Does all steps of a takeover without a delay."""
        self.read(name)
        self.send(name)
        self.apply(name)
        self.deliver(name)
        self.order(name)

    def end_takeover(self, name: str) -> None:
        """Gets the answer to an order and releases the lease."""
        self.answer(name)
        self.release(name)
        self.apply(name)
        self.deliver(name)

    def answer(self, name: str) -> None:
        for order in self.orders:
            if order.holder == name:
                order.end = min(order.end, self.now)

    def check(self) -> None:
        for earlier, later in itertools.pairwise(self.orders):
            assert earlier.number <= later.number, self.orders
            if earlier.holder != later.holder:
                assert earlier.number < later.number, self.orders
                assert earlier.end <= later.start, self.orders

    def _is_ordering(self, name: str) -> bool:
        return any(
            order.holder == name and self.now < order.end
            for order in self.orders
        )


_PROXY_STEPS = {
    _Simulation.take_over: 10,
    _Simulation.end_takeover: 6,
    _Simulation.read: 4,
    _Simulation.send: 4,
    _Simulation.apply: 4,
    _Simulation.deliver: 4,
    _Simulation.order: 6,
    _Simulation.answer: 2,
    _Simulation.release: 2,
}
"""Steps of a proxy, with their relative frequency."""

_STORE_STEPS = {
    _Simulation.advance: 20,
    _Simulation.copy: 3,
    _Simulation.restore: 2,
}
"""Steps of the store and of time, with their relative frequency."""


class RestoredLeaseProperty(unittest.TestCase):
    """No two holders order at the same time or with the same number."""

    @hypothesis.seed(25)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_orders_of_two_holders_never_overlap(self, seed: int) -> None:
        _Simulation(random.Random(seed), survives=False).run()

    # Guards against an update of an earlier era that takes the record back,
    # so that the next holder begins the numbers of the era again.
    @hypothesis.seed(25)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.example(64)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_updates_of_an_earlier_era_do_no_harm(self, seed: int) -> None:
        _Simulation(random.Random(seed), survives=True).run()
