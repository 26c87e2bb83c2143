#!/usr/bin/env bash
# Loses a successor, and later another control machine; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.14.case
