"""Prometheus counters of placement."""

import prometheus_client

CHANGES = prometheus_client.Counter(
    "lagooncrank_replica_changes",
    "Changes of replicas proposed here, by the state aimed at and the result.",
    ["state", "result"],
)
ORDERS = prometheus_client.Counter(
    "lagooncrank_orders",
    "Orders sent to model engines, by kind and by how the sending ended.",
    ["kind", "answer"],
)
MOVES_REFUSED = prometheus_client.Counter(
    "lagooncrank_moves_refused",
    "Planned changes of replicas that wait, by reason, once for each change.",
    ["reason"],
)
