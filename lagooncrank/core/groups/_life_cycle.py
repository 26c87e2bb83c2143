"""What is next for each group, from what its members report.

A head opens only after every member itself reported ready under the group's
name and epoch. A member is used again only after the head was seen closed,
broken or restarted, or after it has itself left the group, without which the
head can run nothing.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTiming:
    """Durations of the orders and of the engines' own reactions."""

    #: Wait before an order without visible effect is sent again.
    resend_ms: int = 1_000
    #: Longest wait for the work of a head that closes.
    close_wait_ms: int = 3_000


class GroupLifecycle:
    """Follows each group; forgets what it knew when leadership changes."""

    def __init__(self, timing: GroupTiming = GroupTiming()) -> None:
        self._timing = timing
        self._sent_ms: dict[tuple[int, str, str], int] = {}
        #: Since when a dissolving group is seen by this leader.
        self._since_ms: dict[int, int] = {}

    def clear(self) -> None:
        """Forgets all, as another leader has acted meanwhile."""
        self._sent_ms.clear()
        self._since_ms.clear()

    def next_actions(
        self,
        group: model.Group,
        table: fleet.ServerTable,
        working: Collection[str],
        now_ms: int,
    ) -> Iterator[_actions.Action]:
        """Yields what to do now about one group.

        Args:
            group: The group.
            table: Reports of the engines.
            working: Heads whose answers entries see going on; what is silent
                behind them is cut off from this node, not lost.
            now_ms: Monotonic time.
        """
        match group.phase:
            case model.GroupPhase.FORMING:
                yield from self._form(group, table, now_ms)
            case model.GroupPhase.SERVING:
                yield from self._serve(group, table, working, now_ms)
            case model.GroupPhase.DISSOLVING:
                yield from self._dissolve(group, table, now_ms)

    def orphan_orders(
        self,
        service: model.ServiceName,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.Order]:
        """Yields orders to heads that serve a group which is over.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            now_ms: Monotonic time.
        """
        for known in table.ready(service):
            place = known.report.membership
            if place is None or not is_stray(known.report, groups):
                continue
            report = known.report
            head = model.GroupMember(
                report.server_id, report.born_ms, report.address
            )
            group = model.Group(
                place.group,
                place.epoch,
                service,
                "",
                (head,),
                model.GroupPhase.DISSOLVING,
            )
            kind = _actions.OrderKind.CLOSE_NOW
            yield from self._order(kind, group, head, now_ms)

    def _form(
        self, group: model.Group, table: fleet.ServerTable, now_ms: int
    ) -> Iterator[_actions.Action]:
        problem = _member_problem(group, table)
        if problem:
            # The head was never told to open.
            yield _actions.PhaseChange(group, None, problem)
            return
        joined = [m for m in group.members if _has_joined(group, m, table)]
        if len(joined) == len(group.members):
            phase = model.GroupPhase.SERVING
            yield _actions.PhaseChange(group, phase, "all members are ready")
            return
        for member in group.members:
            if _membership(group, member, table) is None:
                kind = _actions.OrderKind.JOIN
                yield from self._order(kind, group, member, now_ms)

    def _serve(
        self,
        group: model.Group,
        table: fleet.ServerTable,
        working: Collection[str],
        now_ms: int,
    ) -> Iterator[_actions.Action]:
        phase = model.GroupPhase.DISSOLVING
        is_working = group.head.server_id in working
        problem = _member_problem(group, table, may_be_silent=is_working)
        if not problem:
            problem = _membership_problem(group, table)
        if problem:
            alive = all(_is_alive(m, table) for m in group.members)
            yield _actions.PhaseChange(
                group, phase, problem, waits_for_work=alive
            )
            return
        head = _membership(group, group.head, table)
        if head is model.MemberState.READY:
            kind = _actions.OrderKind.OPEN
            yield from self._order(kind, group, group.head, now_ms)

    def _dissolve(
        self, group: model.Group, table: fleet.ServerTable, now_ms: int
    ) -> Iterator[_actions.Action]:
        since_ms = self._since_ms.setdefault(group.epoch, now_ms)
        known = table.get(group.head.server_id)
        end = _head_end(group, known, table)
        if end:
            yield _actions.PhaseChange(group, None, end)
            return
        is_unheard = known is None and table.is_warmed_up
        is_unheard |= known is not None and table.is_unreachable(known)
        if is_unheard and len(group.members) == 1:
            # It has no members left with which it could run anything. If it
            # is heard again, it counts as a stray.
            yield _actions.PhaseChange(group, None, "the head is not heard of")
            return
        if known is None or table.is_unreachable(known):
            yield from self._dissolve_unseen(group, table, now_ms)
            return
        state = _membership(group, group.head, table)
        if state in (model.MemberState.OPEN, model.MemberState.CLOSING):
            waited_ms = now_ms - since_ms
            waits = group.waits_for_work
            kind = _actions.OrderKind.CLOSE_NOW
            if waits and waited_ms < self._timing.close_wait_ms:
                kind = _actions.OrderKind.CLOSE
            yield from self._order(kind, group, group.head, now_ms)
            return
        # Without a place in the group, a late order to open has no effect.
        kind = _actions.OrderKind.LEAVE
        yield from self._order(kind, group, group.head, now_ms)

    def _dissolve_unseen(
        self, group: model.Group, table: fleet.ServerTable, now_ms: int
    ) -> Iterator[_actions.Action]:
        """Frees the members of a group whose head cannot be reached.

        The head keeps its place until it is heard again; without members it
        can run nothing.
        """
        left = []
        for member in group.members[1:]:
            known = table.get(member.server_id)
            if known is None or table.is_unreachable(known):
                continue
            if _membership(group, member, table) is None:
                left.append(member.server_id)
                continue
            kind = _actions.OrderKind.LEAVE
            yield from self._order(kind, group, member, now_ms)
        if left:
            yield _actions.MemberRelease(group, tuple(left))

    def _order(
        self,
        kind: _actions.OrderKind,
        group: model.Group,
        member: model.GroupMember,
        now_ms: int,
    ) -> Iterator[_actions.Order]:
        """Yields an order unless the same was sent a short time ago."""
        key = (group.epoch, member.server_id, kind.value)
        sent_ms = self._sent_ms.get(key)
        if sent_ms is not None and now_ms - sent_ms < self._timing.resend_ms:
            return
        self._sent_ms[key] = now_ms
        yield _actions.Order(kind, group, member)


