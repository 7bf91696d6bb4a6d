#!/bin/sh
# The scripts of the third review start the programs of deploy/system.toml. Their stand-ins are in
# Python (standard library only), so that nothing else has to be built.
cd "$(dirname "$0")/.." || exit 1
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -B -c 'import ast, sys; [ast.parse(open(name).read()) for name in sys.argv[1:]]' \
  review/kit-3/*.py review/1[1-5]/play.py || exit 1
[ -x target/release/ragwortplankd ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
