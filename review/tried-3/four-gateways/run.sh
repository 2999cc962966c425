#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
set -u
export TROUBLE="${TROUBLE:-1}"
exec python3 -B "$(dirname "$0")/case.py"
