"""Keeps the parts of a node's work apart: one that fails stops no other."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import traceback
from typing import Final

import prometheus_client

from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log

_FAILURES: Final = prometheus_client.Counter(
    "lagooncrank_step_failures",
    "Errors in a part of this node's work that nothing else handles, by part.",
    ("part",),
)


class StepGuard:
    """Runs parts of a node's work and logs those that fail.

    Any error here is a fault of this software. It must not end the process:
    what caused it is often still there after a restart, or reaches every other
    node too, and nothing else would be done.
    """

    def __init__(self, log: _decision_log.DecisionLog) -> None:
        self._log = log
        #: Last problem of each part that fails, so that it is logged once.
        self._problems: dict[tuple[str, str], str] = {}

    def run(
        self, part: str, action: Callable[[], None], subject: str = ""
    ) -> None:
        """Runs a part of a repeated step; the next step runs it again.

        Args:
            part: What is done; one of few names, as metrics are kept by it.
            action: Does it.
            subject: What it is done for, such as the name of a service.
        """
        with self._contained(part, subject):
            action()

    async def watch(
        self, part: str, work: Awaitable[None], subject: str = ""
    ) -> None:
        """Awaits work of its own task, such as one order."""
        with self._contained(part, subject):
            await work

    @contextlib.contextmanager
    def _contained(self, part: str, subject: str) -> Iterator[None]:
        key = (part, subject)
        try:
            yield
        except Exception as error:
            _FAILURES.labels(part).inc()
            problem = _describe(error)
            if self._problems.get(key) != problem:
                self._problems[key] = problem
                self._log.write(
                    decisions.Event.STEP_FAILED,
                    part=part,
                    subject=subject,
                    problem=problem,
                )
        else:
            self._problems.pop(key, None)


def _describe(error: Exception) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{error!r} at {where}"
