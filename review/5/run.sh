#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
export TROUBLE="${TROUBLE:-1}"  # 0: without the disruption
export PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=5 110 python3 case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
