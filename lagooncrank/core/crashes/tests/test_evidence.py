"""Evidence is merged at all nodes, bounded, and expires."""

import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import crashes
from lagooncrank.core.crashes import _accusations
from lagooncrank.core.crashes import _trials

BAD = frozenset({"bad"})


def server(number: int) -> model.BackendServerId:
    return model.BackendServerId(f"e{number}")


def evidence_of_crashes(count: int) -> crashes.CrashEvidence:
    """Returns evidence of crashes a second apart, the first at 10 s."""
    evidence = crashes.CrashEvidence()
    for number in range(count):
        now_ms = 10_000 + 1_000 * number
        features = ("bad", f"r{number}")
        evidence.record_crash(server(number), 1, features, 0, now_ms)
    return evidence


def test_entries_that_saw_one_crash_each_accuse_together() -> None:
    entries = [crashes.CrashEvidence() for _ in range(3)]
    control = crashes.CrashEvidence()
    for number, entry in enumerate(entries):
        now_ms = 10_000 + 500 * number
        features = ("common", "bad", f"r{number}")
        entry.record_crash(server(number), 1, features, 0, now_ms)
        assert not entry.accusations
        batch = entry.pop_unsent(now_ms)
        control.merge(batch, now_ms + 10, is_relay=True)
    for entry in entries:
        entry.merge(control.batch(11_100), 11_110, is_relay=False)
        assert entry.find(["common", "bad", "new"])
        assert not entry.find(["common", "new"])
        assert not entry.find(["bad", "new"])
    entries[0].record_sound(["common"], 11_200)
    control.merge(entries[0].pop_unsent(11_300), 11_310, is_relay=True)
    entries[1].merge(control.pop_unsent(11_400), 11_410, is_relay=False)
    assert entries[1].find(["bad", "new"])


def test_merge_is_idempotent() -> None:
    source = evidence_of_crashes(3)
    target = crashes.CrashEvidence()
    batch = source.batch(12_500)
    target.merge(batch, 12_500, is_relay=False)
    assert target.pop_unsent(12_520) == crashes.EvidenceBatch()
    assert [a.features for a in target.accusations] == [BAD]
    target.merge(batch, 12_500, is_relay=False)
    assert target.batch(12_500) == batch


def test_control_node_relays_evidence_once() -> None:
    source = evidence_of_crashes(3)
    source.record_sound(["r0"], 12_400)
    batch = source.batch(12_500)
    control = crashes.CrashEvidence()
    control.merge(batch, 12_500, is_relay=True)
    assert control.pop_unsent(12_500) == batch
    control.merge(batch, 12_500, is_relay=True)
    assert control.pop_unsent(12_600) == crashes.EvidenceBatch()


def test_evidence_is_sent_once_and_a_sound_run_that_clears_it_once() -> None:
    evidence = evidence_of_crashes(1)
    assert len(evidence.pop_unsent(10_000).records) == 1
    assert evidence.pop_unsent(10_100) == crashes.EvidenceBatch()
    evidence.record_sound(["other"], 10_100)
    assert evidence.pop_unsent(10_200) == crashes.EvidenceBatch()
    evidence.record_sound(["bad"], 10_200)
    sent = evidence.pop_unsent(10_300)
    assert sent.sound == (crashes.SoundFeature("bad", 100),)
    evidence.record_sound(["bad"], 10_400)
    assert evidence.pop_unsent(10_500) == crashes.EvidenceBatch()


# Guards against: nodes that receive the same records with different delays
# disagree on which crashes were at the same time, and so on what is accused.
@pytest.mark.parametrize("delays_ms", [(30, 30, 1), (1, 30, 2), (400, 5, 90)])
def test_nodes_accuse_alike_whatever_the_delays(
    delays_ms: tuple[int, int, int],
) -> None:
    entry = crashes.CrashEvidence("n1@1")
    control = crashes.CrashEvidence("c1@1")
    interval_ms = crashes.MIN_CRASH_INTERVAL_MS
    now_ms = 10_000
    for number, delay_ms in enumerate(delays_ms):
        now_ms += interval_ms
        features = ("bad", f"r{number}")
        entry.record_crash(server(number), 1, features, 0, now_ms)
        batch = entry.pop_unsent(now_ms)
        # The clocks of two nodes differ by any amount.
        control.merge(batch, now_ms + 777_000 + delay_ms, is_relay=True)
    assert entry.find(["bad"])
    assert control.find(["bad"])
    follower = crashes.CrashEvidence("n2@1")
    follower.merge(control.batch(790_000), 90_000, is_relay=False)
    assert follower.find(["bad"])


