#!/usr/bin/env bash
# Checks formatting and lint, then runs all tests and counts them. Tests listed in
# KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { echo "--- $*"; }

step "gofmt"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted, run gofmt -w: $unformatted" >&2
  exit 1
fi
step "build"
go build work
step "vet"
go vet work
step "staticcheck"
packages=$(go list work | grep -v /tools)
tested=$(grep -v /soak/crowd <<<"$packages")
# shellcheck disable=SC2086
go tool staticcheck $packages

skip=()
if [ -s KNOWN-RED.txt ]; then
  step "known red, passed over"
  cat KNOWN-RED.txt
  # A test, or one subtest of it: TestSoak/7513 passes over that seed only.
  names=$(sed -n 's/^test: *\([A-Za-z0-9_/]*\).*/\1/p' KNOWN-RED.txt | sed 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd '|')
  [ -z "$names" ] || skip=(-skip "$names")
fi

step "tests"
mkdir -p run
status=0
# shellcheck disable=SC2086
go test -count=1 -timeout 240s -v "${skip[@]}" $tested >run/test.log 2>&1 || status=$?
step "crowds of callers, one test at a time"
go test -count=1 -timeout 300s -p 1 -parallel 1 -v "${skip[@]}" ./soak/crowd >>run/test.log 2>&1 || status=$?
# Prints the line of each package, after its whole output if it failed.
awk '
  /^=== (RUN|PAUSE|CONT|NAME)/ {next}
  /^(ok  |\?   )\t/ {if ($0 !~ /no test files/) print; held = ""; next}
  {held = held $0 "\n"}
  /^FAIL\t/ {printf "%s", held; held = ""}
  END {printf "%s", held}' run/test.log
counted() { grep -cE "^--- $1: " run/test.log || true; }
echo "$(counted PASS) passed, $(counted FAIL) failed, $(counted SKIP) skipped"
exit "$status"
