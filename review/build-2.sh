#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs (3.11 or later, standard library only):
# there is nothing to compile, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - << 'END'
import ast
import pathlib
import sys
import tomllib  # noqa: F401  part of the standard library from 3.11 on

files = [pathlib.Path("platform/soak/http1.py"), pathlib.Path("platform/soak/store.py"), pathlib.Path("review/standins-2/fleet.py")]
files += [pathlib.Path(f"review/{number}/run.py") for number in range(6, 11)]
for file in files:
    if file.exists():
        ast.parse(file.read_text(), str(file))
print(f"stand-ins are ready for Python {sys.version.split()[0]}")
END
