from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import membership

LEASES = model.LeaseRules(announcement_ms=1_000)
SERVER = model.BackendServerId("b1")


def announcement(sequence: int = 1, incarnation: int = 1) -> model.Announcement:
    return model.Announcement(
        backend_server_id=SERVER,
        address="127.0.0.1:9000",
        instance_id=model.InstanceId("i1"),
        failure_domain_id=model.FailureDomainId("fd1"),
        fabric_domain_id=model.FabricDomainId(""),
        kind=model.BackendServerKind.PLAIN_SERVICE,
        incarnation=incarnation,
        sequence=sequence,
    )


def table(node: str = "n1") -> membership.MembershipTable:
    return membership.MembershipTable(model.NodeId(node), 1, LEASES)


def told(
    here: membership.MembershipTable, now_ms: int
) -> membership.AnnouncementDelta:
    delta = here.delta_for(model.NodeId("n2"), now_ms)
    assert delta is not None
    return delta


def test_lease_ends() -> None:
    here = table()
    assert here.record_announcement(announcement(), now_ms=0) is None
    assert here.find(SERVER, now_ms=999) is not None
    assert here.find(SERVER, now_ms=1_000) is None
    assert not here.live_members(now_ms=1_000)


def test_word_passed_on_does_not_prolong_the_lease() -> None:
    here, there = table("n1"), table("n2")
    here.record_announcement(announcement(), now_ms=100)
    there.merge(told(here, now_ms=700), now_ms=5_000)
    assert there.find(SERVER, now_ms=5_399) is not None
    assert there.find(SERVER, now_ms=5_400) is None


def test_earlier_start_is_refused() -> None:
    here = table()
    here.record_announcement(announcement(incarnation=2), now_ms=0)
    refusal = here.record_announcement(announcement(incarnation=1), now_ms=1)
    assert refusal is not None
    assert refusal.code is results.ResultCode.OLD_INCARNATION


def test_late_duplicate_changes_nothing() -> None:
    here = table()
    here.record_announcement(announcement(sequence=2), now_ms=0)
    here.record_announcement(announcement(sequence=1), now_ms=900)
    assert here.find(SERVER, now_ms=1_000) is None


def test_delta_holds_only_what_is_new_and_heard_here() -> None:
    here, there = table("n1"), table("n2")
    here.record_announcement(announcement(), now_ms=0)
    there.merge(told(here, now_ms=0), now_ms=0)
    assert here.delta_for(model.NodeId("n2"), now_ms=1) is None
    assert there.delta_for(model.NodeId("n1"), now_ms=1) is None
    here.reset_peer(model.NodeId("n2"))
    aged = membership.AgedAnnouncement(announcement(), age_ms=2)
    assert told(here, now_ms=2).announcements == (aged,)


def test_message_held_up_does_not_prolong_the_lease() -> None:
    here, there = table("n1"), table("n2")
    here.record_announcement(announcement(1), now_ms=0)
    there.merge(told(here, now_ms=0), now_ms=50)
    here.record_announcement(announcement(2), now_ms=500)
    there.merge(told(here, now_ms=500), now_ms=1_500)
    assert there.find(SERVER, now_ms=1_549) is not None
    assert there.find(SERVER, now_ms=1_550) is None


def test_unchanged_announcement_is_passed_on_as_renewal() -> None:
    here, there = table("n1"), table("n2")
    here.record_announcement(announcement(1), now_ms=0)
    there.merge(told(here, now_ms=0), now_ms=0)
    load = model.LoadReport(running=3)
    here.record_announcement(
        announcement(2).with_changes(load=load), now_ms=500
    )
    delta = told(here, now_ms=500)
    assert not delta.announcements
    assert there.merge(delta, now_ms=500)
    member = there.find(SERVER, now_ms=1_499)
    assert member is not None
    assert member.announcement.load == load


def test_renewal_of_unknown_content_asks_for_everything() -> None:
    here, there = table("n1"), table("n2")
    here.record_announcement(announcement(1), now_ms=0)
    there.merge(told(here, now_ms=0), now_ms=0)
    leaving = model.BackendServerState.LEAVING
    here.record_announcement(
        announcement(2).with_changes(state=leaving), now_ms=1
    )
    told(here, now_ms=1)  # This delta is lost on the way.
    here.record_announcement(
        announcement(3).with_changes(state=leaving), now_ms=900
    )
    assert not there.merge(told(here, now_ms=900), now_ms=900)
    assert there.find(SERVER, now_ms=1_000) is None
    here.reset_peer(model.NodeId("n2"))
    assert there.merge(told(here, now_ms=901), now_ms=901)
    member = there.find(SERVER, now_ms=1_000)
    assert member is not None
    assert member.announcement.state is leaving


def test_server_that_announces_to_two_entries_stays_a_renewal() -> None:
    here, there = table("n1"), table("n2")
    for second in range(5):
        now_ms = second * 500
        here.record_announcement(announcement(second), now_ms)
        there.merge(told(here, now_ms), now_ms)
        there.record_announcement(announcement(second), now_ms)
        answer = there.delta_for(model.NodeId("n1"), now_ms)
        assert answer is not None
        assert bool(answer.announcements) == (second == 0)
        assert here.merge(answer, now_ms)
