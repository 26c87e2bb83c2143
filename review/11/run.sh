#!/usr/bin/env bash
# Replaces two control machines in succession; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.11.case
