"""Answers that cannot all hold, and what would do."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class Clash:
    """Answers that rule each other out.

    >>> print(Clash(("models[0].replicas",), "is 9; 8 fit", "ask for 8"))
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


class ClashError(results.LagooncrankError):
    """Answers from which no configuration can be made."""

    def __init__(self, source: str, clashes: Sequence[Clash]) -> None:
        self.clashes = tuple(clashes)
        reason = "\n".join(f"{source}: {clash}" for clash in clashes)
        code = results.ResultCode.INVALID_DECLARATIONS
        super().__init__(results.Refusal(code, reason))
