"""Which node issues the permits of a process."""

from collections.abc import Iterable
import zlib

from lagooncrank import model
from lagooncrank.core.limits import _types


def issuing_node(
    process: _types.Process, nodes: Iterable[model.NodeId]
) -> model.NodeId | None:
    """Returns the node that issues the permits of a process.

    Rendezvous hashing: nodes that know the same nodes choose the same one, and
    a node that leaves changes only the choices that it was.

    Returns:
        None if there are no nodes.
    """

    def rank(node: model.NodeId) -> tuple[int, str]:
        key = f"{process[0]}@{process[1]}/{node}"
        return zlib.crc32(key.encode()), node

    return max(nodes, key=rank, default=None)
