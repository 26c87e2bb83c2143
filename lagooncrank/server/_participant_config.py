"""Derives the configuration of a consensus participant from the settings."""

from typing import Final

from lagooncrank import settings
from lagooncrank.core import consensus

#: Followers of each node, if there are too many for the voters alone.
FAN_OUT: Final = 8


def build(
    process: settings.ProcessSettings, incarnation: int
) -> consensus.ParticipantConfig:
    """Returns the configuration with the voters and nodes to follow."""
    initial_voters = tuple(n.node_id for n in process.initial_voters)
    near = process.own_node.failure_domain_id
    ordered = sorted(
        process.nodes,
        key=lambda n: (n.failure_domain_id != near, n.node_id),
    )
    near_voters = tuple(n.node_id for n in ordered if n.is_initial_voter)
    others = sorted(n.node_id for n in process.nodes if not n.is_initial_voter)
    upstreams = consensus.upstream_candidates(
        near_voters, others, process.node_id, FAN_OUT
    )
    linked = frozenset(n.node_id for n in process.nodes)
    return consensus.ParticipantConfig(
        process.node_id, incarnation, initial_voters, upstreams, linked
    )
