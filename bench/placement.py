"""Measures downtime and stranded accelerators over a simulated day of failures.

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

from bench import _failure_schedule
from bench import _placement_run
from lagooncrank import model
from lagooncrank.core import placement
from standins import fleet as fleets

SEED = 6
GB = 1_000_000_000
RESULTS = pathlib.Path(__file__).with_name("results")

TODAY = _failure_schedule.FailurePlan(
    instances_per_domain=(17, 17, 17),
    long_outages=2,
    restarts=12,
    pauses=20,
    rack_outages=0,
    instances_per_rack=4,
    domain_outages=1,
    flapping_instances=1,
)
PLAN = _failure_schedule.FailurePlan(
    instances_per_domain=(96,) * 17,
    long_outages=19,
    restarts=190,
    pauses=100,
    rack_outages=1,
    instances_per_rack=8,
    domain_outages=1,
    flapping_instances=2,
)

STORES = {
    "today": fleets.WeightStoreLimits(4 * GB, 2 * GB),
    "plan": fleets.WeightStoreLimits(20 * GB, 2 * GB),
}

#: Each user's cost weights of a second of group downtime and of a stranded
#: accelerator, and its number of spare instances.
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
    current = model.ModelService(
        name=model.ServiceName("drafts"),
        version="v1",
        replicas=12,
        replicas_floor=9,
        instances_per_replica=4,
        weight_bytes_per_instance=80 * GB,
    )
    if size == "today":
        return current
    return dataclasses.replace(
        current,
        replicas=90,
        max_replicas=102,
        replicas_floor=80,
        instances_per_replica=16,
    )


def deployments(size: str) -> Iterator[_placement_run.Deployment]:
    """Yields the deployment of each user at the named size."""
    store = STORES[size]
    for name, rules in USERS.items():
        yield _placement_run.Deployment(
            name=name,
            failure_plan=TODAY if size == "today" else PLAN,
            service=_service(size),
            rules=rules,
            weight_store=model.WeightStoreRules(
                bytes_per_s=store.bytes_per_s,
                concurrent_loads=(
                    store.bytes_per_s // store.bytes_per_s_per_engine
                ),
            ),
            store=store,
            step_interval_ms=1_000 if size == "today" else 2_000,
        )


def _row(
    deployment: _placement_run.Deployment,
    policy: str,
    totals: _placement_run.RunTotals,
) -> dict[str, Any]:
    rules = deployment.rules
    cost = (
        rules.group_downtime_weight * totals.downtime_replica_s
        + rules.stranded_accelerator_weight * totals.stranded_accelerator_s
    )
    steps = sorted(totals.step_durations_ms)
    return {
        "user": deployment.name,
        "policy": policy,
        "downtime_replica_s": round(totals.downtime_replica_s),
        "bound_downtime_replica_s": round(totals.bound_downtime_replica_s),
        "stranded_accelerator_s": round(totals.stranded_accelerator_s),
        "bound_stranded_accelerator_s": round(
            totals.bound_stranded_accelerator_s
        ),
        "cost": round(cost),
        "loads": totals.loads,
        "changes": totals.changes,
        "steps": len(steps),
        "median_step_ms": round(statistics.median(steps), 2),
        "longest_step_ms": round(steps[-1], 1),
    }


def _print_table(rows: list[dict[str, Any]]) -> None:
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(str(v) for v in row.values()) + " |")


def _memory_kb(deployment: _placement_run.Deployment) -> int:
    """Returns memory of planner, state and fleet after a simulated minute."""
    tracemalloc.start()
    run = _placement_run.PlacementRun(deployment, "weighted", SEED)
    run.run(60_000)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes // 1_000


def main() -> None:
    """Runs every policy for every user, prints and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", choices=("today", "plan"), default="today")
    parser.add_argument("--policy", nargs="*")
    parser.add_argument("--user", choices=tuple(USERS))
    parser.add_argument("--hours", type=int, default=24)
    arguments = parser.parse_args()
    policies = arguments.policy or placement.POLICIES.names()
    until_ms = arguments.hours * 60 * _failure_schedule.MS_PER_MINUTE
    rows = []
    for deployment in deployments(arguments.size):
        if arguments.user not in (None, deployment.name):
            continue
        for policy in policies:
            run = _placement_run.PlacementRun(deployment, policy, SEED)
            rows.append(_row(deployment, policy, run.run(until_ms)))
    _print_table(rows)
    memory_kb = _memory_kb(next(deployments(arguments.size)))
    print(f"\nmemory of planner, state and simulated fleet: {memory_kb} KB")
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
