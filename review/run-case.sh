#!/usr/bin/env bash
# Runs a case of the stand-ins and ends all its processes: run-case.sh CASE RECORD.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -um
cd "$(dirname "$0")/.."
for program in target/release/bbv-mesh target/review/stand; do
  [ -x "$program" ] || { echo "could not run: build $program first" >&2; exit 2; }
done
target/review/stand "$1" "$2" &
pid=$!
# The nodes are in the process group of the stand-ins.
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$pid"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
