"""Which groups take requests now, as an entry sees them."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet

#: Time of listening within which a server that runs need not have been heard:
#: longer than servers wait between two reports, with one of them lost.
TRUST_STATE_MS: Final = 2_000


def serving_groups(
    service: model.ServiceName,
    model_name: str,
    groups: Mapping[str, model.Group],
    table: fleet.ServerTable,
) -> Iterator[model.Group]:
    """Yields the groups of a model whose head is open and members are there.

    While this node has not listened long enough to have heard every server, a
    group is taken at the word of the replicated state: its members were ready
    when it began to serve, and they outlast the loss of all nodes.
    """
    trusts_state = table.connected_ms < TRUST_STATE_MS
    for group in groups.values():
        if group.service != service or group.model_name != model_name:
            continue
        if group.phase is not model.GroupPhase.SERVING:
            continue
        if _is_whole(group, table, trusts_state):
            yield group


def _is_whole(
    group: model.Group, table: fleet.ServerTable, trusts_state: bool
) -> bool:
    for member in group.members:
        known = table.get(member.server_id)
        if known is None and trusts_state:
            continue
        if known is None or known.report.born_ms != member.born_ms:
            return False
        # Silence is the leader's to judge: an entry may still reach a server
        # that cannot report.
        if known.report.state is not model.ServerState.READY:
            return False
        place = known.report.membership
        if place is None or place.epoch != group.epoch:
            return False
        if member == group.head and place.state is not model.MemberState.OPEN:
            return False
    return True
