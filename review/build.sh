#!/bin/sh
# Checks the stand-ins of the scripts. They are Python without dependencies, so nothing
# has to be compiled. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/scalebend
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
python3 -m py_compile review/lib/bed.py review/*/case.py
rm -r "$PYTHONPYCACHEPREFIX"
