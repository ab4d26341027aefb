#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=1 119 target/review2 pipeline . review/4/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
