"""Measures how well the planner repairs replicas, without any network.

Run `python -m bench.repair [--seeds N]`. It prints a Markdown table with group
downtime, stranded engines and lost worth of each deployment.
"""

import argparse
import statistics
from typing import Final

from bench import _repair_fleet
from lagooncrank import model

DEPLOYMENTS: Final = (
    _repair_fleet.Deployment(
        "Sondeo",
        domains=6,
        engines_per_domain=9,
        models=(
            model.ModelProfile("large", 4, 0.57, 1.0, 16_000, 1_600),
            model.ModelProfile("small", 3, 0.43, 0.6, 12_000, 1_100),
        ),
        demand={"large": 5.0, "small": 5.0},
        worth_per_s={"large": 72.0, "small": 79.0},
    ),
    _repair_fleet.Deployment(
        "Nilegrid and Lustral",
        domains=6,
        engines_per_domain=8,
        models=(
            model.ModelProfile("large", 4, 0.67, 1.0, 16_000, 1_600),
            model.ModelProfile("small", 2, 0.33, 0.6, 12_000, 1_100),
        ),
        demand={"large": 5.0, "small": 5.0},
        worth_per_s={"large": 64.0, "small": 72.0},
    ),
    _repair_fleet.Deployment(
        "Sondeo grown",
        domains=6,
        engines_per_domain=37,
        models=(
            model.ModelProfile("large", 16, 0.3, 1.0, 16_000, 1_600),
            model.ModelProfile("small", 4, 0.7, 0.6, 12_000, 1_100),
        ),
        demand={"large": 3.0, "small": 25.0},
        worth_per_s={"large": 96.0, "small": 412.0},
        engines_per_loss=4,
    ),
)


def main() -> None:
    """Simulates every deployment and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    seeds = parser.parse_args().seeds
    print("| deployment | missing replica s | stranded engine s | worth lost |")
    print("| --- | ---: | ---: | ---: |")
    for deployment in DEPLOYMENTS:
        days = [
            _repair_fleet.FleetSimulation(deployment, seed).run()
            for seed in range(seeds)
        ]
        missing_s = statistics.mean(d.missing_replica_s for d in days)
        stranded_s = statistics.mean(d.stranded_engine_s for d in days)
        lost = statistics.mean(d.worth_lost for d in days)
        print(
            f"| {deployment.name} | {missing_s:.1f} | {stranded_s:.0f} "
            f"| {lost:.3f} |"
        )


if __name__ == "__main__":
    main()
