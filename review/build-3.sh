#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, which are Python without
# dependencies: compiles them, so that an error shows before a script starts.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/common3
