"""Counters of the peer links."""

import prometheus_client

MESSAGES_DROPPED = prometheus_client.Counter(
    "lagooncrank_peer_messages_dropped",
    "Messages to peers that were dropped, by reason.",
    ["reason"],
)
LINKS_CLOSED = prometheus_client.Counter(
    "lagooncrank_peer_links_closed",
    "Peer links that ended, by reason.",
    ["reason"],
)
BYTES_SENT = prometheus_client.Counter(
    "lagooncrank_peer_bytes_sent",
    "Payload bytes queued to peers, by kind of message.",
    ["kind"],
)
MESSAGES_SENT = prometheus_client.Counter(
    "lagooncrank_peer_messages_sent",
    "Messages queued to peers, by kind of message.",
    ["kind"],
)
