"""Problems of the answers to the questionnaire, with their fixes."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerProblem:
    """An invalid answer, or answers that contradict each other.

    >>> field = "models[0].replicas"
    >>> print(AnswerProblem((field,), "is 9; 8 fit", "ask for 8"))
    models[0].replicas: is 9; 8 fit. Fix: ask for 8.
    """

    #: Paths of the fields, such as "models[0].replicas".
    fields: tuple[str, ...]
    reason: str
    #: Changes to the answers; any one of them is enough.
    fix: str

    def __str__(self) -> str:
        names = ", ".join(self.fields)
        return f"{names}: {self.reason}. Fix: {self.fix}."


class InvalidAnswersError(results.LagooncrankError):
    """No configuration can be generated from the answers."""

    def __init__(self, source: str, problems: Sequence[AnswerProblem]) -> None:
        self.problems = tuple(problems)
        reason = "\n".join(f"{source}: {problem}" for problem in problems)
        code = results.ResultCode.INVALID_DECLARATIONS
        super().__init__(results.Refusal(code, reason))
