"""Election of a leader, with a pre-vote before each new term."""

from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node_state


class Election:
    """Runs elections as a candidate and replies to other candidates."""

    def __init__(self, state: _node_state.NodeState) -> None:
        self._state = state
        self._granted_by: set[_messages.Voter] = set()

    def tick(self, now_ms: int) -> bool:
        """Starts an election once the deadline has passed.

        Returns:
            Whether this node won the election.
        """
        state = self._state
        if state.role is _node_state.Role.LEADER:
            return False
        if not state.is_voter:
            return False
        if state.observed_ms(now_ms) < state.election_deadline_ms:
            return False
        state.role = _node_state.Role.PRE_CANDIDATE
        state.leader = None
        return self._request_votes(now_ms, pre_vote=True)

    def on_timeout_now(
        self, message: _messages.TimeoutNow, now_ms: int
    ) -> bool:
        """Starts an election because the leader hands over its lead.

        Returns:
            Whether this node won the election.
        """
        state = self._state
        is_stale = message.term != state.term
        if is_stale or not state.is_voter:
            return False
        if state.role is _node_state.Role.LEADER:
            return False
        return self._start_election(now_ms, is_transfer=True)

    def on_request(self, request: _messages.VoteRequest, now_ms: int) -> None:
        """Replies to a candidate's vote request."""
        granted = self._try_grant(request, now_ms)
        term = self._state.term
        if granted and request.pre_vote:
            term = request.term
        reply = _messages.VoteReply(
            term, self._state.own_voter, granted, request.pre_vote
        )
        self._state.send(request.candidate, reply)

    def on_reply(self, reply: _messages.VoteReply, now_ms: int) -> bool:
        """Processes a vote reply.

        Returns:
            Whether this node won the election.
        """
        state = self._state
        if reply.term > state.term and not (reply.pre_vote and reply.granted):
            state.become_follower(reply.term, None, now_ms)
            return False
        if not reply.granted or not self._is_expected(reply):
            return False
        self._granted_by.add(reply.voter)
        return self._tally_votes(now_ms, reply.pre_vote)

    def _is_expected(self, reply: _messages.VoteReply) -> bool:
        state = self._state
        if reply.pre_vote:
            is_requested = state.role is _node_state.Role.PRE_CANDIDATE
            return is_requested and reply.term == state.term + 1
        is_requested = state.role is _node_state.Role.CANDIDATE
        return is_requested and reply.term == state.term

    def _try_grant(self, request: _messages.VoteRequest, now_ms: int) -> bool:
        state = self._state
        if request.term < state.term or state.log.voters is None:
            return False
        if self._must_refuse_votes(request, now_ms):
            return False
        is_up_to_date = state.log.is_candidate_up_to_date(
            request.last_index, request.last_term
        )
        if request.pre_vote:
            return is_up_to_date and request.term > state.term
        if request.term > state.term:
            state.become_follower(request.term, None, now_ms)
        if state.hard_state.voted_for not in (None, request.candidate):
            return False
        if not is_up_to_date or state.role is _node_state.Role.LEADER:
            return False
        state.set_hard_state(_messages.HardState(state.term, request.candidate))
        state.reset_election_deadline(now_ms)
        return True

    def _must_refuse_votes(
        self, request: _messages.VoteRequest, now_ms: int
    ) -> bool:
        state = self._state
        # A leader grants no votes; it steps down when it loses quorum contact.
        if state.role is _node_state.Role.LEADER:
            return True
        # A leader that has stepped down holds no lease any more.
        if request.is_transfer or request.candidate == state.leader:
            return False
        return state.may_have_live_leader(now_ms)

    def _start_election(self, now_ms: int, *, is_transfer: bool) -> bool:
        state = self._state
        state.role = _node_state.Role.CANDIDATE
        state.leader = None
        state.set_hard_state(
            _messages.HardState(state.term + 1, state.own_voter)
        )
        return self._request_votes(
            now_ms, pre_vote=False, is_transfer=is_transfer
        )

    def _request_votes(
        self, now_ms: int, *, pre_vote: bool, is_transfer: bool = False
    ) -> bool:
        state = self._state
        state.reset_election_deadline(now_ms)
        self._granted_by = {state.own_voter}
        term = state.term + 1 if pre_vote else state.term
        request = _messages.VoteRequest(
            term,
            state.own_voter,
            state.log.last_index,
            state.log.last_term,
            pre_vote,
            is_transfer,
        )
        voters = state.log.voters
        for voter in voters.voters if voters else ():
            if voter != state.own_voter:
                state.send(voter, request)
        return self._tally_votes(now_ms, pre_vote)

    def _tally_votes(self, now_ms: int, pre_vote: bool) -> bool:
        state = self._state
        voters = state.log.voters
        if voters is None:
            return False
        granted = self._granted_by.intersection(voters.voters)
        if len(granted) < voters.quorum:
            return False
        if not pre_vote:
            return True
        return self._start_election(now_ms, is_transfer=False)
