"""Measures the processor time of the decision log.

    python -m bench.decision_log

prints the microseconds of one line of an answered request, written to a file
that takes everything, and what that makes of a core at the rates of the users'
deployments.
"""

import os
import time
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log

LINES: Final = 100_000
#: Lines between two flushes: more than an entry writes in that time.
BATCH: Final = 50
#: Requests a second at one entry of Nilegrid's quiet day, and lines for each.
REQUESTS_PER_S: Final = 8.4
LINES_PER_REQUEST: Final = 1.3
FIELDS: Final = {
    "status": 200,
    "first_ms": 184,
    "request": "c097334310ea47e2",
    "route": "r-igrn3qp",
    "account": "kami189",
    "service": "jehu8b",
    "document": 3,
    "age_ms": 1_415,
    "queued_ms": 0,
    "tried": ["i-0433b4d4f2"],
}


def cost_us() -> float:
    """Returns the processor time of one line in microseconds."""
    file = os.open(os.devnull, os.O_WRONLY)
    log = _decision_log.DecisionLog(file, clocks.SystemClock(), "10.0.0.1")
    began_ns = time.process_time_ns()
    for _ in range(LINES // BATCH):
        for _ in range(BATCH):
            log.write(decisions.Event.ANSWERED, **FIELDS)
        log.flush()
    took_ns = time.process_time_ns() - began_ns
    os.close(file)
    return took_ns / LINES / 1_000


def main() -> None:
    """Prints the cost."""
    line_us = cost_us()
    core = line_us * REQUESTS_PER_S * LINES_PER_REQUEST / 1e6
    print(f"{line_us:.1f} us a line, {core:.6f} of a core at an entry")


if __name__ == "__main__":
    main()
