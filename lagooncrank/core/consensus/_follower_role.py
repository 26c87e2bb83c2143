"""Handling of messages from the leader."""

from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node_state


class FollowerRole:
    """Accepts entries and snapshots from the leader of the current term."""

    def __init__(self, state: _node_state.NodeState) -> None:
        self._state = state
        self._installed_snapshot: _messages.Snapshot | None = None

    def on_append(self, request: _messages.AppendRequest, now_ms: int) -> None:
        """Appends entries, or replies with the index to retry from."""
        if not self._accept_leader(request.term, request.leader, now_ms):
            self._reply(request, False, 0)
            return
        log = self._state.log
        if not self._matches_log(request.prev_index, request.prev_term):
            hint = min(request.prev_index - 1, log.last_index)
            self._reply(request, False, max(hint, 0))
            return
        log.merge(request.entries, self._state.commit_index)
        match_index = request.prev_index + len(request.entries)
        self._advance_commit_index(min(request.commit_index, match_index))
        self._reply(request, True, match_index)

    def on_snapshot(
        self, request: _messages.InstallSnapshot, now_ms: int
    ) -> None:
        """Installs a snapshot unless its entries are already committed here."""
        if not self._accept_leader(request.term, request.leader, now_ms):
            self._reply(request, False, 0)
            return
        snapshot = request.snapshot
        if snapshot.last_index > self._state.commit_index:
            self._state.log.install(snapshot)
            self._state.commit_index = snapshot.last_index
            self._installed_snapshot = snapshot
        self._reply(request, True, snapshot.last_index)

    def take_installed_snapshot(self) -> _messages.Snapshot | None:
        """Returns an installed snapshot not yet included in the output."""
        installed = self._installed_snapshot
        self._installed_snapshot = None
        return installed

    def _matches_log(self, prev_index: int, prev_term: int) -> bool:
        log = self._state.log
        if prev_index < log.snapshot_index:
            return True
        return log.term_at(prev_index) == prev_term

    def _accept_leader(
        self, term: int, leader: _messages.Voter, now_ms: int
    ) -> bool:
        state = self._state
        if term < state.term:
            return False
        state.become_follower(term, leader, now_ms)
        state.record_leader(now_ms)
        return True

    def _advance_commit_index(self, index: int) -> None:
        state = self._state
        state.commit_index = max(state.commit_index, index)

    def _reply(
        self,
        request: _messages.AppendRequest | _messages.InstallSnapshot,
        accepted: bool,
        match_index: int,
    ) -> None:
        state = self._state
        reply = _messages.AppendReply(
            state.term,
            state.own_voter,
            accepted,
            match_index,
            request.round,
            request.sent_ms,
        )
        state.send(request.leader, reply)
