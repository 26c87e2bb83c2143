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
    """Returns answers.yaml with each question and an example answer."""
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


def _fields(answer_class: Any, indent: str) -> Iterator[str]:
    for answer_field in _question.answer_fields(answer_class):
        yield from _comment(answer_field, indent)
        if answer_field.item_type is None:
            yield (
                f"{indent}{answer_field.name}: "
                f"{json.dumps(answer_field.question.example)}"
            )
            continue
        yield f"{indent}{answer_field.name}:"
        inner_indent = indent + _INDENT
        if answer_field.is_list:
            yield f"{inner_indent}-"
            inner_indent += _INDENT
        yield from _fields(answer_field.item_type, inner_indent)


def _comment(answer_field: _question.AnswerField, indent: str) -> Iterator[str]:
    optional = "" if answer_field.is_required else " (optional)"
    prefix = f"{indent}# "
    yield from textwrap.wrap(
        answer_field.question.text + optional,
        _LINE_LENGTH,
        initial_indent=prefix,
        subsequent_indent=prefix,
    )
