"""Evidence about crashes that a node has collected or received.

Records are merged by their process and features, so that evidence may arrive
late, more than once and through several nodes. Each node derives the same
accusations from the same evidence.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.crashes import _accusations
from lagooncrank.core.crashes import _types

#: Time for which a record is retained after the crash, or after the last
#: request that was refused because of it.
RECORD_TTL_MS: Final = 60_000
#: Further records replace others, those behind accusations last.
MAX_RECORDS: Final = 64
#: Further features replace the ones that were sound the longest time ago.
MAX_SOUND_FEATURES: Final = 4_096
#: Interval at which the last use of a record is sent to other nodes.
RESEND_USE_MS: Final = 10_000
#: Crashes after which a request that has just lost its engine is not repeated.
MAX_CRASHES_BEFORE_REPEAT: Final = 1

_Key = tuple[model.BackendServerId, int, tuple[str, ...]]


@dataclasses.dataclass(slots=True)
class _Record:
    run: _accusations.LostRun
    #: Start of the node that saw the crash; empty if unknown.
    origin: str
    #: When the run broke off, on the clock of that node.
    origin_ms: int
    used_ms: int
    #: Last use that other nodes know; None if they do not know the record.
    sent_used_ms: int | None = None


class CrashEvidence:
    """Runs that broke off, and features of runs that made progress."""

    def __init__(self, origin: str = "") -> None:
        """Creates evidence without any records.

        Args:
            origin: Identifies this start of the node, and so its clock.
        """
        self._origin = origin
        #: Difference between this node's clock and that of each other one. As
        #: messages take time, the lowest value seen is the most accurate.
        self._offsets_ms: dict[str, int] = {}
        self._records: dict[_Key, _Record] = {}
        #: When the newest sound run with a feature began, oldest entry first.
        self._sound_ms: dict[str, int] = {}
        #: The same as far as other nodes know, for features of records.
        self._sent_sound_ms: dict[str, int] = {}
        #: Features of all records, with the times of their crashes.
        self._crashes_ms: dict[str, list[int]] = {}
        self._accusations: tuple[_accusations.Accusation, ...] = ()
        #: Increases when what follows from the evidence may have changed.
        self.version = 0

    @property
    def accusations(self) -> tuple[_accusations.Accusation, ...]:
        """Accusations that follow from the evidence."""
        return self._accusations

    @property
    def has_records(self) -> bool:
        """Whether any run broke off recently."""
        return bool(self._records)

    def record_crash(
        self,
        server_id: model.BackendServerId,
        born_ms: int,
        features: tuple[str, ...],
        events: int,
        now_ms: int,
    ) -> None:
        """Records a run that broke off."""
        record = _types.CrashRecord(
            server_id,
            born_ms,
            features,
            events,
            origin=self._origin,
            crashed_ms=now_ms,
        )
        self._add(record, now_ms)
        self._derive()
        self.version += 1

    def record_sound(self, features: Iterable[str], began_ms: int) -> None:
        """Records a run that made progress.

        Args:
            features: Features of the run.
            began_ms: When the run began.
        """
        clears = [self._add_sound(f, began_ms) for f in features]
        if any(clears):
            self._derive()
            self.version += 1

    def find(self, features: Iterable[str]) -> _accusations.Accusation | None:
        """Returns the accusation that a request matches, if any."""
        features = frozenset(features)
        return next((a for a in self._accusations if a.matches(features)), None)

    def record_use(
        self, accusation: _accusations.Accusation, now_ms: int
    ) -> None:
        """Records that a request was refused because of an accusation."""
        for record in self._records.values():
            if record.run.process in accusation.processes:
                record.used_ms = max(record.used_ms, now_ms)

    def may_repeat(self, features: Iterable[str]) -> bool:
        """Returns whether a request whose run has just broken off may repeat.

        While it is unclear whether the request caused the crash, each repeat
        may cost one more engine.
        """
        suspected = _accusations.find_accusations(
            self._runs(),
            self._sound_ms,
            MAX_CRASHES_BEFORE_REPEAT + 1,
        )
        features = frozenset(features)
        return not any(a.matches(features) for a in suspected)

    def evict_expired(self, now_ms: int) -> None:
        """Removes the records that were not used for a long time."""
        expired = [
            key
            for key, record in self._records.items()
            if now_ms - record.used_ms >= RECORD_TTL_MS
        ]
        for key in expired:
            del self._records[key]
        if expired:
            self._derive()
            self.version += 1

    def merge(
        self, batch: _types.EvidenceBatch, now_ms: int, *, is_relay: bool
    ) -> None:
        """Applies evidence of another node.

        Args:
            batch: The evidence.
            now_ms: Monotonic time in milliseconds.
            is_relay: Whether what is new is to be passed on.
        """
        has_news = False
        for record in batch.records:
            is_new = self._add(record, now_ms)
            has_news |= is_new
            known = self._records.get(_key(record))
            if known is not None and not (is_new and is_relay):
                known.sent_used_ms = max(
                    known.sent_used_ms or 0, now_ms - record.unused_ms
                )
        for sound in batch.sound:
            began_ms = now_ms - sound.age_ms
            has_news |= self._add_sound(sound.feature, began_ms)
            if not is_relay:
                self._record_sent_sound(sound.feature, began_ms)
        if batch.records or batch.sound:
            self._derive()
        self.version += has_news

    def batch(self, now_ms: int) -> _types.EvidenceBatch:
        """Returns all records, and what is known about their features."""
        return _types.EvidenceBatch(
            tuple(self._aged(r, now_ms) for r in self._records.values()),
            self._sound_features(self._crashes_ms, now_ms),
        )

    def pop_unsent(self, now_ms: int) -> _types.EvidenceBatch:
        """Returns the evidence that other nodes do not know yet.

        It counts as known to them from now on.
        """
        unsent = [r for r in self._records.values() if _is_unsent(r)]
        for record in unsent:
            record.sent_used_ms = record.used_ms
        sound = [f for f in self._crashes_ms if self._clears_more(f)]
        for feature in sound:
            self._record_sent_sound(feature, self._sound_ms[feature])
        return _types.EvidenceBatch(
            tuple(self._aged(r, now_ms) for r in unsent),
            self._sound_features(sound, now_ms),
        )

    def _aged(self, record: _Record, now_ms: int) -> _types.CrashRecord:
        run = self._located(record)
        server_id, born_ms = run.process
        return _types.CrashRecord(
            model.BackendServerId(server_id),
            born_ms,
            run.features,
            run.events,
            max(now_ms - run.crashed_ms, 0),
            max(now_ms - record.used_ms, 0),
            record.origin,
            record.origin_ms,
        )

    def _sound_features(
        self, features: Iterable[str], now_ms: int
    ) -> tuple[_types.SoundFeature, ...]:
        return tuple(
            _types.SoundFeature(f, max(now_ms - self._sound_ms[f], 0))
            for f in sorted(features)
            if f in self._sound_ms
        )

    def _clears_more(self, feature: str) -> bool:
        """Returns whether others do not know that a feature is cleared."""
        return self._is_news(
            feature,
            self._sent_sound_ms.get(feature),
            self._sound_ms.get(feature),
        )

    def _is_news(
        self, feature: str, old_ms: int | None, new_ms: int | None
    ) -> bool:
        """Returns whether a later sound run clears more crashes."""
        return any(
            _accusations.clears(new_ms, crashed_ms)
            and not _accusations.clears(old_ms, crashed_ms)
            for crashed_ms in self._crashes_ms.get(feature, ())
        )

    def _record_sent_sound(self, feature: str, began_ms: int) -> None:
        known_ms = self._sent_sound_ms.get(feature, began_ms)
        self._sent_sound_ms[feature] = max(known_ms, began_ms)

    def _add(self, record: _types.CrashRecord, now_ms: int) -> bool:
        self._update_offset(record, now_ms)
        used_ms = now_ms - record.unused_ms
        if now_ms - used_ms >= RECORD_TTL_MS:
            return False
        known = self._records.get(_key(record))
        if known is not None:
            known.used_ms = max(known.used_ms, used_ms)
            return False
        run = _accusations.LostRun(
            (record.server_id, record.born_ms),
            record.features,
            record.events,
            now_ms - record.age_ms,
        )
        self._records[_key(record)] = _Record(
            run, record.origin, record.crashed_ms, used_ms
        )
        if len(self._records) > MAX_RECORDS:
            del self._records[self._least_useful()]
        return True

    def _update_offset(self, record: _types.CrashRecord, now_ms: int) -> None:
        if record.origin:
            offset_ms = now_ms - record.age_ms - record.crashed_ms
            known_ms = self._offsets_ms.get(record.origin, offset_ms)
            self._offsets_ms[record.origin] = min(known_ms, offset_ms)

    def _runs(self) -> list[_accusations.LostRun]:
        """Returns the runs of all records, with times on this node's clock.

        Nodes that received records with different delays would otherwise
        differ in which crashes were at the same time.
        """
        return [self._located(r) for r in self._records.values()]

    def _located(self, record: _Record) -> _accusations.LostRun:
        offset_ms = self._offsets_ms.get(record.origin)
        if offset_ms is None:
            return record.run
        crashed_ms = record.origin_ms + offset_ms
        return dataclasses.replace(record.run, crashed_ms=crashed_ms)

    def _least_useful(self) -> _Key:
        """Returns the record that says least about what crashes servers.

        One of many runs that a process lost is rarely the cause.
        """
        runs = collections.Counter(
            r.run.process for r in self._records.values()
        )

        def rank(key: _Key) -> tuple[bool, int, int]:
            record = self._records[key]
            is_accusing = self.find(record.run.features) is not None
            return is_accusing, -runs[record.run.process], record.used_ms

        return min(self._records, key=rank)

    def _add_sound(self, feature: str, began_ms: int) -> bool:
        """Adds a sound run; returns whether it clears any record."""
        known_ms = self._sound_ms.get(feature)
        if known_ms is not None and known_ms >= began_ms:
            return False
        self._sound_ms.pop(feature, None)
        self._sound_ms[feature] = began_ms
        if len(self._sound_ms) > MAX_SOUND_FEATURES:
            del self._sound_ms[next(iter(self._sound_ms))]
        return self._is_news(feature, known_ms, began_ms)

    def _derive(self) -> None:
        origins = {r.origin for r in self._records.values()}
        self._offsets_ms = {
            origin: offset_ms
            for origin, offset_ms in self._offsets_ms.items()
            if origin in origins
        }
        runs = self._runs()
        self._crashes_ms = {}
        for run in runs:
            for feature in run.features:
                times = self._crashes_ms.setdefault(feature, [])
                times.append(run.crashed_ms)
        self._sent_sound_ms = {
            f: sent_ms
            for f, sent_ms in self._sent_sound_ms.items()
            if f in self._crashes_ms
        }
        self._accusations = _accusations.find_accusations(runs, self._sound_ms)


def _key(record: _types.CrashRecord) -> _Key:
    return record.server_id, record.born_ms, record.features


def _is_unsent(record: _Record) -> bool:
    sent_ms = record.sent_used_ms
    return sent_ms is None or record.used_ms - sent_ms > RESEND_USE_MS
