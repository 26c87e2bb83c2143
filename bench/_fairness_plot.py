"""Plot of the fairness benchmark's results."""

import pathlib
from typing import Any

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot as plt

#: Fraction of first tokens that must be in time.
TIMELY_FRACTION_TARGET = 0.95
BAR_WIDTH = 0.38


def draw(results: dict[str, Any], path: pathlib.Path) -> None:
    """Draws timely fraction and throughput of each scenario by policy."""
    names = list(results)
    figure, axes = plt.subplots(2, 1, figsize=(10, 8), sharex=True)
    for offset, policy in (
        (-BAR_WIDTH / 2, "first_come"),
        (BAR_WIDTH / 2, "fair_share"),
    ):
        positions = [index + offset for index in range(len(names))]
        timely_fractions = [
            results[name][policy]["small_in_time"] for name in names
        ]
        throughputs = [results[name][policy]["tokens_per_s"] for name in names]
        axes[0].bar(positions, timely_fractions, BAR_WIDTH, label=policy)
        axes[1].bar(positions, throughputs, BAR_WIDTH, label=policy)
    axes[0].axhline(
        TIMELY_FRACTION_TARGET, color="black", linewidth=0.8, linestyle="--"
    )
    axes[0].set_ylabel("first tokens in time,\nworst small account")
    axes[1].set_ylabel("tokens of completed answers per s")
    axes[1].set_xticks(range(len(names)), names, rotation=25, ha="right")
    axes[0].legend(loc="center right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
