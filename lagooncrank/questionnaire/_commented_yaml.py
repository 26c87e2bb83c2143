"""YAML text with a comment above each value that gives its reason."""

from collections.abc import Iterator
import dataclasses
import math
import textwrap
from typing import Any

import yaml

_LINE_LENGTH = 78
_INDENT = "  "


@dataclasses.dataclass(frozen=True, slots=True)
class CommentedValue:
    """A scalar or a list of scalars, with the reason for its value."""

    value: Any
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A mapping, written in the order of its fields."""

    fields: dict[str, "CommentedValue | Section | SectionList"]


@dataclasses.dataclass(frozen=True, slots=True)
class SectionList:
    """A list of mappings."""

    sections: tuple[Section, ...]


def to_yaml(heading: str, section: Section) -> str:
    """Returns YAML text below a heading in a comment.

    >>> section = Section({"a": CommentedValue(1, "one")})
    >>> print(to_yaml("Limits", section), end="")
    # Limits
    <BLANKLINE>
    # one
    a: 1
    """
    lines = [*_comment(heading, ""), "", *_fields(section, "")]
    return "\n".join(lines) + "\n"


def _fields(section: Section, indent: str) -> Iterator[str]:
    for name, field in section.fields.items():
        if isinstance(field, CommentedValue):
            yield from _comment(field.reason, indent)
            yield f"{indent}{name}: {_format_inline(field.value)}"
        elif isinstance(field, Section):
            yield f"{indent}{name}:"
            yield from _fields(field, indent + _INDENT)
        elif field.sections:
            yield f"{indent}{name}:"
            for item in field.sections:
                yield f"{indent}{_INDENT}-"
                yield from _fields(item, indent + 2 * _INDENT)
        else:
            yield f"{indent}{name}: []"


def _format_inline(value: Any) -> str:
    """Returns a scalar or a list of scalars on one line."""
    text = yaml.safe_dump(
        value, default_flow_style=True, allow_unicode=True, width=math.inf
    )
    return text.removesuffix("...\n").rstrip("\n")


def _comment(text: str, indent: str) -> Iterator[str]:
    prefix = f"{indent}# "
    yield from textwrap.wrap(
        text,
        _LINE_LENGTH,
        initial_indent=prefix,
        subsequent_indent=prefix,
        break_long_words=False,
        break_on_hyphens=False,
    )
