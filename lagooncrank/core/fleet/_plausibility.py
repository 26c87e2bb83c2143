"""Tells reports that cannot be of the server that they name.

Other writers may send reports too. One that a server cannot have sent names no
server, and must not hide what the server itself reports.
"""

from collections.abc import Container
import enum
from typing import Final

from lagooncrank import model

#: How far the clock of a server may be ahead of this node's. Clocks are set by
#: seconds; a start further ahead would hide the server's own reports as long.
MAX_START_AHEAD_MS: Final = 300_000


class ReportProblem(enum.StrEnum):
    """Why a report or deregistration cannot be of the server it names."""

    #: The adapter cannot decode it.
    UNREADABLE = "unreadable"
    START_IN_FUTURE = "start in the future"
    #: An engine does not turn into a plain server of its service.
    NOT_AN_ENGINE = "no engine any more"
    #: A server of a declared service does not turn into one of a service that
    #: nobody declared.
    UNDECLARED_SERVICE = "service not declared"


def find_problem(
    report: model.ServerReport,
    known: model.ServerReport | None,
    declared: Container[model.ServiceName] | None,
    wall_ms: int,
) -> ReportProblem | None:
    """Returns why a report cannot be of its server, or None if it can.

    Args:
        report: The report.
        known: Newest report of that server, if there is one.
        declared: Services of the newest document; None without a document.
        wall_ms: Wall-clock time of this node.
    """
    if is_in_future(report.born_ms, wall_ms):
        return ReportProblem.START_IN_FUTURE
    if known is None:
        return None
    if report.service == known.service:
        is_engine = bool(report.fabric_domain)
        was_engine = bool(known.fabric_domain)
        if was_engine and not is_engine:
            return ReportProblem.NOT_AN_ENGINE
        return None
    if declared is None or report.service in declared:
        return None
    if known.service in declared:
        return ReportProblem.UNDECLARED_SERVICE
    return None


def is_in_future(born_ms: int, wall_ms: int) -> bool:
    """Returns whether no process can have started at a Unix time yet."""
    return born_ms > wall_ms + MAX_START_AHEAD_MS
