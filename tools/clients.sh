#!/usr/bin/env bash
# Usage: clients.sh PYTHON
# Runs the blocking client against a separate local cluster.
set -eu
cd "$(dirname "$0")/.."
python=$1
folder=$(mktemp -d)
"$python" -m benchmarks.stand --port_file="$folder/port" &
cluster=$!
trap 'kill "$cluster"; wait "$cluster" 2>/dev/null || true; rm -r "$folder"' EXIT
for _ in $(seq 300); do
  test -e "$folder/port" && break
  kill -0 "$cluster"
  sleep 0.1
done
"$python" -m benchmarks.client_pymysql --port="$(cat "$folder/port")"
