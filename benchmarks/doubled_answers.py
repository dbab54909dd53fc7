"""Counts the doubled answers that a connection takes for others, in a model.

Each answer comes twice with a given probability, the second time up to four
answers later. A connection ends at the first reply that doesn't fit.

    python -m benchmarks.doubled_answers --share=0.05 --connections=40000
"""

from __future__ import annotations

import collections
import json
import random
import sys

from absl import app
from absl import flags
import expression

from hickorygate.core import reply as replies
from properties import reply_simulation

_SHARE = flags.DEFINE_float("share", 0.05, "Share of the answers sent twice.")
_CONNECTIONS = flags.DEFINE_integer("connections", 40_000, "Connections.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the model.")

_BATCHES_PER_CONNECTION = 30
_LONGEST_DELAY = 4
_PIPELINED_SHARE = 0.3
_BUSY_SHARE = 0.3
_LOST_LEAD_SHARE = 0.1


def _step(rng: random.Random) -> reply_simulation.Step:
    return reply_simulation.Step(
        rng.choice(reply_simulation.BATCHES),
        rng.random() < _PIPELINED_SHARE,
        rng.random() < _BUSY_SHARE,
        rng.random() < _LOST_LEAD_SHARE,
    )


def _kind(reply: replies.Reply) -> str:
    """Returns what kind of reply was passed on to the wrong receiver."""
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            return "signed" if answer.signature else "unsigned"
    return "rejection"


def main(_: list[str]) -> None:
    """Plays the connections and prints the counts as JSON."""
    rng = random.Random(_SEED.value)

    def doubling(reply: replies.Reply) -> int | None:
        doubled = rng.random() < _SHARE.value
        return rng.randint(0, _LONGEST_DELAY) if doubled else None

    wrong: collections.Counter[str] = collections.Counter()
    doubled = closed = passed_on = 0
    for _ in range(_CONNECTIONS.value):
        exchange = reply_simulation.Exchange(doubling)
        exchange.play(_step(rng) for _ in range(_BATCHES_PER_CONNECTION))
        wrong.update(_kind(exchange.passed_on[r]) for r in exchange.wrong())
        doubled += exchange.doubled
        closed += exchange.misfit is not None
        passed_on += len(exchange.passed_on)
    json.dump(
        {
            "share": _SHARE.value,
            "connections": _CONNECTIONS.value,
            "passed_on": passed_on,
            "doubled": doubled,
            "closed": closed,
            "wrong": wrong,
        },
        sys.stdout,
    )
    print()


if __name__ == "__main__":
    app.run(main)
