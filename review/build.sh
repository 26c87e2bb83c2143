#!/bin/sh
# Compiles the stand-ins and scripts; they use the libraries of the deploy
# file's build only.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -m compileall -q review
