#!/usr/bin/env bash
# The stand-ins are Python programs that need the standard library alone: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit/*.py [1-5]/*.py <<'PROGRAM'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
