"""Selects the reports that say something about a membership.

A table of reports is empty after a restart, and the first report that arrives
may have been sent before its engine joined the group. Such a report does not
show that the engine has left.
"""

from lagooncrank import model
from lagooncrank.core import fleet


def current_record(
    member: model.GroupMember, table: fleet.ServerTable
) -> fleet.ServerRecord | None:
    """Returns the record of a member, or None if it is unknown or too old.

    A report is too old if it is of an earlier start of the engine, or older
    than the one that the membership is based on, unless that one turned out to
    be of another writer. A report that the engine leaves is never too old, as
    it does not become ready again.

    Args:
        member: Member of a group, as the replicated state has it.
        table: Reports of the engines.
    """
    record = table.get(member.server_id)
    if record is None:
        return None
    version = fleet.ReportVersion.of(record.report)
    is_leaving = table.is_leaving(record)
    if is_leaving and record.report.born_ms == member.born_ms:
        return record
    based_on = fleet.ReportVersion(member.born_ms, member.report_sequence)
    if based_on == table.superseded(member.server_id):
        return record
    if version < based_on:
        return None
    return record


def current_report(
    member: model.GroupMember, table: fleet.ServerTable
) -> model.ServerReport | None:
    """Returns the report of this start of a member, if it is not too old."""
    record = current_record(member, table)
    if record is None or record.report.born_ms != member.born_ms:
        return None
    return record.report
