#!/bin/sh
# Shows the case of this folder. Run it after the build of the deploy file and review/build-3.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ebonyarch ] && [ -x target/review/standin3 ] || exit 2
exec target/review/standin3 greygang "$PWD" "$PWD/review/12/record.txt"
