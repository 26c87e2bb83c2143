"""Prometheus counters of the shared state."""

import prometheus_client

PROPOSALS = prometheus_client.Counter(
    "lagooncrank_proposals",
    "Commands proposed at this node, by how they ended.",
    ["result"],
)
READS_FAILED = prometheus_client.Counter(
    "lagooncrank_confirmed_reads_failed",
    "Reads that no quorum confirmed in time.",
)
SYNCS = prometheus_client.Counter(
    "lagooncrank_log_syncs",
    "Syncs of the replicated log.",
)
