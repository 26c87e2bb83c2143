"""What a control node remembers over a restart, beside the replicated log.

Which processes leave, what crashes backend servers, and how many entries there
are is known to many nodes, but only in memory. If all nodes restart at the
same time, it comes from the disks of the control nodes. Each of them saves
what it knows itself, and passes it on as before.

Like the log, the file is written on the event loop, so it is written only when
it must be.
"""

import dataclasses
from typing import Final

import cbor2
import mode
import msgspec

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import crashes
from lagooncrank.core import fleet
from lagooncrank.server import storage
from lagooncrank.server.seeded import _crash_evidence
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _step_guard

FILE_NAME: Final = "retained"
CHECK_INTERVAL_S: Final = 0.1
#: Time after a write until evidence, or what a failed write held, is written.
WRITE_INTERVAL_MS: Final = 1_000
#: Interval at which evidence is saved again, as it ages.
REPEAT_INTERVAL_MS: Final = 10_000
#: Most time that counts as passed since the last save. The wall clock may have
#: been set meanwhile, and evidence must outlast that.
MAX_DOWNTIME_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedContent:
    """Content of the file."""

    saved_wall_ms: int
    departures: tuple[fleet.Departure, ...] = ()
    evidence: crashes.EvidenceBatch = dataclasses.field(
        default_factory=crashes.EvidenceBatch
    )
    #: Number of entries; 0 if it was not known.
    sharing_entries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """What was known at some moment."""

    #: Both only increase.
    departures: int
    evidence: int
    #: Number of entries; None while it is not known.
    entries: int | None


class RetainedState(mode.Service):  # type: ignore[misc, unused-ignore]
    """Restores what was saved, and saves what changes.

    A disk that fails only costs what is saved here.
    """

    def __init__(
        self,
        file: storage.SideFile,
        view: _fleet_view.FleetView,
        crash_evidence: _crash_evidence.CrashEvidenceExchange,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        """Restores what was saved before the restart."""
        super().__init__()
        self._file = file
        self._view = view
        self._evidence = crash_evidence.evidence
        self._clock = clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self._restore()
        self._saved = self._version()
        #: When the last write ended.
        self._written_ms = clock.now_ms()
        #: Whether it failed.
        self._has_failed = False

    def save_departures(self) -> bool:
        """Saves which processes leave, unless it is saved.

        Returns:
            Whether it is on the disk.
        """
        is_saved = self._saved.departures == self._view.table.departures.version
        return is_saved or self._write()

    def save_if_due(self) -> None:
        """Saves what is due by now."""
        if self._is_due(self._clock.now_ms() - self._written_ms):
            self._write()

    def _is_due(self, since_write_ms: int) -> bool:
        version = self._version()
        if version.departures != self._saved.departures:
            return not self._has_failed or since_write_ms >= WRITE_INTERVAL_MS
        if version != self._saved:
            return since_write_ms >= WRITE_INTERVAL_MS
        return (
            self._evidence.has_records and since_write_ms >= REPEAT_INTERVAL_MS
        )

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _save_periodically(self) -> None:
        self._guard.run("retained state", self.save_if_due)

    def _version(self) -> _Version:
        return _Version(
            self._view.table.departures.version,
            self._evidence.version,
            self._view.sharing_entries.count(self._clock.now_ms()),
        )

    def _write(self) -> bool:
        """Writes the file; returns whether it is on the disk."""
        version = self._version()
        content = RetainedContent(
            self._clock.wall_ms(),
            self._view.table.departures.all(),
            self._evidence.batch(self._clock.now_ms()),
            version.entries or 0,
        )
        try:
            self._file.write(model.to_cbor(content))
            self._has_failed = False
            self._saved = version
        except storage.WriteError as error:
            self._has_failed = True
            self._log_failure(str(error))
        self._written_ms = self._clock.now_ms()
        return not self._has_failed

    def _restore(self) -> None:
        content = self._read()
        if content is None:
            return
        now_ms = self._clock.now_ms()
        self._view.table.departures.record_all(content.departures)
        self._view.sharing_entries.remember(content.sharing_entries, now_ms)
        passed_ms = self._clock.wall_ms() - content.saved_wall_ms
        downtime_ms = min(max(passed_ms, 0), MAX_DOWNTIME_MS)
        self._evidence.merge(
            crashes.aged(content.evidence, downtime_ms), now_ms, is_relay=True
        )

    def _read(self) -> RetainedContent | None:
        try:
            data = self._file.read()
            if data is not None:
                return model.from_cbor(data, RetainedContent)
        except (
            storage.StorageError,
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
        ) as error:
            self._log_failure(str(error))
        return None

    def _log_failure(self, problem: str) -> None:
        self._log.write(decisions.Event.RETAINED_FAILED, problem=problem)
