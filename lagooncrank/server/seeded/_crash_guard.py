"""Refuses requests that would crash backend servers."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import crashes
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _crash_evidence
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view

#: Events and duration from which on a run is sound: a crash comes when a server
#: begins to respond.
MIN_SOUND_EVENTS: Final = 3
MIN_SOUND_MS: Final = 300


class CrashGuard:
    """Collects evidence from an entry's runs, and checks requests by it."""

    def __init__(
        self,
        exchange: _crash_evidence.CrashEvidenceExchange,
        view: _fleet_view.FleetView,
        clock: clocks.Clock,
    ) -> None:
        self._evidence_exchange = exchange
        self._evidence = exchange.evidence
        self._view = view
        self._clock = clock
        #: When this entry may start the next trial run, by accused features.
        self._next_trial_ms: dict[frozenset[str], int] = {}

    def find_accusation(
        self, exchange: _exchange.Exchange
    ) -> crashes.Accusation | None:
        """Returns why a request must not run now; None if it may run."""
        if not self._evidence.accusations:
            self._next_trial_ms.clear()
            return None
        accusation = self._evidence.find(_features(exchange))
        if accusation is None or (exchange.is_trial and not exchange.tried):
            return None
        now_ms = self._clock.now_ms()
        if not exchange.tried and self._may_start_trial(accusation, now_ms):
            exchange.is_trial = True
            next_trial_ms = now_ms + crashes.TURN_MS
            self._next_trial_ms[accusation.features] = next_trial_ms
            return None
        self._evidence.record_use(accusation, now_ms)
        return accusation

    def is_accused(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether requests like this one crash backend servers."""
        return bool(self._evidence.accusations) and (
            self._evidence.find(_features(exchange)) is not None
        )

    def retry_after_ms(self, accusation: crashes.Accusation) -> int:
        """Returns the time until a request may run if the cause is gone."""
        trial_in_ms = crashes.trial_at_ms(accusation) - self._clock.now_ms()
        return max(trial_in_ms, crashes.TURN_MS)

    def may_repeat(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether a request that may have run may run again."""
        return not self._evidence.has_records or self._evidence.may_repeat(
            _features(exchange)
        )

    def record_lost(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
        *,
        has_begun: bool,
    ) -> None:
        """Records that the connection of a run broke.

        A group sends the head of a response when it begins a request, so only
        requests that had begun may have crashed it. A plain server may send
        the head with the complete response.
        """
        if not error.is_disconnect:
            return
        if not has_begun and target.group:
            return
        events = exchange.run_events if has_begun else 0
        if events >= MIN_SOUND_EVENTS:
            return
        self._evidence.record_crash(
            target.server_id,
            target.born_ms,
            _features(exchange),
            events,
            self._clock.now_ms(),
        )
        self._evidence_exchange.publish()

    def record_event(self, exchange: _exchange.Exchange) -> None:
        """Records that a response made progress."""
        run_ms = self._clock.now_ms() - exchange.run_began_ms
        if exchange.run_events >= MIN_SOUND_EVENTS and run_ms >= MIN_SOUND_MS:
            self.record_sound(exchange)

    def record_sound(self, exchange: _exchange.Exchange) -> None:
        """Records that a run is complete or has made progress."""
        if exchange.is_run_sound:
            return
        exchange.is_run_sound = True
        self._evidence.record_sound(_features(exchange), exchange.run_began_ms)

    def _may_start_trial(
        self, accusation: crashes.Accusation, now_ms: int
    ) -> bool:
        if now_ms < self._next_trial_ms.get(accusation.features, 0):
            return False
        position = self._view.entry_position(now_ms)
        return position is not None and crashes.is_trial_due(
            accusation, now_ms, position, self._view.entry_count
        )


def _features(exchange: _exchange.Exchange) -> tuple[str, ...]:
    whole = crashes.whole_request_feature(exchange.content_digest())
    return (*exchange.request_head.shared_parts, whole)
