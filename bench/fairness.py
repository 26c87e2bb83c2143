"""Compares naive and default policies for small accounts beside large ones.

The large accounts send bursts far above their shares. Run with
`python -m bench.fairness`; writes `bench/results/fairness.json` and a plot next
to it.
"""

import json
import pathlib
import sys
from typing import Any

from bench import _fairness_plot
from bench import _outcomes
from bench import _scenario
from bench import _simulation

RESULTS = pathlib.Path(__file__).with_name("results") / "fairness.json"


def summarize(
    scenario: _scenario.Scenario, outcome: _outcomes.RunOutcome
) -> dict[str, Any]:
    """Returns the metrics of one run, for the worst account of each size."""
    small = [outcome.accounts[name] for name in scenario.small_accounts]
    large = [
        account
        for name, account in outcome.accounts.items()
        if name not in scenario.small_accounts
    ]
    seconds = scenario.duration_ms / 1_000
    target_ms = scenario.first_token_target_ms
    accounts = list(outcome.accounts.values())
    return {
        "small_in_time": min(a.timely_fraction(target_ms) for a in small),
        "small_first_token_p95_ms": max(
            a.first_token_ms.quantile(0.95) for a in small
        ),
        "small_gap_p95_ms": max(a.token_gap_ms.quantile(0.95) for a in small),
        "large_first_token_p95_ms": max(
            a.first_token_ms.quantile(0.95) for a in large
        ),
        "large_gap_p95_ms": max(a.token_gap_ms.quantile(0.95) for a in large),
        "tokens_per_s": outcome.completed_tokens / seconds,
        "timely_tokens_per_s": sum(a.timely_tokens for a in accounts) / seconds,
        "small_tokens_per_s": sum(a.completed_tokens for a in small) / seconds,
        "busy_slots": outcome.busy_slot_ms
        / scenario.duration_ms
        / (scenario.replicas * scenario.slots_per_replica),
        "small_refused": sum(sum(a.refusals.values()) for a in small),
        "large_refused": sum(sum(a.refusals.values()) for a in large),
        "suspended": sum(a.suspensions for a in accounts),
        "retried": sum(a.retries for a in accounts),
        "lost": sum(a.failed for a in accounts),
        "report_bytes": outcome.report_bytes / max(1, outcome.reports),
    }


def run(
    scenario: _scenario.Scenario, policies: _scenario.Policies
) -> dict[str, Any]:
    """Runs one scenario and returns its metrics."""
    simulation = _simulation.Simulation(scenario, policies)
    return summarize(scenario, simulation.run())


def main(only: str | None = None) -> None:
    """Runs all scenarios, or the one named `only`, and prints a table."""
    results: dict[str, Any] = {}
    print("| scenario | policy | " + " | ".join(COLUMNS) + " |")
    print("| --- | --- |" + " --- |" * len(COLUMNS))
    for scenario in _scenario.all_scenarios():
        if only not in (None, scenario.name):
            continue
        for policies in (_scenario.NAIVE_POLICIES, _scenario.DEFAULT_POLICIES):
            metrics = run(scenario, policies)
            results.setdefault(scenario.name, {})[policies.admission] = metrics
            cells = (_format(metrics[column]) for column in COLUMNS)
            row = (scenario.name, policies.admission, *cells)
            print("| " + " | ".join(row) + " |", flush=True)
    if only is None:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")
        _fairness_plot.draw(results, RESULTS.with_suffix(".svg"))


COLUMNS = (
    "small_in_time",
    "small_first_token_p95_ms",
    "small_gap_p95_ms",
    "large_first_token_p95_ms",
    "tokens_per_s",
    "timely_tokens_per_s",
    "busy_slots",
    "small_refused",
    "large_refused",
    "suspended",
    "retried",
    "lost",
    "report_bytes",
)


def _format(value: float) -> str:
    return f"{value:.3f}" if 0 < value < 2 else f"{value:.0f}"


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else None)
