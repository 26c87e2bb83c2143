"""Renders the tables of docs/CAPACITY.md and parses its slope table."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import re

from bench import _capacity_control
from bench import _capacity_entry
from bench import _capacity_plan
from bench import _capacity_rows
from bench import _slopes

#: Significant digits of the values on the page.
SIGNIFICANT_DIGITS = 4

_BUDGET = _capacity_plan.Budget()
_BUDGET_BY_UNIT = {
    _capacity_rows.BYTES_PER_S: _BUDGET.bytes_per_s,
    _capacity_rows.CPU: _BUDGET.cpu_percent,
    _capacity_rows.MEMORY: _BUDGET.memory_bytes,
}
_SLOPE_TABLE_HEADER = "| slope | value | per | unit | at size 0 | sizes | of |"


class PageError(Exception):
    """Raised if a page lacks the comments that delimit one of its tables."""

    def __init__(self, section: str) -> None:
        self.section = section
        super().__init__(
            f"the page has no begin and end comments for section {section!r}"
        )


def render_tables(page: str, slopes: Mapping[str, _slopes.Slope]) -> str:
    """Returns the page with its tables computed from `slopes`.

    Raises:
        PageError: The page lacks a section.
    """
    rounded = {name: _rounded(slope) for name, slope in slopes.items()}
    costs = _capacity_rows.CostModel(
        rounded, _capacity_plan.Plan(), _capacity_plan.Rates()
    )
    rows = (
        *_capacity_entry.cost_rows(costs),
        *_capacity_control.cost_rows(costs),
    )
    page = _replace_section(page, "slopes", _slope_table(rounded.values()))
    page = _replace_section(page, "costs", _cost_tables(rows))
    return _replace_section(page, "misses", _budget_excesses(rows))


def read_slopes(page: str) -> dict[str, _slopes.Slope]:
    """Returns the slopes in the page's slope table, by name.

    Raises:
        PageError: The page has no slope table.
    """
    match = re.search(_section_pattern("slopes"), page, re.DOTALL)
    if match is None:
        raise PageError("slopes")
    lines = match.group(2).strip().splitlines()[2:]
    return {slope.name: slope for slope in map(_read_slope, lines)}


def format_number(value: float) -> str:
    """Formats a value with four significant digits, in groups of three.

    >>> format_number(1234567.0), format_number(0.0123456), format_number(42.0)
    ('1,235,000', '0.01235', '42')
    """
    rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{rounded:,.0f}"
    return f"{rounded:g}"


def _slope_table(slopes: Iterable[_slopes.Slope]) -> Iterator[str]:
    yield _SLOPE_TABLE_HEADER
    yield "| --- | ---: | --- | --- | ---: | --- | --- |"
    for slope in sorted(slopes, key=lambda s: s.name):
        sizes = " ".join(str(size) for size in slope.sizes)
        yield (
            f"| {slope.name} | {format_number(slope.slope)} | {slope.per} "
            f"| {slope.unit} | {format_number(slope.base)} | {sizes} "
            f"| {slope.what} |"
        )


def _read_slope(line: str) -> _slopes.Slope:
    cells = [cell.strip() for cell in line.strip("|").split("|")]
    name, value, per, unit, base, sizes, what = cells
    return _slopes.Slope(
        name=name,
        unit=unit,
        per=per,
        what=what,
        slope=float(value.replace(",", "")),
        base=float(base.replace(",", "")),
        sizes=tuple(int(size) for size in sizes.split()),
    )


def _rounded(slope: _slopes.Slope) -> _slopes.Slope:
    """Returns the slope rounded as on the page.

    The costs on the page can then be recomputed from its slope table.
    """
    line = (
        f"|{slope.name}|{format_number(slope.slope)}|{slope.per}|{slope.unit}|"
    )
    line += f"{format_number(slope.base)}|{' '.join(map(str, slope.sizes))}|"
    return _read_slope(f"{line}{slope.what}|")


def _cost_tables(rows: tuple[_capacity_rows.CostRow, ...]) -> Iterator[str]:
    for role in dict.fromkeys(row.role for row in rows):
        for unit in _BUDGET_BY_UNIT:
            selected = [r for r in rows if (r.role, r.unit) == (role, unit)]
            if selected:
                yield from _cost_table(role, unit, selected)


def _cost_table(
    role: str, unit: str, rows: list[_capacity_rows.CostRow]
) -> Iterator[str]:
    yield f"### {role[0].upper()}{role[1:]}: {unit}"
    yield ""
    yield f"| mechanism | how | {unit} | of the budget |"
    yield "| --- | --- | ---: | ---: |"
    for row in rows:
        yield (
            f"| {row.mechanism} | {row.formula} | {format_number(row.value)} "
            f"| {_format_budget_ratio(row.value, unit)} |"
        )
    total = sum(row.value for row in rows)
    yield (
        f"| all | | {format_number(total)} "
        f"| {_format_budget_ratio(total, unit)} |"
    )
    yield ""


def _budget_excesses(rows: tuple[_capacity_rows.CostRow, ...]) -> Iterator[str]:
    excesses = [row for row in rows if row.value > _BUDGET_BY_UNIT[row.unit]]
    for row in sorted(excesses, key=_budget_ratio, reverse=True):
        yield (
            f"- {row.role}, {row.mechanism}: {format_number(row.value)} "
            f"{row.unit}, "
            f"{_format_budget_ratio(row.value, row.unit)} the budget"
        )


def _budget_ratio(row: _capacity_rows.CostRow) -> float:
    return row.value / _BUDGET_BY_UNIT[row.unit]


def _format_budget_ratio(value: float, unit: str) -> str:
    return f"{value / _BUDGET_BY_UNIT[unit]:.2f} x"


def _replace_section(page: str, section: str, lines: Iterable[str]) -> str:
    text = "\n".join(lines).strip()
    replaced, count = re.subn(
        _section_pattern(section),
        lambda match: f"{match.group(1)}\n{text}\n{match.group(3)}",
        page,
        flags=re.DOTALL,
    )
    if count != 1:
        raise PageError(section)
    return replaced


def _section_pattern(section: str) -> str:
    return f"(<!-- begin {section} -->)\n(.*?)(<!-- end {section} -->)"
