#!/usr/bin/env bash
# Runs the proofs of the named must-holds, or of all, with their negative
# controls. A proof is a test named TestProof<Point>... or a scenario script named
# proof-<point>-...; a control is a test named TestControl<Point>... . Fails when
# a test fails and when a point has no proof that passed.
set -euo pipefail
cd "$(dirname "$0")/.."
points=(rate once whole not-run keys config floor drain shutdown)
[ $# -eq 0 ] || points=("$@")
camel() { sed -E 's/(^|-)([a-z])/\U\2/g' <<<"$1"; }
names=$(for point in "${points[@]}"; do camel "$point"; done | paste -sd '|')
packages=$(grep -rlE --include='*_test.go' "^func Test(Proof|Control)($names)" . | xargs -r -n 1 dirname | sort -u) || true
status=0
output=
if [ -n "$packages" ]; then
  # shellcheck disable=SC2086
  output=$(go test -count=1 -v -run "^Test(Proof|Control)($names)" $packages 2>&1) || status=1
fi
scripts=$(IFS='|'; echo "${points[*]}")
output+=$'\n'$(go test -count=1 -v -run "^TestScenarios\$/^proof-($scripts)-" ./scenario 2>&1) || status=1
for point in "${points[@]}"; do
  echo "=== proof of $point"
  tests="(Test(Proof|Control)$(camel "$point")[^/ ]*|TestScenarios/proof-$point-[^ ]*)"
  grep -E "^ *--- (PASS|FAIL|SKIP): $tests " <<<"$output" || true
  if ! grep -qE "^ *--- PASS: (TestProof$(camel "$point")|TestScenarios/proof-$point-)" <<<"$output"; then
    echo "no proof of $point passed"
    status=1
  fi
done
if [ "$status" -ne 0 ]; then
  echo "=== output"
  grep -vE '^(ok|\?|=== )' <<<"$output" | tail -n 80
fi
exit "$status"
