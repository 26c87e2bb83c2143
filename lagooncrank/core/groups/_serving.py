"""Selects the groups that can serve requests, as an entry sees them."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _evidence

#: Connected time within which a running server may not have reported yet. It is
#: longer than the time between two reports of a server, even if one is lost.
STATE_TRUST_MS: Final = 2_000


def serving_groups(
    service: model.ServiceName,
    model_name: str,
    groups: Mapping[str, model.Group],
    table: fleet.ServerTable,
) -> Iterator[model.Group]:
    """Yields a model's groups with an open head and all members in place.

    Until this node has been connected long enough to have seen every server,
    members without a report since they were ready count as in place, as the
    replicated state says: engines keep running if all nodes fail.
    """
    trust_state = table.connected_ms < STATE_TRUST_MS
    for group in groups.values():
        if group.service != service or group.model_name != model_name:
            continue
        if group.phase is not model.GroupPhase.SERVING:
            continue
        if _is_serving(group, table, trust_state):
            yield group


def _is_serving(
    group: model.Group, table: fleet.ServerTable, trust_state: bool
) -> bool:
    for member in group.members:
        record = _evidence.current_record(member, table)
        if record is None and trust_state:
            continue
        if record is None or record.report.born_ms != member.born_ms:
            return False
        # Only the leader acts on missing reports: this entry may still reach
        # a server whose reports do not arrive.
        if table.is_leaving(record):
            return False
        membership = record.report.membership
        if membership is None or membership.epoch != group.epoch:
            return False
        if (
            member == group.head
            and membership.state is not model.MemberState.OPEN
        ):
            return False
    return True
