"""Questions that stand beside the fields of the answers."""

from collections.abc import Iterator
import dataclasses
import typing
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A question in the words of the people who answer."""

    text: str
    #: Answer shown in the blank form.
    example: Any


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerField:
    """One field of the answers with its question."""

    name: str
    #: Type of the answer, without annotations.
    answer_type: Any
    question: Question
    #: Answer taken when none is given, or `dataclasses.MISSING`.
    default: Any

    @property
    def is_required(self) -> bool:
        """Whether the question has to be answered."""
        return self.default is dataclasses.MISSING

    @property
    def item_type(self) -> Any:
        """Data class of the answer or of its list items, or None."""
        arguments = typing.get_args(self.answer_type)
        answer_type = arguments[0] if arguments else self.answer_type
        return answer_type if dataclasses.is_dataclass(answer_type) else None

    @property
    def is_list(self) -> bool:
        """Whether the answer is a list."""
        return typing.get_origin(self.answer_type) is tuple


def answer_fields(answer_type: Any) -> Iterator[AnswerField]:
    """Yields the questions of a data class in the order of its fields."""
    annotated = typing.get_type_hints(answer_type, include_extras=True)
    for field in dataclasses.fields(answer_type):
        plain, question = typing.get_args(annotated[field.name])
        yield AnswerField(field.name, plain, question, field.default)
