"""Measures group downtime and stranded accelerators over a failure day.

Run `python -m bench.placement [--size today|plan] [--policy NAME ...]`. It
prints a Markdown table and writes `bench/results/placement-SIZE.json`.
"""

import argparse
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import statistics
import tracemalloc
from typing import Any

from bench import _fail_day
from bench import _fail_day_run
from lagooncrank import model
from lagooncrank.core import placement
from standins import fleet as fleets

SEED = 6
GB = 1_000_000_000
RESULTS = pathlib.Path(__file__).with_name("results")

TODAY = _fail_day.DayPlan(
    domains=(17, 17, 17),
    fails=2,
    restarts=12,
    pauses=20,
    racks=0,
    rack_size=4,
    dark_domains=1,
    flapping=1,
)
PLAN = _fail_day.DayPlan(
    domains=(96,) * 17,
    fails=19,
    restarts=190,
    pauses=100,
    racks=1,
    rack_size=8,
    dark_domains=1,
    flapping=2,
)

STORES = {
    "today": fleets.WeightStoreLimits(4 * GB, 2 * GB),
    "plan": fleets.WeightStoreLimits(20 * GB, 2 * GB),
}

#: What each user pays for a second of either harm, and the spares it holds.
USERS = {
    "Nilegrid": model.PlacementRules(
        group_downtime_weight=1.0,
        stranded_accelerator_weight=0.002,
        spare_instances=1,
    ),
    "Siam": model.PlacementRules(
        group_downtime_weight=1.0,
        stranded_accelerator_weight=0.02,
        spare_instances=0,
    ),
}


def _service(size: str) -> model.ModelService:
    today = model.ModelService(
        name=model.ServiceName("drafts"),
        version="v1",
        replicas=12,
        replicas_floor=9,
        instances_per_replica=4,
        weight_bytes_per_instance=80 * GB,
    )
    if size == "today":
        return today
    return dataclasses.replace(
        today,
        replicas=90,
        max_replicas=102,
        replicas_floor=80,
        instances_per_replica=16,
    )


def deployments(size: str) -> Iterator[_fail_day_run.Deployment]:
    """Yields each user's deployment of the named size."""
    store = STORES[size]
    for name, rules in USERS.items():
        yield _fail_day_run.Deployment(
            name=name,
            day=TODAY if size == "today" else PLAN,
            service=_service(size),
            rules=rules,
            weight_store=model.WeightStoreRules(
                bytes_per_s=store.bytes_per_s,
                concurrent_loads=(
                    store.bytes_per_s // store.bytes_per_s_per_engine
                ),
            ),
            store=store,
            step_ms=1_000 if size == "today" else 2_000,
        )


def _row(
    deployment: _fail_day_run.Deployment,
    policy: str,
    tally: _fail_day_run.Tally,
) -> dict[str, Any]:
    rules = deployment.rules
    cost = (
        rules.group_downtime_weight * tally.downtime_replica_s
        + rules.stranded_accelerator_weight * tally.stranded_accelerator_s
    )
    steps = sorted(tally.step_ms)
    return {
        "user": deployment.name,
        "policy": policy,
        "downtime_replica_s": round(tally.downtime_replica_s),
        "bound_downtime_replica_s": round(tally.bound_downtime_replica_s),
        "stranded_accelerator_s": round(tally.stranded_accelerator_s),
        "bound_stranded_accelerator_s": round(
            tally.bound_stranded_accelerator_s
        ),
        "cost": round(cost),
        "loads": tally.loads,
        "changes": tally.changes,
        "steps": len(steps),
        "median_step_ms": round(statistics.median(steps), 2),
        "longest_step_ms": round(steps[-1], 1),
    }


def _print(rows: list[dict[str, Any]]) -> None:
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(str(v) for v in row.values()) + " |")


def _memory_kb(deployment: _fail_day_run.Deployment) -> int:
    """Returns what planner, state and fleet allocate in ten minutes."""
    tracemalloc.start()
    run = _fail_day_run.Run(deployment, "weighted", SEED)
    run.run(60_000)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes // 1_000


def main() -> None:
    """Runs every policy for every user and reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", choices=("today", "plan"), default="today")
    parser.add_argument("--policy", nargs="*")
    parser.add_argument("--user", choices=tuple(USERS))
    parser.add_argument("--hours", type=int, default=24)
    arguments = parser.parse_args()
    policies = arguments.policy or placement.POLICIES.names()
    until_ms = arguments.hours * 60 * _fail_day.MINUTE_MS
    rows = []
    for deployment in deployments(arguments.size):
        if arguments.user not in (None, deployment.name):
            continue
        for policy in policies:
            run = _fail_day_run.Run(deployment, policy, SEED)
            rows.append(_row(deployment, policy, run.run(until_ms)))
    _print(rows)
    memory_kb = _memory_kb(next(deployments(arguments.size)))
    print(f"\nplanner, state and fakes together: {memory_kb} KB")
    RESULTS.mkdir(exist_ok=True)
    name = "-".join(filter(None, (arguments.size, arguments.user)))
    path = RESULTS / f"placement-{name}.json"
    result = {
        "seed": SEED,
        "hours": arguments.hours,
        "memory_kb": memory_kb,
        "rows": rows,
    }
    path.write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
