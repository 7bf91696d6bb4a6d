#!/bin/sh
# The scripts of reviews 6 to 10 start the programs of deploy/system.toml; their stand-ins are in
# Python (standard library only), so that nothing else has to be built.
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
cd "$(dirname "$0")/.." || exit 1
[ -x target/release/ragwortplankd ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
