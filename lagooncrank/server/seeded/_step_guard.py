"""Keeps the parts of a repeated step apart: one that fails stops no other."""

from collections.abc import Callable
import traceback

from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log


class StepGuard:
    """Runs parts of a step and logs those that fail."""

    def __init__(self, log: _decision_log.DecisionLog) -> None:
        self._log = log
        #: Last problem of each part that fails, so that it is logged once.
        self._problems: dict[str, str] = {}

    def run(self, part: str, action: Callable[[], None]) -> None:
        """Runs a part; the next step runs it again if it fails.

        Any error is a fault of this software. It must not end the process:
        every leader would meet it again, and nothing else would be done.
        """
        try:
            action()
        except Exception as error:
            problem = _describe(error)
            if self._problems.get(part) != problem:
                self._problems[part] = problem
                self._log.write(
                    decisions.Event.STEP_FAILED, part=part, problem=problem
                )
        else:
            self._problems.pop(part, None)


def _describe(error: Exception) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{error!r} at {where}"
