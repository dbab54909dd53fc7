#!/usr/bin/env bash
# Usage: unit.sh BIN PROCESSES [ARGUMENT...]
# Runs the tests in several processes that share the test modules. ARGUMENTs
# are passed to nose2. The last line of the output is the summary line.
set -eu
bin=$(realpath "$1")
processes=$2
shift 2
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
started=()
finish() {
  for pid in "${started[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  rm -r "$folder"
}
trap finish EXIT

mkdir "$folder/claims"
for number in $(seq "$processes"); do
  "$bin/nose2" --claims "$folder/claims" --report "$folder/$number.json" "$@" \
    >"$folder/$number.log" 2>&1 &
  started+=($!)
done
codes=()
for pid in "${started[@]}"; do
  code=0
  wait "$pid" || code=$?
  codes+=("$code")
done
started=()
for number in $(seq "$processes"); do
  echo "process $number:"
  cat "$folder/$number.log"
done
"$bin/python" -m tools.merge_reports "$folder" "${codes[@]}"
