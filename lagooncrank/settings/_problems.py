"""Problems in settings files and the exception that carries them."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import results

#: Maximum number of problems in the text of one exception.
MAX_SHOWN_PROBLEMS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a file, with the field that has it.

    >>> str(Problem("client_accounts[0].share", "is 0", line=7))
    'line 7: client_accounts[0].share: is 0'
    """

    #: Path such as "client_accounts[0].share"; empty for the whole file.
    field: str
    #: Description of the problem, the allowed values and the remedy.
    message: str
    #: Line number, from 1; None if unknown.
    line: int | None = None

    def __str__(self) -> str:
        line = f"line {self.line}" if self.line else ""
        return ": ".join(p for p in (line, self.field, self.message) if p)


class SettingsError(results.LagooncrankError):
    """A settings or declarations file is unreadable or invalid."""

    def __init__(
        self,
        code: results.ResultCode,
        source: str,
        problems: Sequence[Problem],
    ) -> None:
        self.source = source
        self.problems = tuple(problems)
        shown = [f"{source}: {p}" for p in problems[:MAX_SHOWN_PROBLEMS]]
        hidden = len(problems) - len(shown)
        if hidden:
            shown.append(f"{source}: and {hidden} more")
        super().__init__(results.Refusal(code, "\n".join(shown)))
