"""Measures memory and CPU time of membership for several fleet sizes.

Drives the membership decisions of one proxy without sockets. Each ping that
the proxy sends is answered, and the proxy receives as many pings as it sends.
Run:

    python -m benchmarks.roster
"""

from __future__ import annotations

from collections.abc import Sequence
import datetime
import json
import pathlib
import random
import time
import tracemalloc

from absl import app
from absl import flags

from hickorygate.core import settings
from hickorygate.proxies import codec
from hickorygate.proxies import effects
from hickorygate.proxies import member
from hickorygate.proxies import membership
from hickorygate.proxies import messages

_SIZES = flags.DEFINE_list(
    "sizes", ["50", "100", "250", "750"], "Fleet sizes to measure."
)
_TICKS = flags.DEFINE_integer("ticks", 2_000, "Heartbeat periods per run.")
_RUNS = flags.DEFINE_integer("runs", 3, "Runs per fleet size.")
_RESULT = flags.DEFINE_string(
    "result",
    str(pathlib.Path(__file__).parent / "results" / "roster.json"),
    "File for the results.",
)
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")


def _member(number: int) -> member.Member:
    return member.Member(
        name=f"proxy-{number}",
        address=f"10.0.{number // 250}.{number % 250}:7000",
        admin=f"10.0.{number // 250}.{number % 250}:7001",
        zone=_ZONES[number % len(_ZONES)],
        incarnation=1,
    )


class SimulatedProxy:
    """The membership of one proxy in a simulated fleet.

    Attributes:
      settings: settings of the membership protocol.
      now: simulated time.
      membership: membership state machine of the proxy.
      members_by_name: the other members of the fleet by name.
    """

    def __init__(self, size: int) -> None:
        self.settings = settings.PeerSettings()
        self.now = _START
        self.membership = membership.Membership(
            _member(0), self.settings, random.Random(1)
        )
        for number in range(1, size):
            self.receive(_member(number), messages.Announce())
        self.members_by_name = {m.name: m for m in self.membership.members}

    def receive(
        self, sender: member.Member, message: messages.Message
    ) -> tuple[effects.Effect, ...]:
        """Handles a message of another proxy and returns the effects."""
        header = messages.Header(
            sender=sender,
            wall=self.now,
            count=0,
            versions=messages.Versions(),
            digest=self.membership.digest,
            store_age_ms=0,
        )
        event = membership.Received(codec.Packet(header, message))
        return self.membership.handle(event, self.now)

    def run_period(self) -> None:
        """Advances time by one heartbeat and answers the pings sent."""
        self.now += self.settings.heartbeat
        found = self.membership.handle(membership.Tick(), self.now)
        for effect in found:
            if isinstance(effect.message, messages.Ping):
                sender = self.members_by_name[effect.name]
                self.receive(sender, messages.Ack(effect.message.sequence))
                self.receive(sender, messages.Ping(1))
        _ = self.membership.is_relay


def _measure(size: int) -> dict[str, float]:
    tracemalloc.start()
    bench = SimulatedProxy(size)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for _ in range(200):
        bench.run_period()
    times = []
    for _ in range(_RUNS.value):
        started = time.process_time()
        for _ in range(_TICKS.value):
            bench.run_period()
        elapsed = time.process_time() - started
        times.append(1e6 * elapsed / _TICKS.value)
    times.sort()
    return {
        "proxies": size,
        "memory_kb": used_bytes / 1_024,
        "period_us_least": times[0],
        "period_us_median": times[len(times) // 2],
        "period_us_greatest": times[-1],
    }


def _main(argv: Sequence[str]) -> None:
    del argv
    result = [_measure(int(size)) for size in _SIZES.value]
    text = json.dumps(result, indent=1)
    pathlib.Path(_RESULT.value).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    app.run(_main)
