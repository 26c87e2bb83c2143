from lagooncrank import model
from lagooncrank.core import routing


def _target(name: str) -> routing.Target:
    return routing.Target(
        name,
        "127.0.0.1:1",
        model.FailureDomainId("fd"),
        "1",
        model.LoadReport(),
        load_received_ms=0,
        concurrency=4,
    )


def test_round_robin_cycles_through_targets() -> None:
    config = routing.RouterConfig(
        model.NodeId("e1"), model.FailureDomainId("fd")
    )
    router = routing.ROUTERS.get("round_robin").from_config(config)
    targets = [_target("a"), _target("b")]
    query = routing.RouteQuery(
        model.RequestId("r"),
        model.ServiceName("s"),
        model.ClientAccountId("a"),
        prompt_tokens=1,
        expected_output_tokens=1,
    )
    chosen = [router.choose(query, targets, 0) for _ in range(3)]
    assert chosen == [targets[0], targets[1], targets[0]]
    assert router.choose(query, [], 0) is None
