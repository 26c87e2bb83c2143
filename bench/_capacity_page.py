"""Writes the tables of docs/CAPACITY.md and reads its slope table back."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import re

from bench import _capacity_control
from bench import _capacity_entry
from bench import _capacity_plan
from bench import _capacity_rows
from bench import _slopes

#: Digits that a value keeps on the page.
DIGITS = 4

_BUDGET = _capacity_plan.Budget()
_BUDGETS = {
    _capacity_rows.BYTES_PER_S: _BUDGET.bytes_per_s,
    _capacity_rows.CPU: _BUDGET.cpu_percent,
    _capacity_rows.MEMORY: _BUDGET.memory_bytes,
}
_SLOPE_HEAD = "| slope | value | per | unit | at size 0 | sizes | of |"


class PageError(Exception):
    """A page without the marks between which its tables stand."""

    def __init__(self, section: str) -> None:
        self.section = section
        super().__init__(f"no marks begin and end of {section!r} in the page")


def with_tables(page: str, slopes: Mapping[str, _slopes.Slope]) -> str:
    """Returns the page with its tables made from `slopes`.

    Raises:
        PageError: The page lacks a section.
    """
    rounded = {name: _rounded(slope) for name, slope in slopes.items()}
    lines = _capacity_rows.Lines(
        rounded, _capacity_plan.Plan(), _capacity_plan.Rates()
    )
    rows = (*_capacity_entry.rows(lines), *_capacity_control.rows(lines))
    page = _replace(page, "slopes", _slope_table(rounded.values()))
    page = _replace(page, "costs", _cost_tables(rows))
    return _replace(page, "misses", _misses(rows))


def read_slopes(page: str) -> dict[str, _slopes.Slope]:
    """Returns the slopes that the page's table holds.

    Raises:
        PageError: The page has no slope table.
    """
    match = re.search(_pattern("slopes"), page, re.DOTALL)
    if match is None:
        raise PageError("slopes")
    lines = match.group(2).strip().splitlines()[2:]
    return {slope.name: slope for slope in map(_read_slope, lines)}


def number(value: float) -> str:
    """Returns a value with few digits, in thousands where it is large.

    >>> number(1234567.0), number(0.0123456), number(42.0)
    ('1,235,000', '0.01235', '42')
    """
    rounded = float(f"{value:.{DIGITS}g}")
    if abs(rounded) >= 10 ** (DIGITS - 1):
        return f"{rounded:,.0f}"
    return f"{rounded:g}"


def _slope_table(slopes: Iterable[_slopes.Slope]) -> Iterator[str]:
    yield _SLOPE_HEAD
    yield "| --- | ---: | --- | --- | ---: | --- | --- |"
    for slope in sorted(slopes, key=lambda s: s.name):
        sizes = " ".join(str(size) for size in slope.sizes)
        yield (
            f"| {slope.name} | {number(slope.slope)} | {slope.per} "
            f"| {slope.unit} | {number(slope.base)} | {sizes} | {slope.what} |"
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
    """Returns the slope as the page shows it, so that the page adds up."""
    line = f"|{slope.name}|{number(slope.slope)}|{slope.per}|{slope.unit}|"
    line += f"{number(slope.base)}|{' '.join(map(str, slope.sizes))}|"
    return _read_slope(f"{line}{slope.what}|")


def _cost_tables(rows: tuple[_capacity_rows.Row, ...]) -> Iterator[str]:
    for role in dict.fromkeys(row.role for row in rows):
        for unit in _BUDGETS:
            chosen = [r for r in rows if (r.role, r.unit) == (role, unit)]
            if chosen:
                yield from _cost_table(role, unit, chosen)


def _cost_table(
    role: str, unit: str, rows: list[_capacity_rows.Row]
) -> Iterator[str]:
    yield f"### {role[0].upper()}{role[1:]}: {unit}"
    yield ""
    yield f"| mechanism | how | {unit} | of the budget |"
    yield "| --- | --- | ---: | ---: |"
    for row in rows:
        yield (
            f"| {row.mechanism} | {row.formula} | {number(row.value)} "
            f"| {_times(row.value, unit)} |"
        )
    total = sum(row.value for row in rows)
    yield f"| all | | {number(total)} | {_times(total, unit)} |"
    yield ""


def _misses(rows: tuple[_capacity_rows.Row, ...]) -> Iterator[str]:
    missed = [row for row in rows if row.value > _BUDGETS[row.unit]]
    for row in sorted(missed, key=_factor, reverse=True):
        yield (
            f"- {row.role}, {row.mechanism}: {number(row.value)} {row.unit}, "
            f"{_times(row.value, row.unit)} the budget"
        )


def _factor(row: _capacity_rows.Row) -> float:
    return row.value / _BUDGETS[row.unit]


def _times(value: float, unit: str) -> str:
    return f"{value / _BUDGETS[unit]:.2f} x"


def _replace(page: str, section: str, lines: Iterable[str]) -> str:
    text = "\n".join(lines).strip()
    replaced, count = re.subn(
        _pattern(section),
        lambda match: f"{match.group(1)}\n{text}\n{match.group(3)}",
        page,
        flags=re.DOTALL,
    )
    if count != 1:
        raise PageError(section)
    return replaced


def _pattern(section: str) -> str:
    return f"(<!-- begin {section} -->)\n(.*?)(<!-- end {section} -->)"
