"""Election of a leader, with a pre-vote before each new term."""

from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _messages


class Election:
    """Stands for election and answers candidates."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._granted: set[_messages.Voter] = set()

    def tick(self, now_ms: int) -> bool:
        """Stands for election once the deadline passed.

        Returns:
            Whether this node has won.
        """
        context = self._context
        if context.role is _context.Role.LEADER:
            return False
        if now_ms < context.election_deadline_ms or not context.is_voter:
            return False
        context.role = _context.Role.PRE_CANDIDATE
        context.leader = None
        return self._ask(now_ms, pre_vote=True)

    def on_request(self, request: _messages.VoteRequest, now_ms: int) -> None:
        """Answers a candidate."""
        granted = self._grants(request, now_ms)
        term = self._context.term
        if granted and request.pre_vote:
            term = request.term
        reply = _messages.VoteReply(
            term, self._context.own, granted, request.pre_vote
        )
        self._context.send(request.candidate, reply)

    def on_reply(self, reply: _messages.VoteReply, now_ms: int) -> bool:
        """Counts an answer.

        Returns:
            Whether this node has won.
        """
        context = self._context
        if reply.term > context.term and not (reply.pre_vote and reply.granted):
            context.become_follower(reply.term, None, now_ms)
            return False
        if not reply.granted or not self._awaits(reply):
            return False
        self._granted.add(reply.voter)
        return self._count(now_ms, reply.pre_vote)

    def _awaits(self, reply: _messages.VoteReply) -> bool:
        context = self._context
        if reply.pre_vote:
            asked = context.role is _context.Role.PRE_CANDIDATE
            return asked and reply.term == context.term + 1
        asked = context.role is _context.Role.CANDIDATE
        return asked and reply.term == context.term

    def _grants(self, request: _messages.VoteRequest, now_ms: int) -> bool:
        context = self._context
        if request.term < context.term or context.log.voters is None:
            return False
        if self._has_leader(now_ms):
            return False
        up_to_date = context.log.is_behind(
            request.last_index, request.last_term
        )
        if request.pre_vote:
            return up_to_date and request.term > context.term
        if request.term > context.term:
            context.become_follower(request.term, None, now_ms)
        if context.hard_state.voted_for not in (None, request.candidate):
            return False
        if not up_to_date or context.role is _context.Role.LEADER:
            return False
        context.save(_messages.HardState(context.term, request.candidate))
        context.reset_election_deadline(now_ms)
        return True

    def _has_leader(self, now_ms: int) -> bool:
        # A leader keeps its own promise; it leaves by losing its quorum.
        if self._context.role is _context.Role.LEADER:
            return True
        return self._context.is_promised(now_ms)

    def _ask(self, now_ms: int, *, pre_vote: bool) -> bool:
        context = self._context
        context.reset_election_deadline(now_ms)
        self._granted = {context.own}
        term = context.term + 1 if pre_vote else context.term
        request = _messages.VoteRequest(
            term,
            context.own,
            context.log.last_index,
            context.log.last_term,
            pre_vote,
        )
        voters = context.log.voters
        for voter in voters.voters if voters else ():
            if voter != context.own:
                context.send(voter, request)
        return self._count(now_ms, pre_vote)

    def _count(self, now_ms: int, pre_vote: bool) -> bool:
        context = self._context
        voters = context.log.voters
        if voters is None:
            return False
        granted = self._granted.intersection(voters.voters)
        if len(granted) < voters.quorum:
            return False
        if not pre_vote:
            return True
        context.role = _context.Role.CANDIDATE
        context.save(_messages.HardState(context.term + 1, context.own))
        return self._ask(now_ms, pre_vote=False)
