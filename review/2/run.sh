#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption, and must pass.
cd "$(dirname "$0")" || exit 2
disruption=on
if [ "${TROUBLE:-1}" = 0 ]; then
  disruption=off
fi
command -v python3 > /dev/null || { echo "no python3"; exit 2; }
exec python3 play.py "$disruption"
