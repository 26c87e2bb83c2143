"""Asks the questions one after another."""

from collections.abc import Callable
import json
from typing import Any

import msgspec

from lagooncrank import settings
from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _question

#: Asks one question and returns the typed line.
Ask = Callable[[str], str]
#: Shows one line.
Show = Callable[[str], None]

_YES = frozenset({"y", "yes", "true"})
_NO = frozenset({"n", "no", "false"})


class Interview:
    """Fills in the answers by questions and typed lines.

    A wrong line is explained and asked again.
    """

    def __init__(self, ask: Ask, show: Show) -> None:
        self._ask = ask
        self._show = show

    def answers(self) -> _answers.Answers:
        """Returns the answers once every question was answered."""
        plain = self._fields(_answers.Answers, "")
        return msgspec.convert(plain, _answers.Answers)

    def _fields(self, answer_type: Any, place: str) -> dict[str, Any]:
        plain = {}
        for answer_field in _question.answer_fields(answer_type):
            if answer_field.item_type is None:
                plain[answer_field.name] = self._value(answer_field, place)
            elif answer_field.is_list:
                plain[answer_field.name] = self._items(answer_field, place)
            else:
                self._show(f"\n{answer_field.question.text}")
                plain[answer_field.name] = self._fields(
                    answer_field.item_type, place
                )
        return plain

    def _items(
        self, answer_field: _question.AnswerField, place: str
    ) -> list[dict[str, Any]]:
        self._show(f"\n{place}{answer_field.question.text}")
        count = self._count(f"{place}How many are they? ")
        return [
            self._fields(
                answer_field.item_type,
                f"{place}{answer_field.name} {index + 1}: ",
            )
            for index in range(count)
        ]

    def _count(self, prompt: str) -> int:
        while True:
            line = self._ask(prompt).strip()
            if line.isascii() and line.isdigit():
                return int(line)
            self._show("Give a whole number, 0 or more.")

    def _value(self, answer_field: _question.AnswerField, place: str) -> Any:
        prompt = f"{place}{answer_field.question.text}{_suffix(answer_field)} "
        while True:
            line = self._ask(prompt).strip()
            if not line and not answer_field.is_required:
                return answer_field.default
            plain = _plain(line, answer_field.answer_type)
            problems = list(
                settings.check_shape(plain, answer_field.answer_type)
            )
            if not problems:
                return plain
            self._show(f"{line!r} {problems[0].message}")


def _suffix(answer_field: _question.AnswerField) -> str:
    if answer_field.is_required:
        return f" (such as {_shown(answer_field.question.example)})"
    return f" [{_shown(answer_field.default)}]"


def _shown(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        return ", ".join(str(item) for item in value) or "none"
    return str(value) if isinstance(value, str) else json.dumps(value)


def _plain(line: str, hint: Any) -> Any:
    """Returns the typed line as a value of the type, or as it is."""
    if hint is bool:
        lowered = line.lower()
        return True if lowered in _YES else False if lowered in _NO else line
    if hint in (int, float):
        try:
            return hint(line)
        except ValueError:
            return line
    if hint == tuple[str, ...]:
        return line.replace(",", " ").split()
    return line
