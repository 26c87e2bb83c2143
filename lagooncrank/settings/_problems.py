"""Faults of settings files and the error that carries them."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import results

#: Faults that one error spells out.
MAX_SHOWN_PROBLEMS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a file, with the field it stands in.

    >>> str(Problem("client_accounts[0].share", "is 0", line=7))
    'line 7: client_accounts[0].share: is 0'
    """

    #: Such as "client_accounts[0].share"; empty for the file as a whole.
    field: str
    #: What is wrong, what is allowed and what to do.
    message: str
    #: Line of the file, from 1; None where it is not known.
    line: int | None = None

    def __str__(self) -> str:
        line = f"line {self.line}" if self.line else ""
        return ": ".join(p for p in (line, self.field, self.message) if p)


class SettingsError(results.LagooncrankError):
    """A settings or declarations file that cannot be used."""

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
