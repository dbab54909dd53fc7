#!/usr/bin/env bash
# Checks and compiles the stand-ins that the scripts of cases 6 to 9 start.
# They are Python modules; they use the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps"
python3 -m compileall -q hickorygate/testing review/standins2
python3 - <<'CHECK'
import sys

sys.path[:0] = ["review/standins2", "."]
import system  # noqa: F401
CHECK
