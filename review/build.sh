#!/bin/sh
# Prepares the stand-ins of the scripts: Python without dependencies, so that nothing
# has to be compiled. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/scalebend
python3 -m py_compile review/lib/bed.py review/*/case.py
