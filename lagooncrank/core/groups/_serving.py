"""Which groups take requests now, as an entry sees them."""

from collections.abc import Iterator
from collections.abc import Mapping

from lagooncrank import model
from lagooncrank.core import fleet


def serving_groups(
    service: model.ServiceName,
    model_name: str,
    groups: Mapping[str, model.Group],
    table: fleet.ServerTable,
) -> Iterator[model.Group]:
    """Yields the groups of a model whose head is open and members are there."""
    for group in groups.values():
        if group.service != service or group.model_name != model_name:
            continue
        if group.phase is model.GroupPhase.SERVING and _is_whole(group, table):
            yield group


def _is_whole(group: model.Group, table: fleet.ServerTable) -> bool:
    for member in group.members:
        known = table.get(member.server_id)
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
