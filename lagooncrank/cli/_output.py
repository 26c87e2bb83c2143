"""Prints answers as JSON or as a table."""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
import json
import sys
from typing import Any


class OutputFormat(enum.StrEnum):
    """How a command prints its answer."""

    TABLE = "table"
    JSON = "json"


def show(value: Any, output: OutputFormat, columns: Sequence[str] = ()) -> None:
    """Prints an answer on standard output.

    Args:
        value: A list of mappings or one mapping.
        output: JSON prints everything; a table prints `columns` of a list.
        columns: Keys to show of each row; empty shows those of the first.
    """
    if output is OutputFormat.JSON:
        print(json.dumps(value, indent=2, ensure_ascii=False))
    elif isinstance(value, Mapping):
        print(facts(value))
    else:
        print(table(value, columns))


def progress(message: str) -> None:
    """Prints a line on standard error, so that the answer stays clean."""
    print(message, file=sys.stderr, flush=True)


def facts(value: Mapping[str, Any]) -> str:
    """Returns one line per key.

    >>> print(facts({"node_id": "n1", "roles": ["entry", "control"]}))
    node_id  n1
    roles    entry, control
    """
    width = max((len(key) for key in value), default=0)
    return "\n".join(
        f"{key:<{width}}  {_cell(item)}".rstrip() for key, item in value.items()
    )


def table(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str] = ()
) -> str:
    """Returns aligned columns under their names.

    >>> print(table([{"name": "a", "share": 10}, {"name": "bc"}]))
    name  share
    a     10
    bc
    """
    if not rows:
        return "(none)"
    names = list(columns) or list(rows[0])
    lines = [names]
    lines += [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Mapping):
        return ", ".join(f"{k}={_cell(v)}" for k, v in value.items())
    if isinstance(value, (list, tuple)):
        return ", ".join(_cell(item) for item in value)
    return str(value)
