#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review; needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -f target/entry/platform.jar ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -nowarn -d target/review -cp 'target/entry/lib/*' review/standins/*.java review/[1-5]/*.java review/left-out/*/*.java
