"""Short run of the soak test, and seeds that failed in the past."""

import pathlib

import pytest

from soak import _faults
from soak import _run

#: Seeds; the id names what a seed covers.
SEEDS = [
    pytest.param(1, id="short-run"),
    # This seed lost a second disk while, for 500 ms, the voter set was one
    # voter short.
    pytest.param(4, id="disk-loss-during-voter-replacement"),
]
DURATION_S = 3.0


CUT_DURATION_S = 15.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    report = await _run.run_seed(_run.SeedConfig(seed, DURATION_S), tmp_path)
    assert not report.violations
    assert report.served


# Guards against: an entry that is cut off from all backend servers serves its
# callers far worse than the others do.
async def test_cut_off_entries_serve_like_the_others(
    tmp_path: pathlib.Path,
) -> None:
    config = _run.SeedConfig(
        1, CUT_DURATION_S, entries=3, kinds=_faults.CUT_FAULTS
    )
    report = await _run.run_seed(config, tmp_path)
    assert not report.violations
    assert report.served
