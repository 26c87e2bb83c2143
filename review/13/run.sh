#!/usr/bin/env bash
# Restarts a control machine while a successor waits; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.13.case
