#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start: compiles
# them to check that they load with the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common2
for case in review/6 review/7 review/8 review/9 review/10; do
  if [ -d "$case" ]; then
    python3 -m compileall -q "$case"
  fi
done
