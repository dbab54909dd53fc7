#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python
# modules of the project and of this folder, so they only have to be importable
# with what the build of the deploy file placed into target/deps.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review" python3 -S -c \
    "import deployment_3"
