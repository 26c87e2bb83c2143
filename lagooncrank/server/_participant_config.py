"""Derives the configuration of a consensus participant from the settings."""

from typing import Final

from lagooncrank import settings
from lagooncrank.core import consensus

#: Size of each layer of followers, as a multiple of the layer above it.
FAN_OUT: Final = 8


def build(
    process: settings.ProcessSettings, incarnation: int
) -> consensus.ParticipantConfig:
    """Returns the configuration with the voters and nodes to follow."""
    initial_voters = tuple(n.node_id for n in process.initial_voters)
    own_domain = process.own_node.failure_domain_id
    nearest_first = sorted(
        process.nodes,
        key=lambda n: (n.failure_domain_id != own_domain, n.node_id),
    )
    voters = tuple(n.node_id for n in nearest_first if n.is_initial_voter)
    non_voters = sorted(
        n.node_id for n in process.nodes if not n.is_initial_voter
    )
    upstreams = consensus.upstream_candidates(
        voters, non_voters, process.node_id, FAN_OUT
    )
    linked_nodes = frozenset(n.node_id for n in process.nodes)
    return consensus.ParticipantConfig(
        process.node_id, incarnation, initial_voters, upstreams, linked_nodes
    )
