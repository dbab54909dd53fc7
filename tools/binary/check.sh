#!/usr/bin/env bash
# Runs `dist/hickorygate serve` outside this checkout with an empty environment
# (no PATH, so no Python), and checks that it runs as exactly one process and
# ends with exit code 0 after SIGTERM. Removes everything that it created.
set -eu
cd "$(dirname "$0")/../.."
BINARY=$(realpath dist/hickorygate)
WORK=$(mktemp -d)
PID=
trap 'test -z "$PID" || kill -9 "$PID" 2>/dev/null; rm -rf "$WORK"' EXIT
cd "$WORK"
cat > settings.yaml <<'YAML'
name: entry-1
zone: hobart
callers: {port: 0, users: {bins: returned}, token_key: secret}
platform: {url: "http://127.0.0.1:9"}
YAML

env -i HICKORYGATE_UNPACK_DIR="$WORK" "$BINARY" serve \
  --settings settings.yaml 2> log &
PID=$!
for _ in $(seq 100); do
  grep -q 'callers on port' log && break
  sleep 0.1
done
grep 'callers on port' log
echo "started as process $PID; processes that run from $WORK:"
FOUND=0
for process in /proc/[0-9]*; do
  case $(readlink "$process/exe" 2>/dev/null || true) in
    "$WORK"/*|"$BINARY")
      FOUND=$((FOUND + 1))
      echo "  ${process#/proc/}: $(tr '\0' ' ' < "$process/cmdline")" ;;
  esac
done
CHILDREN=$(cat /proc/"$PID"/task/*/children)
echo "$FOUND process; its children: ${CHILDREN:-none}"
test "$FOUND" = 1 && test -z "$CHILDREN"
kill -TERM "$PID"
CODE=0
wait "$PID" || CODE=$?
PID=
echo "after SIGTERM: exit code $CODE"
test "$CODE" = 0
