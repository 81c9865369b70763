#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review2/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOWORK=off go build -o ../../target/review2/reviewcases .
