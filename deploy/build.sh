#!/usr/bin/env bash
# Builds what deploy/system.toml runs into target/entry, with an archive of loaded classes for quick starts.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -ntp -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package
rm -rf target/entry target/entry.jsa
mkdir -p target/entry/lib
cp platform/target/platform-*.jar target/entry/platform.jar
cp platform/target/lib/*.jar target/entry/lib/
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/entry.jsa -Xlog:disable \
  -jar target/entry/platform.jar --rehearse
