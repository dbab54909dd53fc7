"""Runs a proxy on the users' platform: `python -m hickorygate.platform`.

Does the same as `hickorygate platform`, but doesn't import the other
commands, which shortens a restart.
"""

from __future__ import annotations

import sys

from absl import flags
import uvloop

from hickorygate.platform import running

_FAILED = 1
_USAGE = 2

_FLAGS = flags.FlagValues()
_METRICS_PORT = flags.DEFINE_integer(
    "metrics_port",
    None,
    "TCP port that serves metrics; by default metrics are not served.",
    lower_bound=1,
    upper_bound=65_535,
    flag_values=_FLAGS,
)


def main(argv: list[str]) -> int:
    """Runs a proxy until a signal stops it; returns the exit code."""
    try:
        _FLAGS(argv)
    except flags.Error as error:
        print(f"hickorygate.platform: {error}", file=sys.stderr)
        return _USAGE
    ended = uvloop.run(running.serve(_METRICS_PORT.value))
    if ended.is_error():
        print(ended.error.message, file=sys.stderr)
        return _FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
