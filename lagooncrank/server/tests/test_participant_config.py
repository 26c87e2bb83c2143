"""Upstream nodes in a large system."""

import collections

from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _participant_config

NODES = 330
VOTERS = 5
DOMAINS = 17


def large_system() -> tuple[settings.PeerSettings, ...]:
    return tuple(
        settings.PeerSettings(
            model.NodeId(f"n{number:03d}"),
            f"10.0.0.1:{number}",
            f"10.0.0.2:{number}",
            model.FailureDomainId(f"d{number % DOMAINS}"),
            (settings.Role.ENTRY, settings.Role.CONTROL)
            if number < VOTERS
            else (settings.Role.ENTRY,),
        )
        for number in range(NODES)
    )


def test_no_node_of_a_large_system_serves_many_followers() -> None:
    nodes = large_system()
    upstreams = {}
    for node in nodes[VOTERS:]:
        process = settings.ProcessSettings(node.node_id, nodes, "unused")
        config = _participant_config.build(process, 1)
        upstreams[node.node_id] = config.upstreams
    followers = collections.Counter(u[0] for u in upstreams.values())
    assert max(followers.values()) <= 2 * _participant_config.FAN_OUT
    voters = {n.node_id for n in nodes[:VOTERS]}
    for node_id, candidates in upstreams.items():
        assert node_id not in candidates
        assert voters <= set(candidates)
        hops = 1
        upstream = candidates[0]
        while upstream not in voters:
            upstream = upstreams[upstream][0]
            hops += 1
        assert hops <= 3
