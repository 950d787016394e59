#!/usr/bin/env bash
# Plays the case, and writes record.txt. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review-standin
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$program" versions .
