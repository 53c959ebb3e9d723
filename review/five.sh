#!/usr/bin/env bash
# Runs the script of a folder five times with its disruption and once without: review/five.sh 1
cd "$(dirname "$0")/.." || exit 2
for i in 1 2 3 4 5; do
  "review/$1/run.sh"
  echo "$1, run $i: exit $?"
done
cp "review/$1/record.txt" "review/$1/record.txt.failed"
TROUBLE=0 "review/$1/run.sh"
echo "$1, TROUBLE=0: exit $?"
mv "review/$1/record.txt.failed" "review/$1/record.txt"
