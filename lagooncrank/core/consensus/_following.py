"""What a node does with the messages of a leader."""

from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _messages


class Following:
    """Takes entries and snapshots from the leader of the term."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._installed: _messages.Snapshot | None = None

    def on_append(self, request: _messages.AppendRequest, now_ms: int) -> None:
        """Takes entries, or tells the leader where the logs part."""
        if not self._follow(request.term, request.leader, now_ms):
            self._reply(request, False, 0)
            return
        log = self._context.log
        if not self._agrees(request.prev_index, request.prev_term):
            hint = min(request.prev_index - 1, log.last_index)
            self._reply(request, False, max(hint, 0))
            return
        log.merge(request.entries, self._context.commit_index)
        match_index = request.prev_index + len(request.entries)
        self._commit(min(request.commit_index, match_index))
        self._reply(request, True, match_index)

    def on_snapshot(
        self, request: _messages.InstallSnapshot, now_ms: int
    ) -> None:
        """Takes a snapshot unless this node has applied as much."""
        if not self._follow(request.term, request.leader, now_ms):
            self._reply(request, False, 0)
            return
        snapshot = request.snapshot
        if snapshot.last_index > self._context.commit_index:
            self._context.log.install(snapshot)
            self._context.commit_index = snapshot.last_index
            self._installed = snapshot
        self._reply(request, True, snapshot.last_index)

    def take_installed(self) -> _messages.Snapshot | None:
        """Returns a snapshot that storage and state were not yet given."""
        installed = self._installed
        self._installed = None
        return installed

    def _agrees(self, prev_index: int, prev_term: int) -> bool:
        log = self._context.log
        if prev_index < log.snapshot_index:
            return True
        return log.term_at(prev_index) == prev_term

    def _follow(self, term: int, leader: _messages.Voter, now_ms: int) -> bool:
        context = self._context
        if term < context.term:
            return False
        context.become_follower(term, leader, now_ms)
        context.heard_ms = now_ms
        return True

    def _commit(self, index: int) -> None:
        context = self._context
        context.commit_index = max(context.commit_index, index)

    def _reply(
        self,
        request: _messages.AppendRequest | _messages.InstallSnapshot,
        accepted: bool,
        match_index: int,
    ) -> None:
        context = self._context
        reply = _messages.AppendReply(
            context.term,
            context.own,
            accepted,
            match_index,
            request.round,
            request.sent_ms,
        )
        context.send(request.leader, reply)
