from lagooncrank import model
from lagooncrank.core import revisions

N1, N2, N3 = (model.NodeId(f"n{i}") for i in (1, 2, 3))


def test_lagging_nodes_have_last_revision_and_report_age() -> None:
    table = revisions.RevisionTable()
    table.record(revisions.RevisionReport(N1, 8), now_ms=100)
    table.record(revisions.RevisionReport(N2, 7), now_ms=200)
    status = table.rollout_status(8, [N1, N2, N3], now_ms=1_200)
    assert status.in_force == (N1,)
    assert status.lagging == (
        revisions.LaggingNode(N2, 7, 1_000),
        revisions.LaggingNode(N3, 0, None),
    )
    assert not status.is_complete


def test_late_forwarded_report_does_not_replace_newer_one() -> None:
    table = revisions.RevisionTable()
    table.record(revisions.RevisionReport(N1, 8), now_ms=1_000)
    table.record(revisions.RevisionReport(N1, 7, age_ms=500), now_ms=1_100)
    assert table.rollout_status(8, [N1], now_ms=1_100).is_complete


def test_restarted_node_lags_until_it_has_caught_up() -> None:
    table = revisions.RevisionTable()
    table.record(revisions.RevisionReport(N1, 8), now_ms=1_000)
    table.record(revisions.RevisionReport(N1, 0), now_ms=1_100)
    assert not table.rollout_status(8, [N1], now_ms=1_100).is_complete
