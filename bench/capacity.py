"""Measures the slopes of docs/CAPACITY.md and writes its tables anew.

Run: python -m bench.capacity
"""

import dataclasses
import json
import pathlib

from bench import _capacity_decisions
from bench import _capacity_page
from bench import _capacity_process
from bench import _capacity_state
from bench import _capacity_wire
from bench import _slopes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
RESULTS = pathlib.Path(__file__).parent / "results" / "capacity.json"
#: Modules that register measurements.
MEASURING = (
    _capacity_decisions,
    _capacity_process,
    _capacity_state,
    _capacity_wire,
)


def main() -> None:
    """Measures every slope, then writes results, page and a table."""
    slopes = {name: _slopes.measure(name) for name, _ in _slopes.MEASUREMENTS}
    plain = [dataclasses.asdict(slope) for slope in slopes.values()]
    RESULTS.write_text(json.dumps(plain, indent=2) + "\n")
    page = _capacity_page.with_tables(PAGE.read_text(), slopes)
    PAGE.write_text(page)
    print(page)


if __name__ == "__main__":
    main()
