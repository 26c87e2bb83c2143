"""Exit codes of the command-line tool."""

import enum

from lagooncrank import results


class ExitCode(enum.IntEnum):
    """Exit code of a command; OPERATIONS.md lists the codes."""

    meaning: str

    def __new__(cls, number: int, meaning: str) -> "ExitCode":
        """Creates a member from its number and meaning."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.meaning = meaning
        return member

    OK = 0, "Done."
    REFUSED = 1, "The system refused; the message names the result code."
    USAGE = 2, "Unknown command or option."
    INVALID_FILE = 3, "A file cannot be used; nothing was sent."
    CONFLICT = 4, "Another change came first, or the change id was used."
    UNREACHABLE = 5, "No entry could answer; nothing changed."
    NOT_IN_FORCE = 6, "Accepted, but not in force everywhere in time."
    OUTCOME_UNKNOWN = 7, "The answer was lost; run the same command again."
    UNAUTHENTICATED = 8, "The operator key is missing or unknown."
    DIFFERS = 9, "`diff` found differences."


_BY_RESULT = {
    results.ResultCode.INVALID_DECLARATIONS: ExitCode.INVALID_FILE,
    results.ResultCode.INVALID_SETTINGS: ExitCode.INVALID_FILE,
    results.ResultCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    results.ResultCode.CHANGE_ID_REUSED: ExitCode.CONFLICT,
    results.ResultCode.NO_QUORUM: ExitCode.UNREACHABLE,
    results.ResultCode.NOT_LEADER: ExitCode.UNREACHABLE,
    results.ResultCode.STOPPING: ExitCode.UNREACHABLE,
    results.ResultCode.CONNECT_FAILED: ExitCode.UNREACHABLE,
    results.ResultCode.NOT_IN_FORCE_YET: ExitCode.NOT_IN_FORCE,
    results.ResultCode.PROPOSAL_LOST: ExitCode.OUTCOME_UNKNOWN,
    results.ResultCode.UNAUTHENTICATED: ExitCode.UNAUTHENTICATED,
}


def exit_code_for(code: results.ResultCode) -> ExitCode:
    """Returns the exit code of a result code.

    >>> exit_code_for(results.ResultCode.REVISION_CONFLICT).name
    'CONFLICT'
    """
    if code is results.ResultCode.OK:
        return ExitCode.OK
    return _BY_RESULT.get(code, ExitCode.REFUSED)
