"""Voter set membership of a node with a disk: bootstrap and joining."""

from typing import Any
from typing import Final

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.consensus import _bootstrap
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _node_state
from lagooncrank.core.consensus import _participant_types
from lagooncrank.core.consensus import _voter_changes

JOIN_REQUEST_INTERVAL_MS: Final = 300
#: A join request expires if it is not repeated within this time.
JOIN_TIMEOUT_MS: Final = 3_000
LEAVE_REQUEST_INTERVAL_MS: Final = 50
#: The same for a request to leave.
LEAVE_TIMEOUT_MS: Final = 1_000
#: A voter that is about to stop waits no longer for its successor.
MAX_LEAVE_WAIT_MS: Final = 2_000
#: A leader that is about to stop waits no longer for the next one if no disk
#: can replace it.
MAX_TRANSFER_WAIT_MS: Final = 150
#: Short, because a disk replacement in progress may not tolerate the loss of
#: another disk between its steps.
VOTER_CHANGE_INTERVAL_MS: Final = 50
#: A voter without a reply for this long counts as unresponsive.
REPLY_TIMEOUT_MS: Final = 1_000
#: A learner becomes a voter only if it replied to one of the last heartbeats.
PROMOTION_REPLY_TIMEOUT_MS: Final = 400
#: A voter without a reply for this long may be replaced, and a learner is
#: removed.
REPLACE_AFTER_MS: Final = 3_000

#: Types of the messages that `Node.receive` handles.
NODE_MESSAGES = (
    _messages.VoteRequest,
    _messages.VoteReply,
    _messages.AppendRequest,
    _messages.AppendReply,
    _messages.InstallSnapshot,
    _messages.TimeoutNow,
)


class VoterMembership:
    """Adds this disk to the voter set and, on the leader, changes the set."""

    def __init__(
        self,
        own_voter: _messages.Voter,
        node: _node.Node,
        config: _participant_types.ParticipantConfig,
    ) -> None:
        self._own_voter = own_voter
        self._node = node
        self._voter_node_ids = config.voter_node_ids
        self._goal = _voter_changes.Goal(
            config.target_voter_count, config.voter_node_ids
        )
        self._may_bootstrap = config.may_bootstrap
        self._bootstrap = _bootstrap.Bootstrap(
            own_voter, config.voter_node_ids, may_bootstrap=config.may_bootstrap
        )
        #: Linked nodes, to which join requests are sent in addition to the
        #: voters of the settings.
        self.peers: frozenset[model.NodeId] = frozenset()
        self._unsaved_initial_voters: _messages.VoterSet | None = None
        #: Disks that request to join, with the time of the latest request.
        self._joining: dict[_messages.Voter, int] = {}
        #: The same for disks that request to leave.
        self._leaving: dict[_messages.Voter, int] = {}
        #: When this node began to leave; None if it stays.
        self._leaving_since_ms: int | None = None
        #: Whether the leader has replied that this disk need not wait.
        self._has_left = False
        self._last_request_ms = 0
        self._last_change_check_ms = 0
        self._outbox: list[tuple[model.NodeId, Any]] = []

    def observe(self, missed_ms: int) -> None:
        """Sets the time in which this process stood still, in all."""
        self._node.observe(missed_ms)

    def tick(self, now_ms: int) -> None:
        """Runs due timers."""
        self._node.tick(now_ms)
        if self._node.status.voters is None:
            self._outbox += self._bootstrap.due_requests(now_ms)
            self._unsaved_initial_voters = (
                self._unsaved_initial_voters
                or self._bootstrap.initial_voters(None)
            )
        if self._leaving_since_ms is not None:
            self._continue_leaving(now_ms)
        elif self._may_be_excluded(now_ms):
            self._request_join(now_ms)
        if self._node.status.role is _node_state.Role.LEADER:
            self._change_voters(now_ms)

    def receive(self, sender: model.NodeId, body: Any, now_ms: int) -> None:
        """Handles a message; ignores messages of unknown type."""
        if isinstance(body, NODE_MESSAGES):
            self._node.receive(body, now_ms)
        elif isinstance(body, _bootstrap.BootstrapRequest):
            reply = self._bootstrap.reply_to(body, self._node.status.voters)
            if reply is not None:
                self._outbox.append((sender, reply))
        elif isinstance(body, _bootstrap.BootstrapReply):
            self._on_bootstrap_reply(body)
        elif isinstance(body, _voter_changes.JoinRequest):
            self._on_join_request(body, now_ms)
            self._relay_to_leader(sender, body)
        elif isinstance(body, _voter_changes.LeaveRequest):
            self._on_leave_request(body, now_ms)
            self._relay_to_leader(sender, body)
        elif isinstance(body, _voter_changes.LeaveReply):
            self._has_left |= body.voter == self._own_voter

    def leave(self, now_ms: int) -> None:
        """Begins to hand over this disk's leadership and vote.

        `may_stop` tells when that has ended.
        """
        self._leaving_since_ms = now_ms
        self._last_request_ms = 0
        self._continue_leaving(now_ms)

    def may_stop(self, now_ms: int) -> bool:
        """Whether the process need not wait any longer before it stops."""
        voters = self._node.status.voters
        since_ms = self._leaving_since_ms
        if since_ms is None:
            return False
        if voters is None or self._own_voter not in voters.voters:
            return True
        if self._has_left:
            return True
        if now_ms - since_ms >= MAX_LEAVE_WAIT_MS:
            return True
        if voters.learners:
            return False
        # Only the lead can be handed over, if there is anybody to take it.
        leads = self._node.status.role is _node_state.Role.LEADER
        is_settled = not leads and self._node.status.leader is not None
        return is_settled or now_ms - since_ms >= MAX_TRANSFER_WAIT_MS

    def take_initial_voters(self) -> _messages.VoterSet | None:
        """Returns the initial voter set if it is still to be stored."""
        initial_voters, self._unsaved_initial_voters = (
            self._unsaved_initial_voters,
            None,
        )
        return initial_voters

    def take_messages(self) -> list[tuple[model.NodeId, Any]]:
        """Removes and returns the messages to send."""
        messages, self._outbox = self._outbox, []
        return messages

    def _on_bootstrap_reply(self, reply: _bootstrap.BootstrapReply) -> None:
        if self._node.status.voters is not None:
            return
        self._bootstrap.on_reply(reply)
        self._unsaved_initial_voters = (
            self._unsaved_initial_voters
            or self._bootstrap.initial_voters(reply)
        )

    def _may_be_excluded(self, now_ms: int) -> bool:
        """Whether the voter set in force may lack this disk.

        A disk that lost its place while it was unreachable was not told: in its
        own log it still votes. The one sign is that no leader makes contact.
        """
        status = self._node.status
        if status.voters is None:
            return self._bootstrap.is_excluded or not self._may_bootstrap
        if self._own_voter not in status.voters.members:
            return True
        return not self._node.hears_leader(now_ms)

    def _request_join(self, now_ms: int) -> None:
        if now_ms - self._last_request_ms < JOIN_REQUEST_INTERVAL_MS:
            return
        self._last_request_ms = now_ms
        self._send_to_known(_voter_changes.JoinRequest(self._own_voter))

    def _send_to_known(self, body: Any) -> None:
        """Sends a message to all nodes that may lead or vote."""
        voters = self._node.status.voters
        members = {v.node_id for v in voters.members} if voters else ()
        for node_id in self.peers.union(self._voter_node_ids, members):
            if node_id != self._own_voter.node_id:
                self._outbox.append((node_id, body))

    def _continue_leaving(self, now_ms: int) -> None:
        """Hands over the lead, then requests to be replaced as a voter."""
        if self._node.status.role is _node_state.Role.LEADER:
            self._leaving[self._own_voter] = now_ms
            self._transfer_leadership(now_ms)
            return
        if now_ms - self._last_request_ms >= LEAVE_REQUEST_INTERVAL_MS:
            self._last_request_ms = now_ms
            self._send_to_known(_voter_changes.LeaveRequest(self._own_voter))

    def _transfer_leadership(self, now_ms: int) -> None:
        """Lets the voter that replied last lead, unless it leaves as well."""
        voters = self._node.status.voters
        candidates = [
            v
            for v in (voters.voters if voters else ())
            if v not in self._recent_leaving(now_ms)
            and self._node.has_replied_within(v, REPLY_TIMEOUT_MS, now_ms)
        ]
        candidates.sort(key=lambda v: self._node.silence_ms(v, now_ms))
        for voter in candidates:
            code = self._node.transfer_leadership(voter, now_ms)
            if code is results.ResultCode.OK:
                return

    def _on_join_request(
        self, request: _voter_changes.JoinRequest, now_ms: int
    ) -> None:
        """Records a request, in place of an earlier one of the same node.

        A node that asks with another disk has lost the earlier one.
        """
        self._joining = {
            voter: requested_ms
            for voter, requested_ms in self._joining.items()
            if voter.node_id != request.voter.node_id
        }
        self._joining[request.voter] = now_ms

    def _relay_to_leader(
        self,
        sender: model.NodeId,
        request: _voter_changes.JoinRequest | _voter_changes.LeaveRequest,
    ) -> None:
        """Passes a request on that came from the disk's own node.

        The nodes that a disk knows need not include the leader. A request that
        another node passed on goes no further, so that none circulates.
        """
        status = self._node.status
        if status.leader in (None, self._own_voter.node_id):
            return
        if sender == request.voter.node_id:
            self._outbox.append((status.leader, request))

    def _on_leave_request(
        self, request: _voter_changes.LeaveRequest, now_ms: int
    ) -> None:
        self._leaving[request.voter] = now_ms
        current = self._node.status.voters
        if (
            current is None
            or self._node.status.role is not _node_state.Role.LEADER
            or self._node.has_uncommitted_voters
        ):
            return
        has_left = request.voter not in current.voters
        seen = self._observations(current, now_ms)
        if has_left or not _voter_changes.has_successor(current, seen):
            reply = _voter_changes.LeaveReply(request.voter)
            self._outbox.append((request.voter.node_id, reply))

    def _recent_leaving(self, now_ms: int) -> frozenset[_messages.Voter]:
        self._leaving = _recent(self._leaving, LEAVE_TIMEOUT_MS, now_ms)
        return frozenset(self._leaving)

    def _observations(
        self, current: _messages.VoterSet, now_ms: int
    ) -> _voter_changes.Observations:
        self._joining = _recent(self._joining, JOIN_TIMEOUT_MS, now_ms)
        node = self._node
        return _voter_changes.Observations(
            joining=tuple(self._joining),
            leaving=self._recent_leaving(now_ms),
            responsive=frozenset(
                v
                for v in current.members
                if node.has_replied_within(v, REPLY_TIMEOUT_MS, now_ms)
            ),
            caught_up=frozenset(
                v
                for v in current.learners
                if node.is_caught_up(v)
                and node.has_replied_within(
                    v, PROMOTION_REPLY_TIMEOUT_MS, now_ms
                )
            ),
            lost=frozenset(
                v
                for v in current.members
                if node.silence_ms(v, now_ms) > REPLACE_AFTER_MS
                # It would be admitted again at once.
                and not (v in current.learners and v in self._joining)
            ),
        )

    def _change_voters(self, now_ms: int) -> None:
        if now_ms - self._last_change_check_ms < VOTER_CHANGE_INTERVAL_MS:
            return
        self._last_change_check_ms = now_ms
        current = self._node.status.voters
        if current is None:
            return
        change = _voter_changes.next_voter_set(
            current, self._goal, self._observations(current, now_ms)
        )
        if change is not None:
            self._node.change_voters(change)


def _recent(
    requests: dict[_messages.Voter, int], timeout_ms: int, now_ms: int
) -> dict[_messages.Voter, int]:
    """Returns the requests that were repeated within a time."""
    oldest_ms = now_ms - timeout_ms
    return {
        voter: requested_ms
        for voter, requested_ms in requests.items()
        if requested_ms >= oldest_ms
    }
