#!/bin/sh
# The stand-ins of the review are Python (standard library only): nothing to compile. Checks them, and that
# the programs of the deploy file's build are there.
set -e
cd "$(dirname "$0")"
for script in lib.py */run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script"
done
test -x ../target/bin/seamarchd || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
