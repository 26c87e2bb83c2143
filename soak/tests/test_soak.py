"""A short seeded run, and the seeds that once broke a promise."""

import pathlib

import pytest

from soak import _run

#: Seed, and what it broke once.
SEEDS = [
    pytest.param(1, id="short-run"),
]
DURATION_S = 5.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_are_kept_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    report = await _run.play(_run.Setup(seed, DURATION_S), tmp_path)
    assert not report.problems
    assert report.served
