"""Tells a node whom it follows and who votes, from the process settings."""

from typing import Final

from lagooncrank import settings
from lagooncrank.core import consensus

#: Nodes that one node serves, when there are more than the voters can serve.
FAN_OUT: Final = 8


def setup_of(
    process: settings.ProcessSettings, incarnation: int
) -> consensus.ParticipantConfig:
    """Returns the participant's setup that the process settings describe."""
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
