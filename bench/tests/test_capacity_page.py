import dataclasses

from bench import _capacity_page
from bench import _slopes
from bench import capacity


def test_tables_match_the_slope_table_of_the_page() -> None:
    page = capacity.PAGE.read_text()
    slopes = _capacity_page.read_slopes(page)
    assert _capacity_page.render_tables(page, slopes) == page


def test_every_slope_of_the_page_has_a_measurement() -> None:
    slopes = _capacity_page.read_slopes(capacity.PAGE.read_text())
    assert set(slopes) == set(_slopes.MEASUREMENTS.names())
    for name, slope in slopes.items():
        measurement = _slopes.MEASUREMENTS.get(name)
        assert (slope.unit, slope.per) == (measurement.unit, measurement.per)
        assert len(set(slope.sizes)) > 2


def test_different_slope_changes_the_tables() -> None:
    page = capacity.PAGE.read_text()
    slopes = _capacity_page.read_slopes(page)
    for name in ("wire_renewal", "memory_call", "cpu_placement"):
        larger = dict(slopes)
        larger[name] = dataclasses.replace(slopes[name], slope=1e6)
        assert _capacity_page.render_tables(page, larger) != page
