#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hyssopwalk ] && [ -x target/review-2/poison ] || exit 2
exec target/review-2/poison review/8/record.txt
