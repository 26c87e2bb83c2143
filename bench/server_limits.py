"""Measures what limits of backend servers cost, without any network.

Run `python -m bench.server_limits [--seeds N]`. It prints a Markdown table of
messages and bytes for permits, and of how much of the limits is used.
"""

import argparse
import dataclasses
import statistics
from typing import Final

import cbor2

from bench import _capacity_plan
from lagooncrank import model
from lagooncrank.core.limits.tests import _fleet

#: Tag and array that the links add to a payload.
ENVELOPE_BYTES: Final = 20
ENTRIES: Final = (9, 40, 83, 330)
RATE_PER_S: Final = 1.4
#: Requests per second of all entries, as a multiple of the sum of the limits.
DEMANDS: Final = (0.5, 1.0, 2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over some seeds, with one number of entries and one demand."""

    entries: int
    demand: float
    messages_per_s: float
    bytes_per_s: float
    #: Sent requests as a fraction of what the limits allow.
    limit_used: float
    #: Fraction of the requests that were refused.
    refused: float
    #: Most requests of a server in 4 s, as a fraction of what the rule allows.
    most_of_allowed: float

    @classmethod
    def from_outcomes(
        cls,
        scenario: _fleet.Scenario,
        demand: float,
        outcomes: list[_fleet.Outcome],
    ) -> "Row":
        """Summarizes the outcomes of one scenario."""
        seconds = scenario.end_ms / 1_000
        allowed = 1.5 * RATE_PER_S * _fleet.SPAN_MS / 1_000 + 5
        limit = sum(scenario.rates_per_s) * seconds
        return cls(
            scenario.entries,
            demand,
            statistics.mean(len(o.messages) / seconds for o in outcomes),
            statistics.mean(_message_bytes(o) / seconds for o in outcomes),
            statistics.mean(_sent(o) / limit for o in outcomes),
            statistics.mean(o.refused / max(o.requests, 1) for o in outcomes),
            max(
                o.most_in_span(p) / allowed
                for o in outcomes
                for p in o.sends_ms
            ),
        )


def measure(entries: int, demand: float, servers: int, seeds: int) -> Row:
    """Plays one number of entries with several seeds."""
    scenario = _fleet.Scenario(
        entries=entries,
        rates_per_s=(RATE_PER_S,) * servers,
        requests_per_s=demand * RATE_PER_S * servers,
        end_ms=20_000,
    )
    outcomes = [_fleet.Fleet(scenario, seed).play() for seed in range(seeds)]
    return Row.from_outcomes(scenario, demand, outcomes)


def _message_bytes(outcome: _fleet.Outcome) -> int:
    overhead = ENVELOPE_BYTES + _capacity_plan.FRAME_BYTES
    return sum(
        len(cbor2.dumps(model.to_builtins(message))) + overhead
        for message in outcome.messages
    )


def _sent(outcome: _fleet.Outcome) -> int:
    return sum(len(sends_ms) for sends_ms in outcome.sends_ms.values())


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--servers", type=int, default=20)
    arguments = parser.parse_args()
    print("| entries | demand | messages/s | B/s | used | refused | most |")
    print("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    for entries in ENTRIES:
        for demand in DEMANDS:
            row = measure(entries, demand, arguments.servers, arguments.seeds)
            print(
                f"| {row.entries} | {row.demand} | {row.messages_per_s:.0f} "
                f"| {row.bytes_per_s:.0f} | {row.limit_used:.2f} "
                f"| {row.refused:.2f} | {row.most_of_allowed:.2f} |"
            )


if __name__ == "__main__":
    main()
