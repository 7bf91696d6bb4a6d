#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# With TROUBLE=0 it does the same without the disruption, and must pass.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "no python3" >&2; exit 2; }
disruption=on
[ "${TROUBLE:-1}" = 0 ] && disruption=off
python3 -B play.py "$disruption"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
