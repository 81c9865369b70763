#!/usr/bin/env bash
# Checks formatting and lint, then runs all tests. Tests listed in KNOWN-RED.txt
# are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted, run gofmt -w: $unformatted" >&2
  exit 1
fi
go build work
go vet work
packages=$(go list work | grep -v /tools)
# shellcheck disable=SC2086
go tool staticcheck $packages
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "--- known red, passed over:"
  cat KNOWN-RED.txt
  echo "---"
  names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
  [ -z "$names" ] || skip=(-skip "^($names)\$")
fi
# shellcheck disable=SC2086
go test -count=1 -timeout 240s "${skip[@]}" $packages
