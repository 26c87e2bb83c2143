"""Measures the slopes of docs/CAPACITY.md and regenerates its tables.

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
#: Modules imported because they register measurements.
MEASUREMENT_MODULES = (
    _capacity_decisions,
    _capacity_process,
    _capacity_state,
    _capacity_wire,
)


def main() -> None:
    """Measures every slope, writes results and page, and prints the page."""
    slopes = {name: _slopes.measure(name) for name, _ in _slopes.MEASUREMENTS}
    records = [dataclasses.asdict(slope) for slope in slopes.values()]
    RESULTS.write_text(json.dumps(records, indent=2) + "\n")
    page = _capacity_page.render_tables(PAGE.read_text(), slopes)
    PAGE.write_text(page)
    print(page)


if __name__ == "__main__":
    main()
