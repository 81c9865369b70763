#!/usr/bin/env bash
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out both disruptions, TROUBLE=part only the freezes.
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/reviewcases ] && [ -x target/lacewing-gateway ] || exit 2
exec target/review2/reviewcases budget-returning-owner "$record"
