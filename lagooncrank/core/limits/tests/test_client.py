"""How an entry obtains permits, and from whom."""

from lagooncrank import model
from lagooncrank.core import limits

ENTRY = model.NodeId("n1")
CONTROLS = tuple(model.NodeId(f"c{n}") for n in range(3))
PROCESS = (model.BackendServerId("s1"), 7)


def make_client(rate_per_s: float = 2.0) -> limits.PermitClient:
    table = limits.LimitTable()
    stated = limits.StatedLimit(limits.LimitKind.RATE, rate_per_s)
    table.record_response(PROCESS, stated, 0, 0)
    return limits.PermitClient(ENTRY, table)


def issuers(
    client: limits.PermitClient,
    controls: tuple[model.NodeId, ...],
    now_ms: int,
    missed_ms: int = 0,
) -> list[model.NodeId]:
    observed_ms = now_ms - missed_ms
    return list(client.request([PROCESS], 1, controls, now_ms, observed_ms))


def grant(client: limits.PermitClient, count: int, now_ms: int) -> None:
    permits = limits.PermitGrant(*PROCESS, count, 400)
    client.add(limits.PermitGrants((permits,)), now_ms)


def test_entries_ask_the_same_node() -> None:
    chosen = {tuple(issuers(make_client(), CONTROLS, 0)) for _ in range(5)}
    assert len(chosen) == 1
    assert chosen.pop()[0] in CONTROLS


def test_one_request_stands_at_a_time() -> None:
    client = make_client()
    assert issuers(client, CONTROLS, 0)
    assert not issuers(client, CONTROLS, 100)
    grant(client, 0, 110)
    assert client.wait_ms(PROCESS, 110) == 400
    assert not issuers(client, CONTROLS, 120)
    assert issuers(client, CONTROLS, limits.PERMIT_TTL_MS)


def test_permit_is_used_once_or_expires() -> None:
    client = make_client()
    grant(client, 2, 0)
    assert client.use(PROCESS, 10)
    assert client.count(PROCESS, limits.PERMIT_TTL_MS - 1) == 1
    assert client.count(PROCESS, limits.PERMIT_TTL_MS) == 0
    assert not client.use(PROCESS, limits.PERMIT_TTL_MS)
    assert client.pop_expired() == 1


# Guards against: two nodes issue all permits of a server, each to some entries.
def test_entry_that_loses_the_issuer_uses_its_own_share_at_first() -> None:
    client = make_client()
    (issuer,) = issuers(client, CONTROLS, 0)
    others = tuple(c for c in CONTROLS if c != issuer)
    assert issuers(client, others, 600) == [ENTRY]
    assert issuers(client, others, 1_200) == [ENTRY]
    late_ms = 600 + 2_000
    assert issuers(client, others, late_ms)[0] in others
    # Back again.
    assert issuers(client, CONTROLS, late_ms + 600) == [issuer]


# Guards against: an issuer that is frozen keeps all requests of its servers.
def test_issuer_that_does_not_respond_is_passed_over_for_a_while() -> None:
    client = make_client()
    (issuer,) = issuers(client, CONTROLS, 0)
    assert issuers(client, CONTROLS, 500) == [ENTRY]
    later_ms = 500 + limits.PASSED_OVER_MS
    assert issuers(client, CONTROLS, later_ms) == [issuer]
    client.record_response(issuer)
    assert issuers(client, CONTROLS, later_ms + 500) == [issuer]


# Guards against: an entry that stood still used only its own share of a limit
# for seconds, as it took the issuer whose response it had not read for frozen.
def test_issuer_is_not_passed_over_for_a_standstill_of_the_entry() -> None:
    client = make_client()
    (issuer,) = issuers(client, CONTROLS, 0)
    assert issuers(client, CONTROLS, 2_000, missed_ms=1_850) == [issuer]


def test_entry_without_control_nodes_issues_for_itself() -> None:
    assert issuers(make_client(), (), 0) == [ENTRY]


def test_enough_permits_are_requested_and_no_more() -> None:
    client = make_client(rate_per_s=40.0)
    (batch,) = client.request([PROCESS], 4, CONTROLS, 0, 0).values()
    assert [r.count for r in batch.requests] == [4]
    grant(client, 3, 10)
    assert not client.request([PROCESS], 3, CONTROLS, 20, 20)


def test_permits_of_a_withdrawn_limit_are_forgotten() -> None:
    client = make_client()
    grant(client, 2, 0)
    client.forget(PROCESS)
    assert client.count(PROCESS, 0) == 0
    assert client.wait_ms(PROCESS, 0) == 0