def test_restarted_entry_learns_the_accusation() -> None:
    control = evidence_of_crashes(3)
    restarted = crashes.CrashEvidence()
    assert not restarted.find(["bad"])
    restarted.merge(control.batch(20_000), 20_005, is_relay=False)
    assert restarted.find(["bad"])


def test_accusation_lasts_while_requests_come_and_expires_after_them() -> None:
    evidence = evidence_of_crashes(3)
    idle = crashes.CrashEvidence()
    for now_ms in range(13_000, 200_000, 1_000):
        accusation = evidence.find(["bad"])
        assert accusation
        evidence.record_use(accusation, now_ms)
        idle.merge(evidence.pop_unsent(now_ms), now_ms, is_relay=False)
        evidence.evict_expired(now_ms)
        idle.evict_expired(now_ms)
    assert idle.find(["bad"])
    evidence.evict_expired(199_000 + crashes.RECORD_TTL_MS)
    assert not evidence.accusations
    assert not evidence.has_records


def test_repeat_of_a_request_is_refused_after_its_second_crash() -> None:
    evidence = evidence_of_crashes(1)
    features = ("bad", "r0")
    assert evidence.may_repeat(features)
    evidence.record_crash(server(7), 1, features, 0, 11_000)
    assert not evidence.may_repeat(features)
    assert evidence.may_repeat(("other", "r1"))


def test_memory_is_bounded_and_used_evidence_stays() -> None:
    evidence = evidence_of_crashes(3)
    accusation = evidence.find(["bad"])
    assert accusation
    for number in range(1_000):
        now_ms = 14_000 + number
        evidence.record_use(accusation, now_ms)
        features = (f"p{number}",)
        evidence.record_crash(server(number + 10), 1, features, 0, now_ms)
    assert len(evidence.batch(15_000).records) == crashes.MAX_RECORDS
    assert evidence.find(["bad"])
    for number in range(2 * crashes.MAX_SOUND_FEATURES):
        evidence.record_sound([f"s{number}"], 15_000 + number)
    assert len(evidence._sound_ms) <= crashes.MAX_SOUND_FEATURES


# Guards against: the first crash of a request is forgotten in a larger failure.
def test_records_of_a_failure_with_many_runs_are_replaced_first() -> None:
    evidence = evidence_of_crashes(2)
    for number in range(2 * crashes.MAX_RECORDS):
        now_ms = 12_000 + number
        features = ("common", f"r{number}")
        evidence.record_crash(server(90), 1, features, 0, now_ms)
    evidence.record_crash(server(91), 1, ("bad", "r92"), 0, 12_500)
    assert evidence.find(["bad"])


def test_only_records_behind_an_accusation_are_bounded_too() -> None:
    evidence = crashes.CrashEvidence()
    for number in range(2 * crashes.MAX_RECORDS):
        now_ms = 10_000 + 1_000 * number
        evidence.record_crash(server(number), 1, ("bad",), 0, now_ms)
    assert len(evidence.batch(200_000).records) == crashes.MAX_RECORDS
    assert evidence.find(["bad"])


@pytest.mark.parametrize(
    ("count", "interval_ms"),
    [(3, 15_000), (4, 90_000), (5, 540_000), (6, 600_000), (60, 600_000)],
)
def test_each_crash_prolongs_the_time_to_the_next_trial(
    count: int, interval_ms: int
) -> None:
    accusation = _accusations.Accusation(BAD, frozenset(), count, 1_000)
    assert crashes.trial_at_ms(accusation) == 1_000 + interval_ms


def test_entries_take_turns_at_trial_runs() -> None:
    accusation = _accusations.Accusation(BAD, frozenset(), 3, 1_000)
    due_ms = crashes.trial_at_ms(accusation)
    turns = []
    for now_ms in range(due_ms - 1_000, due_ms + 9 * _trials.TURN_MS, 100):
        chosen = [
            position
            for position in range(9)
            if crashes.is_trial_due(accusation, now_ms, position, 9)
        ]
        assert len(chosen) <= 1
        assert not chosen or now_ms >= due_ms
        turns += chosen
    assert set(turns) == set(range(9))


def test_sound_trial_run_clears_the_part() -> None:
    evidence = evidence_of_crashes(3)
    evidence.record_sound(["bad", "trial"], 30_000)
    assert not evidence.find(["bad"])


def test_old_record_of_another_node_is_not_added() -> None:
    record = evidence_of_crashes(1).batch(10_000).records[0]
    old = dataclasses.replace(record, unused_ms=crashes.RECORD_TTL_MS)
    evidence = crashes.CrashEvidence()
    batch = crashes.EvidenceBatch((old,))
    evidence.merge(batch, 100_000, is_relay=False)
    assert not evidence.has_records
