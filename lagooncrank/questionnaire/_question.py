"""Questions that annotate the fields of the answer classes."""

from collections.abc import Iterator
import dataclasses
import typing
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A question in the terms of the people who answer it."""

    text: str
    #: Example answer in the blank form.
    example: Any


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerField:
    """A field of an answer class, with its question."""

    name: str
    #: Type of the answer, without the annotation.
    answer_type: Any
    question: Question
    #: Default answer, or `dataclasses.MISSING` if there is none.
    default: Any

    @property
    def is_required(self) -> bool:
        """Whether the question has to be answered."""
        return self.default is dataclasses.MISSING

    @property
    def item_type(self) -> Any:
        """Answer class of the answer or of its list items, or None."""
        arguments = typing.get_args(self.answer_type)
        item_type = arguments[0] if arguments else self.answer_type
        return item_type if dataclasses.is_dataclass(item_type) else None

    @property
    def is_list(self) -> bool:
        """Whether the answer is a list."""
        return typing.get_origin(self.answer_type) is tuple


def answer_fields(answer_class: Any) -> Iterator[AnswerField]:
    """Yields the fields of an answer class, in the order of declaration."""
    annotated = typing.get_type_hints(answer_class, include_extras=True)
    for field in dataclasses.fields(answer_class):
        answer_type, question = typing.get_args(annotated[field.name])
        yield AnswerField(field.name, answer_type, question, field.default)
