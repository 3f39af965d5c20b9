#!/bin/sh
# Plays the case of claim.txt after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption
# out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x bin/cottonplank ] && [ -x bin/standin2 ] || exit 2
RECORD="$folder/record.txt" exec bin/standin2 resting
