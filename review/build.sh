#!/bin/sh
# Builds the stand-in that the scripts start.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin .
