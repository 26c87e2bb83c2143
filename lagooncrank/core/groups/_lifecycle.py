"""Determines the next actions for each group from its members' reports.

A head is opened only after every member has itself reported ready under the
group's name and epoch. A group is removed only after its head was reported
closed, broken or restarted, or after its other members have left it. An engine
is used again once its own report shows no group.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _evidence
from lagooncrank.core.groups import _reported_state

_SERVING_STATES: Final = (model.MemberState.OPEN, model.MemberState.CLOSING)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTiming:
    """Timing of the orders to engines."""

    #: Delay before an order without an observed effect is sent again.
    resend_interval_ms: int = 1_000
    #: How long a closing head may continue its requests before they are
    #: aborted. An engine that drains waits as long for its group's.
    close_timeout_ms: int = 10_000
    #: How long a group that was dissolved for a silent member is left alone, as
    #: that one may go on. It counts as silent after a second or so.
    return_timeout_ms: int = 1_000
    #: The same for a head whose responses are not seen progressing any more;
    #: longer than sound engines fall silent.
    progress_timeout_ms: int = 2_000


class GroupLifecycle:
    """Advances each group through its phases during one leadership."""

    def __init__(self, timing: GroupTiming = GroupTiming()) -> None:
        self._timing = timing
        # All times are observed time.
        #: When each order was last sent, by epoch, server id and kind.
        self._sent_ms: dict[tuple[int, str, str], int] = {}
        #: When this leader first saw each dissolving group, by epoch.
        self._dissolving_since_ms: dict[int, int] = {}
        #: When entries last saw a head's responses progress, by epoch.
        self._progress_ms: dict[int, int] = {}

    def clear(self) -> None:
        """Discards all state, as another leader may have acted meanwhile."""
        self._sent_ms.clear()
        self._dissolving_since_ms.clear()
        self._progress_ms.clear()

    def next_actions(
        self,
        group: model.Group,
        table: fleet.ServerTable,
        active_heads: Collection[str],
        observed_ms: int,
        size: int | None = None,
    ) -> Iterator[_actions.Action]:
        """Yields the actions for one group that are due now.

        Args:
            group: The group.
            table: Reports of the engines.
            active_heads: Heads whose responses entries see progressing. If
                members of their groups do not report, they are only cut off
                from this node and have not failed.
            observed_ms: Time in which this node could read reports.
            size: Number of engines that groups of its model have; None if
                there is no such model.
        """
        self._record_progress(group, active_heads, observed_ms)
        for action in self._due_actions(
            group, table, active_heads, observed_ms, size
        ):
            if isinstance(action, _actions.PhaseChange) and not action.phase:
                # Its head may come back in no group, and has its time then.
                self._dissolving_since_ms.pop(group.epoch, None)
            yield action

    def _due_actions(
        self,
        group: model.Group,
        table: fleet.ServerTable,
        active_heads: Collection[str],
        observed_ms: int,
        size: int | None,
    ) -> Iterator[_actions.Action]:
        match group.phase:
            case model.GroupPhase.FORMING:
                yield from self._advance_forming(group, table, observed_ms)
            case model.GroupPhase.SERVING:
                yield from self._advance_serving(
                    group, table, active_heads, observed_ms
                )
            case model.GroupPhase.DISSOLVING:
                if size == len(group.members) and _reported_state.may_return(
                    group, table
                ):
                    yield from self._advance_suspended(
                        group, table, observed_ms
                    )
                else:
                    yield from self._advance_dissolving(
                        group, table, observed_ms
                    )

    def stray_orders(
        self,
        service: model.ServiceName,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        last_epoch: int,
        active_heads: Collection[str],
        observed_ms: int,
    ) -> Iterator[_actions.Order]:
        """Yields orders to engines in groups that do not hold them any more.

        Members of a removed group are not free before they have left it. An
        order that is executed late can also bring an engine back into a group
        that it has left, and open its head.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            last_epoch: Epoch of the newest group that this node knows of. A
                membership of a later one is not a stray.
            active_heads: Heads whose responses entries see progressing.
            observed_ms: Time in which this node could read reports.
        """
        for record in table.ready(service):
            report = record.report
            membership = report.membership
            if membership is None or membership.epoch > last_epoch:
                continue
            if _reported_state.holds(groups, report):
                continue
            member = model.GroupMember(
                report.server_id, report.born_ms, report.address
            )
            group = model.Group(
                membership.group,
                membership.epoch,
                service,
                "",
                (member,),
                model.GroupPhase.DISSOLVING,
            )
            if membership.state not in _SERVING_STATES:
                kind = _actions.OrderKind.LEAVE
                yield from self._order(kind, group, member, observed_ms)
                continue
            # No other engine is in the group, but it may need no other.
            self._record_progress(group, active_heads, observed_ms)
            yield from self._close(
                group, membership.state, observed_ms, has_stalled=True
            )

    def _advance_forming(
        self, group: model.Group, table: fleet.ServerTable, observed_ms: int
    ) -> Iterator[_actions.Action]:
        problem = _reported_state.availability_problem(group, table)
        if problem:
            # The head was never ordered to open, so it has no requests.
            yield _actions.PhaseChange(group, None, problem)
            return
        ready_members = [
            m
            for m in group.members
            if _reported_state.is_ready(group, m, table)
        ]
        if len(ready_members) == len(group.members):
            yield _ready_change(group, table)
            return
        for member in group.members:
            if _reported_state.may_join(member, table):
                kind = _actions.OrderKind.JOIN
                yield from self._order(kind, group, member, observed_ms)

    def _advance_serving(
        self,
        group: model.Group,
        table: fleet.ServerTable,
        active_heads: Collection[str],
        observed_ms: int,
    ) -> Iterator[_actions.Action]:
        phase = model.GroupPhase.DISSOLVING
        is_head_active = group.head.server_id in active_heads
        problem = _reported_state.availability_problem(
            group, table, allow_unreachable=is_head_active
        )
        if not problem:
            problem = _reported_state.membership_problem(group, table)
        if problem:
            all_alive = all(
                _reported_state.is_alive(m, table) for m in group.members
            )
            yield _actions.PhaseChange(
                group, phase, problem, waits_for_work=all_alive
            )
            return
        head_state = _reported_state.member_state(group, group.head, table)
        if head_state is model.MemberState.READY:
            kind = _actions.OrderKind.OPEN
            yield from self._order(kind, group, group.head, observed_ms)

    def _advance_suspended(
        self, group: model.Group, table: fleet.ServerTable, observed_ms: int
    ) -> Iterator[_actions.Action]:
        """Gives a silent member some time, as orders cannot be taken back.

        Meanwhile nobody sends requests to the group.
        """
        since_ms = self._dissolving_since_ms.setdefault(
            group.epoch, observed_ms
        )
        if all(_reported_state.is_alive(m, table) for m in group.members):
            del self._dissolving_since_ms[group.epoch]
            phase = model.GroupPhase.SERVING
            yield _actions.PhaseChange(group, phase, "all members are back")
        elif observed_ms - since_ms >= self._timing.return_timeout_ms:
            yield from self._advance_dissolving(group, table, observed_ms)

    def _advance_dissolving(
        self, group: model.Group, table: fleet.ServerTable, observed_ms: int
    ) -> Iterator[_actions.Action]:
        self._dissolving_since_ms.setdefault(group.epoch, observed_ms)
        record = _evidence.current_record(group.head, table)
        stop_reason = _reported_state.head_stop_reason(group, record, table)
        if stop_reason:
            yield _actions.PhaseChange(group, None, stop_reason)
            return
        is_head_unreachable = record is None and table.is_warmed_up
        is_head_unreachable |= record is not None and table.is_lost(record)
        if is_head_unreachable and len(group.members) == 1:
            # Without members the head cannot run requests. If it reports
            # again, it is closed as a stray.
            yield _actions.PhaseChange(group, None, "the head is unreachable")
            return
        if is_head_unreachable:
            # One that has deregistered reports no more, but serves on.
            if self._may_abort(group, observed_ms, has_stalled=True):
                yield from self._release_members(group, table, observed_ms)
            return
        if record is None or table.is_unreachable(record):
            # It may be finishing requests; its report has not arrived yet.
            return
        state = _reported_state.member_state(group, group.head, table)
        if state in _SERVING_STATES:
            has_stalled = _reported_state.lacks_member(group, table)
            yield from self._close(
                group, state, observed_ms, has_stalled=has_stalled
            )
            return
        # A head that has left refuses a delayed order to open: it is in no
        # group, and a delayed join has a lower fencing token.
        kind = _actions.OrderKind.LEAVE
        yield from self._order(kind, group, group.head, observed_ms)

    def _close(
        self,
        group: model.Group,
        state: model.MemberState | None,
        observed_ms: int,
        *,
        has_stalled: bool,
    ) -> Iterator[_actions.Order]:
        """Yields the order that is due to a head that is to serve no more.

        Args:
            group: The group.
            state: State that the head reports.
            observed_ms: Time in which this node could read reports.
            has_stalled: As for `_may_abort`.
        """
        if self._may_abort(group, observed_ms, has_stalled=has_stalled):
            kind = _actions.OrderKind.CLOSE_NOW
            yield from self._order(kind, group, group.head, observed_ms)
        elif state is not model.MemberState.CLOSING:
            kind = _actions.OrderKind.CLOSE
            yield from self._order(kind, group, group.head, observed_ms)

    def _may_abort(
        self, group: model.Group, observed_ms: int, *, has_stalled: bool
    ) -> bool:
        """Returns whether the requests of a closing head may be aborted.

        They end by themselves, unless they run for too long or make no
        progress.

        Args:
            group: The group.
            observed_ms: Time in which this node could read reports.
            has_stalled: Whether the group lacks what it needs to run requests,
                as far as reports tell. It does not if entries see them run.
        """
        since_ms = self._dissolving_since_ms.setdefault(
            group.epoch, observed_ms
        )
        if observed_ms - since_ms >= self._timing.close_timeout_ms:
            return True
        progress_ms = self._progress_ms.get(group.epoch)
        has_progressed = (
            progress_ms is not None
            and observed_ms - progress_ms < self._timing.progress_timeout_ms
        )
        return has_stalled and not has_progressed

    def _record_progress(
        self,
        group: model.Group,
        active_heads: Collection[str],
        observed_ms: int,
    ) -> None:
        if group.head.server_id in active_heads:
            self._progress_ms[group.epoch] = observed_ms

    def _release_members(
        self, group: model.Group, table: fleet.ServerTable, observed_ms: int
    ) -> Iterator[_actions.Action]:
        """Releases the members of a group whose head is unreachable.

        The head remains in the group until it reports again. Without members
        it cannot run requests.
        """
        departed = []
        for member in group.members[1:]:
            record = _evidence.current_record(member, table)
            if record is None or table.is_unreachable(record):
                continue
            if _reported_state.member_state(group, member, table) is None:
                departed.append(member.server_id)
                continue
            kind = _actions.OrderKind.LEAVE
            yield from self._order(kind, group, member, observed_ms)
        if departed:
            yield _actions.MemberRelease(group, tuple(departed))

    def _order(
        self,
        kind: _actions.OrderKind,
        group: model.Group,
        member: model.GroupMember,
        observed_ms: int,
    ) -> Iterator[_actions.Order]:
        """Yields an order unless it was sent within the resend interval."""
        key = (group.epoch, member.server_id, kind.value)
        sent_ms = self._sent_ms.get(key)
        if (
            sent_ms is not None
            and observed_ms - sent_ms < self._timing.resend_interval_ms
        ):
            return
        self._sent_ms[key] = observed_ms
        yield _actions.Order(kind, group, member)


def _ready_change(
    group: model.Group, table: fleet.ServerTable
) -> _actions.PhaseChange:
    """Returns the change of a group whose members are all ready."""
    reports = [_evidence.current_report(m, table) for m in group.members]
    sequences = tuple(r.sequence for r in reports if r is not None)
    phase = model.GroupPhase.SERVING
    reason = "all members are ready"
    if group.is_preload:
        phase = model.GroupPhase.DISSOLVING
        reason = "the weights are loaded"
    return _actions.PhaseChange(group, phase, reason, ready_sequences=sequences)
