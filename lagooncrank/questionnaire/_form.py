"""The blank form: every question with an example answer, as YAML."""

from collections.abc import Iterator
import json
import textwrap
from typing import Any

import msgspec
import yaml

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _question

_LINE_LENGTH = 78
_INDENT = "  "


def blank_form() -> str:
    """Returns answers.yaml with one example of everything."""
    lines = [
        "# Answers from which 'lagooncrank questionnaire' makes a",
        "# configuration. Replace each example; repeat list items as needed.",
        "# Lines marked (optional) may be left out.",
        *_fields(_answers.Answers, ""),
    ]
    return "\n".join(lines) + "\n"


def filled_form(answers: _answers.Answers) -> str:
    """Returns answers.yaml with these answers, without the questions."""
    return yaml.safe_dump(
        msgspec.to_builtins(answers), sort_keys=False, allow_unicode=True
    )


def _fields(kind: Any, indent: str) -> Iterator[str]:
    for asked in _question.questions(kind):
        yield from _comment(asked, indent)
        if asked.item_kind is None:
            yield f"{indent}{asked.name}: {json.dumps(asked.question.example)}"
            continue
        yield f"{indent}{asked.name}:"
        inner = indent + _INDENT
        if asked.is_list:
            yield f"{inner}-"
            inner += _INDENT
        yield from _fields(asked.item_kind, inner)


def _comment(asked: _question.Asked, indent: str) -> Iterator[str]:
    optional = "" if asked.is_required else " (optional)"
    prefix = f"{indent}# "
    yield from textwrap.wrap(
        asked.question.text + optional,
        _LINE_LENGTH,
        initial_indent=prefix,
        subsequent_indent=prefix,
    )
