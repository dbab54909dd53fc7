#!/usr/bin/env bash
# clients.sh PYTHON: runs the blocking client against a cluster of its own.
set -eu
cd "$(dirname "$0")/.."
python=$1
folder=$(mktemp -d)
"$python" -m benchmarks.stand --port_file="$folder/port" &
stand=$!
trap 'kill "$stand"; wait "$stand" 2>/dev/null || true; rm -r "$folder"' EXIT
for _ in $(seq 300); do
  test -e "$folder/port" && break
  kill -0 "$stand"
  sleep 0.1
done
"$python" -m benchmarks.client_pymysql --port="$(cat "$folder/port")"
