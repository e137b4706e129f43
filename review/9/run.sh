#!/usr/bin/env bash
# Runs the case that claim.txt describes, after the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 target/review-2 advice review/9 &
case=$!
trap 'kill -TERM "$case" 2>/dev/null; wait "$case"; exit 2' INT TERM HUP
wait "$case"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
