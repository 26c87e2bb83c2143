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

    def _fields(self, kind: Any, place: str) -> dict[str, Any]:
        plain = {}
        for asked in _question.questions(kind):
            if asked.item_kind is None:
                plain[asked.name] = self._value(asked, place)
            elif asked.is_list:
                plain[asked.name] = self._items(asked, place)
            else:
                self._show(f"\n{asked.question.text}")
                plain[asked.name] = self._fields(asked.item_kind, place)
        return plain

    def _items(
        self, asked: _question.Asked, place: str
    ) -> list[dict[str, Any]]:
        self._show(f"\n{place}{asked.question.text}")
        count = self._count(f"{place}How many are they? ")
        return [
            self._fields(asked.item_kind, f"{place}{asked.name} {index + 1}: ")
            for index in range(count)
        ]

    def _count(self, prompt: str) -> int:
        while True:
            line = self._ask(prompt).strip()
            if line.isascii() and line.isdigit():
                return int(line)
            self._show("Give a whole number, 0 or more.")

    def _value(self, asked: _question.Asked, place: str) -> Any:
        prompt = f"{place}{asked.question.text}{_suffix(asked)} "
        while True:
            line = self._ask(prompt).strip()
            if not line and not asked.is_required:
                return asked.default
            plain = _plain(line, asked.kind)
            problems = list(settings.check_schema(plain, asked.kind))
            if not problems:
                return plain
            self._show(f"{line!r} {problems[0].message}")


def _suffix(asked: _question.Asked) -> str:
    if asked.is_required:
        return f" (such as {_shown(asked.question.example)})"
    return f" [{_shown(asked.default)}]"


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
