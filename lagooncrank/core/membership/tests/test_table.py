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


def delta_to_n2(
    local: membership.MembershipTable, now_ms: int
) -> membership.AnnouncementDelta:
    delta = local.delta_for(model.NodeId("n2"), now_ms)
    assert delta is not None
    return delta


def test_lease_expires() -> None:
    local = table()
    assert local.record_announcement(announcement(), now_ms=0) is None
    assert local.find(SERVER, now_ms=999) is not None
    assert local.find(SERVER, now_ms=1_000) is None
    assert not local.live_members(now_ms=1_000)


def test_forwarding_does_not_prolong_lease() -> None:
    local, remote = table("n1"), table("n2")
    local.record_announcement(announcement(), now_ms=100)
    remote.merge(delta_to_n2(local, now_ms=700), now_ms=5_000)
    assert remote.find(SERVER, now_ms=5_399) is not None
    assert remote.find(SERVER, now_ms=5_400) is None


def test_earlier_incarnation_is_refused() -> None:
    local = table()
    local.record_announcement(announcement(incarnation=2), now_ms=0)
    refusal = local.record_announcement(announcement(incarnation=1), now_ms=1)
    assert refusal is not None
    assert refusal.code is results.ResultCode.OLD_INCARNATION


def test_delayed_older_announcement_is_ignored() -> None:
    local = table()
    local.record_announcement(announcement(sequence=2), now_ms=0)
    local.record_announcement(announcement(sequence=1), now_ms=900)
    assert local.find(SERVER, now_ms=1_000) is None


def test_delta_contains_only_unsent_announcements_received_here() -> None:
    local, remote = table("n1"), table("n2")
    local.record_announcement(announcement(), now_ms=0)
    remote.merge(delta_to_n2(local, now_ms=0), now_ms=0)
    assert local.delta_for(model.NodeId("n2"), now_ms=1) is None
    assert remote.delta_for(model.NodeId("n1"), now_ms=1) is None
    local.reset_peer(model.NodeId("n2"))
    aged = membership.AgedAnnouncement(announcement(), age_ms=2)
    assert delta_to_n2(local, now_ms=2).announcements == (aged,)


def test_delayed_message_does_not_prolong_lease() -> None:
    local, remote = table("n1"), table("n2")
    local.record_announcement(announcement(1), now_ms=0)
    remote.merge(delta_to_n2(local, now_ms=0), now_ms=50)
    local.record_announcement(announcement(2), now_ms=500)
    remote.merge(delta_to_n2(local, now_ms=500), now_ms=1_500)
    assert remote.find(SERVER, now_ms=1_549) is not None
    assert remote.find(SERVER, now_ms=1_550) is None


def test_unchanged_announcement_is_forwarded_as_renewal() -> None:
    local, remote = table("n1"), table("n2")
    local.record_announcement(announcement(1), now_ms=0)
    remote.merge(delta_to_n2(local, now_ms=0), now_ms=0)
    load = model.LoadReport(running=3)
    local.record_announcement(
        announcement(2).with_changes(load=load), now_ms=500
    )
    delta = delta_to_n2(local, now_ms=500)
    assert not delta.announcements
    assert remote.merge(delta, now_ms=500)
    member = remote.find(SERVER, now_ms=1_499)
    assert member is not None
    assert member.announcement.load == load


def test_renewal_of_unknown_content_requires_full_delta() -> None:
    local, remote = table("n1"), table("n2")
    local.record_announcement(announcement(1), now_ms=0)
    remote.merge(delta_to_n2(local, now_ms=0), now_ms=0)
    leaving = model.BackendServerState.LEAVING
    local.record_announcement(
        announcement(2).with_changes(state=leaving), now_ms=1
    )
    delta_to_n2(local, now_ms=1)  # This delta is lost in transit.
    local.record_announcement(
        announcement(3).with_changes(state=leaving), now_ms=900
    )
    assert not remote.merge(delta_to_n2(local, now_ms=900), now_ms=900)
    assert remote.find(SERVER, now_ms=1_000) is None
    local.reset_peer(model.NodeId("n2"))
    assert remote.merge(delta_to_n2(local, now_ms=901), now_ms=901)
    member = remote.find(SERVER, now_ms=1_000)
    assert member is not None
    assert member.announcement.state is leaving


def test_server_announcing_to_two_entries_is_forwarded_as_renewal() -> None:
    local, remote = table("n1"), table("n2")
    for second in range(5):
        now_ms = second * 500
        local.record_announcement(announcement(second), now_ms)
        remote.merge(delta_to_n2(local, now_ms), now_ms)
        remote.record_announcement(announcement(second), now_ms)
        reply = remote.delta_for(model.NodeId("n1"), now_ms)
        assert reply is not None
        assert bool(reply.announcements) == (second == 0)
        assert local.merge(reply, now_ms)
