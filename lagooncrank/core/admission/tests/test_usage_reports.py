from hypothesis import given
from hypothesis import strategies as st

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core.admission import _remote_usage

SERVICE = model.ServiceName("drafts")

columns = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.tuples(st.integers(1, 50), st.integers(1, 900), st.integers(0, 900)),
    max_size=4,
)


def _report(
    node: str,
    use: dict[str, tuple[int, int, int]],
    sequence: int = 1,
    incarnation: int = 1,
) -> admission.UsageReport:
    usages = [
        admission.AccountUsage(model.ClientAccountId(name), SERVICE, *figures)
        for name, figures in use.items()
    ]
    services = (admission.ServiceUsage.from_usages(SERVICE, usages),)
    return admission.UsageReport(
        model.NodeId(node), incarnation, sequence, services if use else ()
    )


def _totals(
    remote: _remote_usage.RemoteUsage,
) -> dict[str, tuple[int, int, int]]:
    return {
        name: (
            use.running,
            round(use.running_weight * 100),
            round(use.waiting_weight * 100),
        )
        for name, use in remote.fresh(SERVICE).items()
    }


@given(uses=st.lists(columns, max_size=5))
def test_merged_report_counts_like_the_single_ones(
    uses: list[dict[str, tuple[int, int, int]]],
) -> None:
    reports = [_report(f"n{i}", use) for i, use in enumerate(uses)]
    single, merged = _remote_usage.RemoteUsage(), _remote_usage.RemoteUsage()
    for report in reports:
        single.observe(report, 0)
    name = model.NodeId("region")
    merged.observe(admission.merge_reports(name, 1, 1, reports), 0)
    assert _totals(merged) == _totals(single)


def test_reports_out_of_order_and_of_earlier_starts_change_nothing() -> None:
    remote = _remote_usage.RemoteUsage()
    remote.observe(_report("n", {"a": (5, 500, 0)}, sequence=3), 0)
    remote.observe(_report("n", {"a": (9, 900, 0)}, sequence=2), 1)
    assert _totals(remote) == {"a": (5, 500, 0)}
    remote.observe(_report("n", {"a": (1, 100, 0)}, 1, incarnation=2), 2)
    remote.observe(_report("n", {"a": (7, 700, 0)}, sequence=9), 3)
    assert _totals(remote) == {"a": (1, 100, 0)}


def test_silent_entry_is_unclear_then_lapsed_then_forgotten() -> None:
    remote = _remote_usage.RemoteUsage()
    remote.observe(_report("n", {"a": (5, 500, 0)}), 0)
    remote.expire(_remote_usage.REPORT_LIFETIME_MS + 1)
    assert not remote.fresh(SERVICE)
    assert not remote.lapsed(SERVICE)
    remote.expire(_remote_usage.UNCLEAR_LIFETIME_MS + 1)
    assert remote.lapsed(SERVICE)[model.ClientAccountId("a")].running == 5
    remote.observe(_report("n", {"a": (2, 200, 0)}, sequence=2), 4_000)
    assert _totals(remote) == {"a": (2, 200, 0)}
    assert not remote.lapsed(SERVICE)
    remote.expire(4_000 + _remote_usage.LAPSED_LIFETIME_MS + 1)
    assert remote.known == 0
    assert not remote.lapsed(SERVICE)
