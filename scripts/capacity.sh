#!/usr/bin/env bash
# Measures what one entry instance costs: processor time, bytes and memory, by endpoints followed and by requests.
# usage: scripts/capacity.sh WORKDIR; prints one line for each case
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
run=${FUCHSIAWHARF:-$home/fuchsiawharf}
work=$1
mkdir -p "$work"
"$run" --help >/dev/null
ticks=$(getconf CLK_TCK)
cpu() { awk -v t="$ticks" '{print ($14+$15)/t}' "/proc/$1/stat"; }
bytes() { awk '/rchar|wchar/{n+=$2} END{print n}' "/proc/$1/io"; }
memory() { awk '/VmRSS/{print $2/1024}' "/proc/$1/status"; }
heap() { jcmd "$1" GC.heap_info 2>/dev/null | awk '/total.*used/{split($0,a,"used "); split(a[2],b,"K"); n+=b[1]} END{print n/1024}'; }

measure() { # endpoints rate
  cat >"$work/standin.yaml" <<E2
zones: [a, b, c]
platformPort: 19000
firstPort: 19100
services:
  - {name: probe, kind: pool, workers: $1, baseMicros: 1000}
E2
  cat >"$work/configuration.yaml" <<E2
pipelines:
  - {name: chain, stages: [{name: s1, service: probe}, {name: s2, service: probe}, {name: s3, service: probe}, {name: s4, service: probe}]}
workspaces: [{name: probe}]
E2
  cat >"$work/entry.yaml" <<E2
instance: {name: entry, zone: a, port: 19001}
platform: {address: "127.0.0.1:19000"}
operators: [{name: ops, token: capacity-token}]
E2
  cat >"$work/workload.yaml" <<E2
targets: ["127.0.0.1:19001"]
ledger: 127.0.0.1:19100
requests: [{path: /v1/pipelines/chain/requests, workspaces: [probe], deadlineMillis: 4000}]
E2
  JAVA_OPTS="-XX:+UseSerialGC -Xmx512m" "$run" standin --settings "$work/standin.yaml" >"$work/standin.log" 2>&1 &
  standin=$!
  sleep 2
  JAVA_OPTS="-XX:+UseSerialGC -Xmx96m -XX:TieredStopAtLevel=1" "$run" entry --settings "$work/entry.yaml" >"$work/entry.log" 2>&1 &
  entry=$!
  sleep 6
  if [ "$2" != 0 ]; then
    "$run" load --settings "$work/workload.yaml" --rate "$2" --seconds 22 >"$work/load.log" 2>&1 &
    load=$!
    sleep 6
  fi
  c0=$(cpu $entry); b0=$(bytes $entry)
  sleep 12
  c1=$(cpu $entry); b1=$(bytes $entry)
  jcmd $entry GC.run >/dev/null 2>&1 || true
  awk -v e="$1" -v r="$2" -v c="$(echo "$c1 $c0" | awk '{print $1-$2}')" -v b="$(echo "$b1 $b0" | awk '{print $1-$2}')" \
    -v m="$(memory $entry)" -v h="$(heap $entry)" \
    'BEGIN{printf "endpoints %d, requests/s %d: core %.2f%%, bytes/s %.0f, resident %.0f MB, live heap %.1f MB\n", e, r, c/12*100, b/12, m, h}'
  if [ "$2" != 0 ]; then wait $load || true; fi
  kill -TERM $entry $standin 2>/dev/null || true
  wait $entry $standin 2>/dev/null || true
}

for endpoints in 10 30 60 120; do measure "$endpoints" 0; done
for rate in 20 60 120; do measure 30 "$rate"; done
