#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are Python and need no build: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/fleet.py 1[1-5]/run.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
