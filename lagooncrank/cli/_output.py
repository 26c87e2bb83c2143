"""Prints results as JSON or as a table."""

from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import enum
import itertools
import json
import sys
from typing import Any

from lagooncrank import clock as clocks

#: Titles of the time fields, which a table shows as dates.
_COLUMN_TITLES = {"wall_ms": "time", "lapses_wall_ms": "lapses"}


class OutputFormat(enum.StrEnum):
    """How a command prints its result."""

    TABLE = "table"
    JSON = "json"


def show(value: Any, output: OutputFormat, columns: Sequence[str] = ()) -> None:
    """Prints a result on standard output.

    Args:
        value: A list of mappings, or one mapping.
        output: Format. JSON has every key; a table of a list has `columns`.
        columns: Keys to show of each item of a list; if empty, the keys of the
            first item.
    """
    if output is OutputFormat.JSON:
        print(json.dumps(value, indent=2, ensure_ascii=False))
    elif isinstance(value, Mapping):
        print(format_mapping(value))
    else:
        print(format_table(value, columns))


def print_message(message: str) -> None:
    """Prints a line on standard error, separate from the result."""
    print(message, file=sys.stderr, flush=True)


def format_mapping(value: Mapping[str, Any]) -> str:
    """Returns a line for each key, or for each item of a list of mappings.

    >>> print(format_mapping({"node_id": "n1", "roles": ["entry", "control"]}))
    node_id  n1
    roles    entry, control
    """
    width = max((len(_COLUMN_TITLES.get(key, key)) for key in value), default=0)
    lines = []
    for key, item in value.items():
        titles = itertools.chain(
            [_COLUMN_TITLES.get(key, key)], itertools.repeat("")
        )
        lines += [
            f"{title:<{width}}  {line}".rstrip()
            for title, line in zip(
                titles, _value_lines(key, item), strict=False
            )
        ]
    return "\n".join(lines)


def format_table(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str] = ()
) -> str:
    """Returns a table with aligned columns under their titles.

    >>> print(format_table([{"name": "a", "share": 10}, {"name": "bc"}]))
    name  share
    a     10
    bc
    >>> print(format_table([{"revision": 1, "wall_ms": 0}]))
    revision  time
    1         1970-01-01 00:00:00 UTC
    """
    if not rows:
        return "(none)"
    names = list(columns) or list(rows[0])
    lines = [[_COLUMN_TITLES.get(name, name) for name in names]]
    lines += [
        [_format_field(name, row.get(name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_field(name: str, value: Any) -> str:
    if name in _COLUMN_TITLES and isinstance(value, int):
        moment = datetime.datetime.fromtimestamp(
            value / clocks.MS_PER_S, datetime.UTC
        )
        return f"{moment:%Y-%m-%d %H:%M:%S} UTC"
    return _format_value(value)


def _value_lines(name: str, value: Any) -> list[str]:
    """Returns a line for each mapping in a list, else a single line."""
    if isinstance(value, list) and value and isinstance(value[0], Mapping):
        return [_format_value(item) for item in value]
    return [_format_field(name, value)]


def _format_value(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Mapping):
        return ", ".join(f"{k}={_format_value(v)}" for k, v in value.items())
    if isinstance(value, (list, tuple)):
        return ", ".join(_format_value(item) for item in value)
    return str(value)
