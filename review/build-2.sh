#!/usr/bin/env bash
# Builds what the scripts in review/4 to review/8 start beside the programs of the deploy file. Their
# stand-ins are written in Python (site2.py), so there is nothing to compile; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' site2.py [4-8]/*.py
