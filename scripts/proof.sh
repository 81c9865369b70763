#!/usr/bin/env bash
# Runs the proofs of one must-hold, or of all. A proof is a test named
# TestProof<Point>... or a scenario script named proof-<point>-... .
set -euo pipefail
cd "$(dirname "$0")/.."
points=(rate once whole not-run keys config floor drain shutdown)
[ $# -eq 0 ] || points=("$@")
packages=$(go list work | grep -v /tools)
status=0
for point in "${points[@]}"; do
  camel=$(sed -E 's/(^|-)([a-z])/\U\2/g' <<<"$point")
  echo "=== proof of $point"
  # shellcheck disable=SC2086
  output=$(go test -count=1 -v -run "^TestProof$camel" $packages 2>&1) || status=1
  output+=$(cd scenario && go test -count=1 -v -run "^TestScenarios\$/^proof-$point-" . 2>&1) || status=1
  ran=$(grep -E '^ *--- (PASS|FAIL): Test(Proof|Scenarios/)' <<<"$output" || true)
  echo "${ran:-no proof of $point exists yet}"
  if [ "$status" -ne 0 ]; then echo "$output" | grep -vE '^(ok|\?|=== )' | tail -n 60; fi
done
exit "$status"
