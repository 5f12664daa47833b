#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption, and the rule has to hold.
# Needs the build of the deploy file and review/build.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
timeout 118 target/review/cases stop-under-load "$here" "${TROUBLE:-1}"
code=$?
if [ "$code" -gt 1 ]; then
    exit 2
fi
exit "$code"
