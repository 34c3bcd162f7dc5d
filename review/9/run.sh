#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption. Needs target/hyssopmount
# (the build of the deploy file) and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopmount ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig prepared review/9/record.txt
