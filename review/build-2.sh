#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
out=$PWD/target/review-2
cd review/standin-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o "$out/" ./...
