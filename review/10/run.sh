#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 python3 -m review.10.case
