#!/usr/bin/env bash
# Exit codes: 0 rule kept, 1 rule violated, 2 not played. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2-takeup ] && [ -x target/lavenderring ] || exit 2
RECORD="$PWD/review/8/record.txt" timeout -k 5 110 target/review2-takeup
code=$?
[ $code -le 1 ] && exit $code
exit 2
