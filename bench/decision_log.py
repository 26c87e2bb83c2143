"""Measures the processor time of the decision log.

Run with `python -m bench.decision_log`. It prints the processor time to write
the line of one answered request to the null device, in microseconds, and the
fraction of a core that this takes at the request rate of a user's deployment.
"""

import os
import time
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log

LINES: Final = 100_000
#: Lines between two flushes: more than an entry writes between its flushes.
LINES_PER_FLUSH: Final = 50
#: Requests per second at one entry of Nilegrid on a quiet day, and number of
#: lines per request.
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
    """Returns the processor time to write one line, in microseconds."""
    file = os.open(os.devnull, os.O_WRONLY)
    log = _decision_log.DecisionLog(file, clocks.SystemClock(), "10.0.0.1")
    start_ns = time.process_time_ns()
    for _ in range(LINES // LINES_PER_FLUSH):
        for _ in range(LINES_PER_FLUSH):
            log.write(decisions.Event.ANSWERED, **FIELDS)
        log.flush()
    cpu_ns = time.process_time_ns() - start_ns
    os.close(file)
    return cpu_ns / LINES / 1_000


def main() -> None:
    """Prints the cost of a line and the load of an entry."""
    line_us = cost_us()
    core_fraction = line_us * REQUESTS_PER_S * LINES_PER_REQUEST / 1e6
    print(f"{line_us:.1f} us per line, {core_fraction:.6f} of a core per entry")


if __name__ == "__main__":
    main()
