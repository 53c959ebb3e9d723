#!/usr/bin/env bash
# Runs the microbenchmarks with the bytes allocated by each operation.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
(cd "$home" && mvn -q -B -ntp -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package >&2)
exec java -cp "$home/benchmarks/target/classes:$home/benchmarks/target/lib/*" org.openjdk.jmh.Main -prof gc "$@"
