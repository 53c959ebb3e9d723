#!/usr/bin/env bash
# Left out for a graver case; no case. TROUBLE=0 leaves the SIGTERM out. Exits with 1 if LOST was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../../.." || exit 2
timeout -k 5 115 java -Xmx128m -cp 'target/review:target/entry/lib/*' review.StopWhileSending
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
