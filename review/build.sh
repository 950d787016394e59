#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network: the program uses only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
