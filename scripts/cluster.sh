#!/usr/bin/env bash
# Starts a firm's stand-ins and nine entry instances as processes of their own, runs a command, and stops them.
# usage: scripts/cluster.sh FIRM LOGDIR COMMAND [ARG ...]
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
firm=$1
logs=$2
shift 2
mkdir -p "$logs"
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
"$home/fuchsiawharf" --help >/dev/null
"$home/fuchsiawharf" standin --settings "$home/examples/$firm/standin.yaml" >"$logs/standin.log" 2>&1 &
pids+=($!)
for settings in "$home/examples/$firm"/entry-*.yaml; do
  name=$(basename "$settings" .yaml)
  JAVA_OPTS=${ENTRY_OPTS:--XX:+UseSerialGC -Xmx96m -XX:TieredStopAtLevel=1} \
    "$home/fuchsiawharf" entry --settings "$settings" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  echo "$!" >"$logs/$name.pid"
done
for _ in $(seq 100); do
  ready=$(grep -l 'listens' "$logs"/entry-*.log 2>/dev/null | wc -l)
  [ "$ready" -eq 9 ] && break
  sleep 0.2
done
sleep 2
"$@"
