"""Answers that cannot all hold, and what would do."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerProblem:
    """Answers that rule each other out.

    >>> field = "models[0].replicas"
    >>> print(AnswerProblem((field,), "is 9; 8 fit", "ask for 8"))
    models[0].replicas: is 9; 8 fit. What would do: ask for 8.
    """

    #: Fields of the answers, such as "models[0].replicas".
    answers: tuple[str, ...]
    reason: str
    #: Changes of which one is enough.
    remedy: str

    def __str__(self) -> str:
        names = " against ".join(self.answers)
        return f"{names}: {self.reason}. What would do: {self.remedy}."


class InvalidAnswersError(results.LagooncrankError):
    """Answers from which no configuration can be made."""

    def __init__(self, source: str, problems: Sequence[AnswerProblem]) -> None:
        self.problems = tuple(problems)
        reason = "\n".join(f"{source}: {problem}" for problem in problems)
        code = results.ResultCode.INVALID_DECLARATIONS
        super().__init__(results.Refusal(code, reason))
