"""What the reports of a group's members say about the group.

A member that another engine has replaced, or that reports a later start, is not
the one that the group was formed of.
"""

from collections.abc import Mapping

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _evidence


def may_return(group: model.Group, table: fleet.ServerTable) -> bool:
    """Returns whether a dissolving group lacks nothing but words of members.

    None that is dissolved for another reason returns: it waits for its work, or
    has loaded weights.
    """
    if group.waits_for_work or group.is_preload:
        return False
    is_open = member_state(group, group.head, table) is model.MemberState.OPEN
    all_ready = all(is_ready(group, m, table) for m in group.members)
    problem = availability_problem(group, table, allow_unreachable=True)
    return is_open and all_ready and not problem


def holds(
    groups: Mapping[str, model.Group], report: model.ServerReport
) -> bool:
    """Returns whether the group that an engine reports still holds it."""
    membership = report.membership
    if membership is None:
        return False
    group = groups.get(membership.group)
    if group is None or group.epoch != membership.epoch:
        return False
    return any(m.server_id == report.server_id for m in group.members)


def may_join(member: model.GroupMember, table: fleet.ServerTable) -> bool:
    """Returns whether a member of a forming group shows that it is in none.

    Otherwise the head of another group that it is in may be open.
    """
    report = _evidence.current_report(member, table)
    return report is not None and report.membership is None


def availability_problem(
    group: model.Group,
    table: fleet.ServerTable,
    *,
    allow_unreachable: bool = False,
) -> str:
    """Returns why a member is unavailable, or an empty string."""
    for member in group.members:
        record = _evidence.current_record(member, table)
        if record is None:
            if not table.is_warmed_up:
                continue
            return f"member {member.server_id} is unknown"
        if record.report.born_ms != member.born_ms:
            return f"member {member.server_id} has restarted"
        if table.is_leaving(record):
            return f"member {member.server_id} is leaving"
        if table.is_lost(record) and not allow_unreachable:
            return f"member {member.server_id} is unreachable"
    return ""


def head_stop_reason(
    group: model.Group,
    record: fleet.ServerRecord | None,
    table: fleet.ServerTable,
) -> str:
    """Returns why the head has certainly stopped serving.

    The string is empty if the head may still be serving. A refused connection
    is no proof that it has stopped, as a firewall may refuse it as well.
    """
    if record is None:
        return ""
    if record.report.born_ms != group.head.born_ms:
        return "the head has restarted"
    if table.is_replaced(record):
        return "another server has started at the head's address"
    membership = record.report.membership
    if membership is None or membership.epoch != group.epoch:
        return "the head has left the group"
    if membership.state is model.MemberState.BROKEN:
        return "the head is broken"
    return ""


def membership_problem(group: model.Group, table: fleet.ServerTable) -> str:
    """Returns which member is not in its place, or an empty string."""
    for member in group.members:
        state = member_state(group, member, table)
        is_known = _evidence.current_record(member, table) is not None
        if state is None and is_known:
            return f"member {member.server_id} is not in the group"
        if state is model.MemberState.BROKEN:
            return f"member {member.server_id} is broken"
    return ""


def member_state(
    group: model.Group, member: model.GroupMember, table: fleet.ServerTable
) -> model.MemberState | None:
    """Returns the state in the group that a member itself reported."""
    report = _evidence.current_report(member, table)
    if report is None:
        return None
    membership = report.membership
    if (
        membership is None
        or membership.epoch != group.epoch
        or membership.group != group.name
    ):
        return None
    return membership.state


def is_ready(
    group: model.Group, member: model.GroupMember, table: fleet.ServerTable
) -> bool:
    """Returns whether a member reports that it can serve in the group."""
    state = member_state(group, member, table)
    return state in (model.MemberState.READY, model.MemberState.OPEN)


def lacks_member(group: model.Group, table: fleet.ServerTable) -> bool:
    """Returns whether a member has certainly left its place in a group."""
    is_any_gone = any(is_gone(m, table) for m in group.members)
    return is_any_gone or bool(membership_problem(group, table))


def is_gone(member: model.GroupMember, table: fleet.ServerTable) -> bool:
    """Returns whether a member has ended, by what is known of it."""
    record = _evidence.current_record(member, table)
    if record is None:
        return table.is_warmed_up
    if record.report.born_ms != member.born_ms or table.is_replaced(record):
        return True
    if record.report.state is model.ServerState.GONE:
        # It reports no more, but remains while its head has work.
        return False
    return table.is_lost(record)


def is_alive(member: model.GroupMember, table: fleet.ServerTable) -> bool:
    """Returns whether a member runs and reports."""
    record = _evidence.current_record(member, table)
    if record is None or record.report.born_ms != member.born_ms:
        return False
    return not table.is_unreachable(record)
