#!/usr/bin/env bash
# Usage: processes.sh BIN
# Runs stand-ins, two proxies and a caller as separate processes. One proxy is
# suspended, the other is killed and replaced, the databases and the platform
# are suspended, and two operators load a sheet at the same time.
set -eu
cd "$(dirname "$0")/.."
bin=$1
sheet=examples/vindpoot/sheet.yaml
folder=$(mktemp -d)
started=()
finish() {
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  rm -r "$folder"
}
trap finish EXIT

start() {
  "$@" 2>>"$folder/log" &
  started+=($!)
}

serve() {
  start "$bin/hickorygate" serve --settings "examples/vindpoot/$1.yaml"
}

load() {
  "$bin/hickorygate" sheet load "$@" --platform http://127.0.0.1:13300
}

start "$bin/hickorygate" standin --sheet "$sheet" --platform-port 13300
standin=$!
until load "$sheet" >/dev/null 2>&1; do
  kill -0 "$standin"
  sleep 0.2
done
serve entry-1
one=$!
serve entry-2
two=$!
sleep 2

"$bin/python" -m benchmarks.process_faults --ports=13401,13402 --seconds=24 &
caller=$!
sleep 3
echo "suspending entry-1 for 4 s"
kill -STOP "$one"
sleep 4
kill -CONT "$one"
sleep 2
echo "killing entry-2 and replacing it 1 s later"
kill -KILL "$two"
sleep 1
serve entry-2
sleep 2
echo "suspending the databases and the platform for 2 s"
kill -STOP "$standin"
sleep 2
kill -CONT "$standin"
sleep 2
echo "two operators load different sheets at the same time"
version=$("$bin/hickorygate" sheet show --platform http://127.0.0.1:13300 |
  sed -n 's/^# version \([0-9]*\),.*/\1/p')
for name in first second; do
  { cat "$sheet"; echo "# $name"; } > "$folder/$name.yaml"
done
load "$folder/first.yaml" --replaces "$version" & first=$!
load "$folder/second.yaml" --replaces "$version" & second=$!
wait "$first" || echo "first: exit code $?"
wait "$second" || echo "second: exit code $?"
wait "$caller"
