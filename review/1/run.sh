#!/bin/sh
# Plays this case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption does not take place.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin pieces review/1/record.txt
