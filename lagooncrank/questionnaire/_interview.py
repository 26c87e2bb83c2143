"""Asks the questions of the questionnaire interactively."""

from collections.abc import Callable
import json
from typing import Any

import msgspec

from lagooncrank import settings
from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _question

#: Prompts with a question and returns the typed line.
Ask = Callable[[str], str]
#: Prints one line.
Show = Callable[[str], None]

_YES = frozenset({"y", "yes", "true"})
_NO = frozenset({"n", "no", "false"})


class Interview:
    """Collects the answers by asking each question in turn.

    An invalid line is explained, and its question asked again.

    Args:
        ask: Prompts with a question and returns the typed line.
        show: Prints one line.
    """

    def __init__(self, ask: Ask, show: Show) -> None:
        self._ask = ask
        self._show = show

    def answers(self) -> _answers.Answers:
        """Asks every question and returns the answers."""
        collected = self._ask_fields(_answers.Answers, "")
        return msgspec.convert(collected, _answers.Answers)

    def _ask_fields(self, answer_class: Any, prefix: str) -> dict[str, Any]:
        collected = {}
        for answer_field in _question.answer_fields(answer_class):
            if answer_field.item_type is None:
                collected[answer_field.name] = self._ask_value(
                    answer_field, prefix
                )
            elif answer_field.is_list:
                collected[answer_field.name] = self._ask_items(
                    answer_field, prefix
                )
            else:
                self._show(f"\n{answer_field.question.text}")
                collected[answer_field.name] = self._ask_fields(
                    answer_field.item_type, prefix
                )
        return collected

    def _ask_items(
        self, answer_field: _question.AnswerField, prefix: str
    ) -> list[dict[str, Any]]:
        self._show(f"\n{prefix}{answer_field.question.text}")
        count = self._ask_count(f"{prefix}How many? ")
        return [
            self._ask_fields(
                answer_field.item_type,
                f"{prefix}{answer_field.name} {index + 1}: ",
            )
            for index in range(count)
        ]

    def _ask_count(self, prompt: str) -> int:
        while True:
            line = self._ask(prompt).strip()
            if line.isascii() and line.isdigit():
                return int(line)
            self._show("Enter a whole number, 0 or greater.")

    def _ask_value(
        self, answer_field: _question.AnswerField, prefix: str
    ) -> Any:
        prompt = (
            f"{prefix}{answer_field.question.text}{_prompt_hint(answer_field)} "
        )
        while True:
            line = self._ask(prompt).strip()
            if not line and not answer_field.is_required:
                return answer_field.default
            value = _parse_line(line, answer_field.answer_type)
            problems = list(
                settings.check_schema(value, answer_field.answer_type)
            )
            if not problems:
                return value
            self._show(f"{line!r} {problems[0].message}")


def _prompt_hint(answer_field: _question.AnswerField) -> str:
    if answer_field.is_required:
        return f" (such as {_format_answer(answer_field.question.example)})"
    return f" [{_format_answer(answer_field.default)}]"


def _format_answer(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        return ", ".join(str(item) for item in value) or "none"
    return str(value) if isinstance(value, str) else json.dumps(value)


def _parse_line(line: str, answer_type: Any) -> Any:
    """Returns the line as a value of the type, or the line if it is none."""
    if answer_type is bool:
        lowered = line.lower()
        return True if lowered in _YES else False if lowered in _NO else line
    if answer_type in (int, float):
        try:
            return answer_type(line)
        except ValueError:
            return line
    if answer_type == tuple[str, ...]:
        return line.replace(",", " ").split()
    return line
