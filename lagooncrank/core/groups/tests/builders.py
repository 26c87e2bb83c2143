"""Builders of engine reports, groups and server tables for tests."""

from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank.core import fleet

SERVICE = model.ServiceName("writers")
LARGE = model.ModelProfile("large", 4, 0.67, 1.0, 16_000, 1_600)
SMALL = model.ModelProfile("small", 2, 0.33, 0.6, 12_000, 1_100)
SERVICE_CONFIG = model.ServiceConfig(
    SERVICE,
    "/healthz",
    400,
    model.EngineProfile((LARGE, SMALL), 13, 700_000, 4.0, 6),
)
UNREACHABLE_AFTER_MS = 3_000


def engine_report(
    number: int,
    domain: str = "d1",
    staged: tuple[str, ...] = (),
    loaded: tuple[str, ...] = (),
    membership: model.Membership | None = None,
    born_ms: int = 100,
    sequence: int = 1,
    state: model.ServerState = model.ServerState.READY,
) -> model.ServerReport:
    """Returns the report of one engine."""
    return model.ServerReport(
        model.BackendServerId(f"s{number}"),
        born_ms,
        sequence,
        SERVICE,
        f"10.0.0.{number}:80",
        model.FailureDomainId("a"),
        state,
        13,
        domain,
        staged,
        loaded,
        membership,
    )


def server_table(*reports: model.ServerReport) -> fleet.ServerTable:
    """Returns a table of a long-connected node with these new reports."""
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    for now_ms in range(0, 10_001, 50):
        table.advance_clock(now_ms, now_ms, is_connected=True)
    for report in reports:
        table.put(report, 10_000)
    return table


def group(
    *numbers: int,
    phase: model.GroupPhase = model.GroupPhase.SERVING,
    model_name: str = "large",
    epoch: int = 7,
) -> model.Group:
    """Returns a group of engines."""
    members = tuple(
        model.GroupMember(model.BackendServerId(f"s{n}"), 100, f"10.0.0.{n}:80")
        for n in numbers
    )
    return model.Group(f"g{epoch}", epoch, SERVICE, model_name, members, phase)


def membership_at(
    state: model.MemberState, rank: int = 0, epoch: int = 7
) -> model.Membership:
    """Returns a membership in the group with the given epoch."""
    return model.Membership(f"g{epoch}", epoch, rank, state)


def member_reports(
    of_group: model.Group, states: Sequence[model.MemberState | None]
) -> list[model.ServerReport]:
    """Returns reports of a group's members by rank.

    A state of None stands for a member that has not joined the group.
    """
    reports = []
    for rank, (member, state) in enumerate(
        zip(of_group.members, states, strict=True)
    ):
        number = int(member.server_id[1:])
        membership = None
        if state is not None:
            membership = membership_at(state, rank, of_group.epoch)
        reports.append(
            engine_report(
                number, loaded=(of_group.model_name,), membership=membership
            )
        )
    return reports


def next_report(
    report: model.ServerReport, **changes: object
) -> model.ServerReport:
    """Returns the next report of the same engine start, with changes."""
    sequence = report.sequence + 1
    return dataclasses.replace(report, sequence=sequence, **changes)  # type: ignore[arg-type]
