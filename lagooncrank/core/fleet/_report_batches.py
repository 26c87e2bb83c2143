"""Reports of backend servers, as nodes pass them on to each other."""

import dataclasses

from lagooncrank import model
from lagooncrank.core.fleet import _challenges


@dataclasses.dataclass(frozen=True, slots=True)
class AgedReport:
    """A report and the time since the system received it."""

    report: model.ServerReport
    age_ms: int
    #: Sequence number of the first report with this content, as the sender
    #: knows it.
    content_sequence: int = 0
    #: Version of a report of another writer that this one takes the place of,
    #: although it is older.
    supersedes: _challenges.ReportVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A report that differs from the previous one only by its sequence number.

    It is sent without its content.
    """

    server_id: model.BackendServerId
    born_ms: int
    sequence: int
    age_ms: int
    #: Sequence number of the first report with the renewed content.
    content_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsWanted:
    """Request for reports, sent after renewals of unknown content."""

    server_ids: tuple[model.BackendServerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBatch:
    """Batch of reports that nodes pass on to each other."""

    reports: tuple[AgedReport, ...]
    renewals: tuple[Renewal, ...] = ()
