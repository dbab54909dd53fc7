#!/usr/bin/env bash
# Builds what the scripts start beside the proxies: the project's stand-in for
# the platform and the databases of review/standins. They are Python, so the
# build of the deploy file has installed what they need; this checks that they
# compile and can be imported.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")

import hickorygate.testing.object_store
import review.standins.system
CHECK
echo "stand-ins built"
