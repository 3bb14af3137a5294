#!/bin/sh
# The stand-ins of the cases from 4 on are Python programs that need nothing but its
# standard library: compiling them shows that they can start.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib-2 [4-8]
