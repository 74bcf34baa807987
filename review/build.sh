#!/usr/bin/env bash
# The stand-ins of the cases are Python programs: checks that they can be read, and that the daemon has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - review/standins/fleet.py review/*/run.py <<'PROGRAM'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
PROGRAM
test -x target/packages/daemon/flamingowickd