def is_stray(
    report: model.ServerReport, groups: Mapping[str, model.Group]
) -> bool:
    """Whether an engine is the open head of a group that is over."""
    place = report.membership
    if place is None or place.group in groups:
        return False
    return place.state in (model.MemberState.OPEN, model.MemberState.CLOSING)


def _member_problem(
    group: model.Group,
    table: fleet.ServerTable,
    *,
    may_be_silent: bool = False,
) -> str:
    """Returns why a member can take no part, or an empty text."""
    for member in group.members:
        known = table.get(member.server_id)
        if known is None:
            if not table.is_warmed_up:
                continue
            return f"member {member.server_id} is unknown"
        if known.report.born_ms != member.born_ms:
            return f"member {member.server_id} has started again"
        if known.report.state is not model.ServerState.READY:
            return f"member {member.server_id} is leaving"
        if table.is_unreachable(known) and not may_be_silent:
            return f"member {member.server_id} is silent"
    return ""


def _head_end(
    group: model.Group,
    known: fleet.ServerRecord | None,
    table: fleet.ServerTable,
) -> str:
    """Returns why the head certainly serves no more; empty if it may.

    A refused connection is no proof: a firewall may refuse it as well.
    """
    if known is None:
        return ""
    if known.report.born_ms != group.head.born_ms:
        return "the head has started again"
    if table.is_replaced(known):
        return "another server has started at the head's address"
    place = known.report.membership
    if place is None or place.epoch != group.epoch:
        return "the head has left the group"
    if place.state is model.MemberState.BROKEN:
        return "the head is broken"
    return ""


def _membership_problem(group: model.Group, table: fleet.ServerTable) -> str:
    for member in group.members:
        state = _membership(group, member, table)
        if state is None and table.get(member.server_id) is not None:
            return f"member {member.server_id} is not in the group"
        if state is model.MemberState.BROKEN:
            return f"member {member.server_id} is broken"
    return ""


def _membership(
    group: model.Group, member: model.GroupMember, table: fleet.ServerTable
) -> model.MemberState | None:
    """Returns a member's state in the group as it reported it."""
    known = table.get(member.server_id)
    if known is None or known.report.born_ms != member.born_ms:
        return None
    place = known.report.membership
    if place is None or place.epoch != group.epoch or place.group != group.name:
        return None
    return place.state


def _has_joined(
    group: model.Group, member: model.GroupMember, table: fleet.ServerTable
) -> bool:
    state = _membership(group, member, table)
    return state in (model.MemberState.READY, model.MemberState.OPEN)


def _is_alive(member: model.GroupMember, table: fleet.ServerTable) -> bool:
    known = table.get(member.server_id)
    if known is None or known.report.born_ms != member.born_ms:
        return False
    return not table.is_unreachable(known)
