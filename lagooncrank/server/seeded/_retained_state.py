"""What a control node remembers over a restart, beside the replicated log.

Which processes leave, what crashes backend servers, and how many entries there
are is known to many nodes, but only in memory. If all nodes restart at the
same time, it comes from the disks of the control nodes. Each of them saves
what it knows itself, and passes it on as before.
"""

import asyncio
from concurrent import futures
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

FILE_NAME: Final = "retained"
CHECK_INTERVAL_S: Final = 0.1
#: Time after a failed write until the next one.
RETRY_INTERVAL_S: Final = 1.0
#: Interval at which evidence is saved again, as it ages.
REPEAT_INTERVAL_MS: Final = 10_000
#: Longest wait until a departure is saved: its sender waits a second.
MAX_SAVE_S: Final = 0.7
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
    """What was known at some moment; each field only increases."""

    departures: int = 0
    evidence: int = 0


class RetainedState(mode.Service):  # type: ignore[misc, unused-ignore]
    """Restores what was saved, and saves what changes.

    A disk that is slow does not hold up the node, and one that fails only
    costs what is saved here.
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
        self._writer = futures.ThreadPoolExecutor(max_workers=1)
        self._write_in_progress: asyncio.Task[bool] | None = None
        self._restore()
        self._saved = self._version()
        self._saved_entries = view.sharing_entries.count(clock.now_ms())
        self._saved_ms = clock.now_ms()

    async def save(self) -> bool:
        """Saves what is known now.

        Returns:
            Whether it is on the disk; False if the disk failed or is slow.
        """
        try:
            async with asyncio.timeout(MAX_SAVE_S):
                return await self._save(self._version())
        except TimeoutError:
            self._log_failure(f"not saved within {MAX_SAVE_S} s")
            return False

    async def on_stop(self) -> None:
        """Lets the write in progress end, without waiting for it."""
        self._writer.shutdown(wait=False)

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _save_periodically(self) -> None:
        now_ms = self._clock.now_ms()
        is_aging = self._evidence.has_records
        is_due = is_aging and now_ms - self._saved_ms >= REPEAT_INTERVAL_MS
        entries = self._view.sharing_entries.count(now_ms)
        is_changed = not self._includes(self._version())
        must_save = is_changed or is_due or entries != self._saved_entries
        if must_save and not await self._start_write():
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _save(self, wanted: _Version) -> bool:
        """Saves at least what was known at some moment."""
        while not self._includes(wanted):
            if not await self._start_write():
                return False
        return True

    async def _start_write(self) -> bool:
        """Waits for the write in progress, or for a new one if there is none.

        A write goes on if the wait for it is cancelled.
        """
        task = self._write_in_progress
        if task is None or task.done():
            task = asyncio.create_task(self._write())
            self._write_in_progress = task
        return await asyncio.shield(task)

    def _version(self) -> _Version:
        return _Version(
            self._view.table.departures.version, self._evidence.version
        )

    def _includes(self, version: _Version) -> bool:
        return (
            self._saved.departures >= version.departures
            and self._saved.evidence >= version.evidence
        )

    async def _write(self) -> bool:
        """Writes the file; returns whether it is on the disk."""
        version = self._version()
        now_ms = self._clock.now_ms()
        entries = self._view.sharing_entries.count(now_ms)
        content = RetainedContent(
            self._clock.wall_ms(),
            self._view.table.departures.all(),
            self._evidence.batch(now_ms),
            entries or 0,
        )
        try:
            await asyncio.get_running_loop().run_in_executor(
                self._writer, self._file.write, model.to_cbor(content)
            )
        except storage.WriteError as error:
            self._log_failure(str(error))
            return False
        self._saved = version
        self._saved_entries = entries
        self._saved_ms = now_ms
        return True

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
