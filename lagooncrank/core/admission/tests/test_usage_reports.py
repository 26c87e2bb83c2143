from hypothesis import given
from hypothesis import strategies as st

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core.admission import _remote_usage

SERVICE = model.ServiceName("drafts")

account_usages = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.tuples(st.integers(1, 50), st.integers(1, 900), st.integers(0, 900)),
    max_size=4,
)


def _report(
    node: str,
    usage: dict[str, tuple[int, int, int]],
    sequence: int = 1,
    incarnation: int = 1,
) -> admission.UsageReport:
    usages = [
        admission.AccountUsage(model.ClientAccountId(name), SERVICE, *counts)
        for name, counts in usage.items()
    ]
    services = (admission.ServiceUsage.from_usages(SERVICE, usages),)
    return admission.UsageReport(
        model.NodeId(node), incarnation, sequence, services if usage else ()
    )


def _totals(
    table: _remote_usage.RemoteUsageTable,
) -> dict[str, tuple[int, int, int]]:
    return {
        name: (
            usage.running,
            round(usage.running_weight * 100),
            round(usage.waiting_weight * 100),
        )
        for name, usage in table.fresh(SERVICE).items()
    }


@given(usages_by_entry=st.lists(account_usages, max_size=5))
def test_merged_report_equals_the_sum_of_its_reports(
    usages_by_entry: list[dict[str, tuple[int, int, int]]],
) -> None:
    reports = [
        _report(f"n{i}", usage) for i, usage in enumerate(usages_by_entry)
    ]
    unmerged, merged = (
        _remote_usage.RemoteUsageTable(),
        _remote_usage.RemoteUsageTable(),
    )
    for report in reports:
        unmerged.observe(report, 0)
    name = model.NodeId("region")
    merged.observe(admission.merge_reports(name, 1, 1, reports), 0)
    assert _totals(merged) == _totals(unmerged)


def test_reordered_reports_and_those_of_earlier_incarnations_are_ignored() -> (
    None
):
    table = _remote_usage.RemoteUsageTable()
    table.observe(_report("n", {"a": (5, 500, 0)}, sequence=3), 0)
    table.observe(_report("n", {"a": (9, 900, 0)}, sequence=2), 1)
    assert _totals(table) == {"a": (5, 500, 0)}
    table.observe(_report("n", {"a": (1, 100, 0)}, 1, incarnation=2), 2)
    table.observe(_report("n", {"a": (7, 700, 0)}, sequence=9), 3)
    assert _totals(table) == {"a": (1, 100, 0)}


def test_overdue_report_is_uncounted_then_stale_then_dropped() -> None:
    table = _remote_usage.RemoteUsageTable()
    table.observe(_report("n", {"a": (5, 500, 0)}), 0)
    table.expire(_remote_usage.MAX_FRESH_AGE_MS + 1)
    assert not table.fresh(SERVICE)
    assert not table.stale(SERVICE)
    table.expire(_remote_usage.MAX_UNCOUNTED_AGE_MS + 1)
    assert table.stale(SERVICE)[model.ClientAccountId("a")].running == 5
    table.observe(_report("n", {"a": (2, 200, 0)}, sequence=2), 4_000)
    assert _totals(table) == {"a": (2, 200, 0)}
    assert not table.stale(SERVICE)
    table.expire(4_000 + _remote_usage.MAX_STALE_AGE_MS + 1)
    assert table.reporting_entries == 0
    assert not table.stale(SERVICE)
