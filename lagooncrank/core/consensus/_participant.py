"""One node's participation in the replicated state, free of I/O.

A node with a data folder has a `Node` and votes once the voter set contains its
disk. A node without one follows an upstream. Both apply committed entries,
submit proposals, confirm reads and track the age of the last quorum contact.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from lagooncrank import model
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _participant_types
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _proposal_deduplication
from lagooncrank.core.consensus import _proposals
from lagooncrank.core.consensus import _relay
from lagooncrank.core.consensus import _voter_membership


class Participant:
    """Replicates the shared state on one node.

    After any event the caller makes the `pending_output` durable and passes it
    to `complete`, then delivers the messages and results that this returns.
    """

    def __init__(
        self,
        config: _participant_types.ParticipantConfig,
        node: _node.Node | None,
        own_voter: _messages.Voter | None,
        applier: _participant_types.Applier,
        durable: _messages.DurableState,
    ) -> None:
        self._config = config
        self._node = node
        self._applier = applier
        self.applied_index = 0
        self._applied_term = 0
        #: Time of the first tick.
        self._started_ms: int | None = None
        self._outbox: list[_participant_types.OutgoingMessage] = []
        self._settled: list[_proposals.SettledProposal] = []
        self._contact = _relay.QuorumContact()
        self._publisher = _relay.EntryPublisher(1, _polling.FOLLOWER_TIMEOUT_MS)
        self._cached_transfer: _relay.StateTransfer | None = None
        self._proposals = _proposals.PendingProposals()
        self._reads = _polling.PendingReads()
        self._poller = _polling.Poller(config.upstreams)
        self._deduplicator = _proposal_deduplication.ProposalDeduplicator()
        self._voter_membership: _voter_membership.VoterMembership | None = None
        if node is not None and own_voter is not None:
            self._voter_membership = _voter_membership.VoterMembership(
                own_voter, node, config
            )
        if durable.snapshot is not None:
            snapshot = durable.snapshot
            self._restore(
                snapshot.last_index, snapshot.last_term, snapshot.data
            )

    @property
    def term(self) -> int:
        """Newest term known to this node."""
        return self._term_and_leader()[0]

    @property
    def leader(self) -> model.NodeId | None:
        """Leader of that term, if known."""
        return self._term_and_leader()[1]

    @property
    def voters(self) -> _messages.VoterSet | None:
        """Voter set in this node's log; None on a node without a disk."""
        return self._node.status.voters if self._node else None

    def has_caught_up(self, now_ms: int) -> bool:
        """Whether all entries committed at the last contact are applied.

        The contact must be recent: the upstream may be cut off from the
        quorum. If none is to be had for some time, the last one counts.
        """
        age_ms = self._contact.age_ms(now_ms)
        if age_ms is None or self.applied_index < self._contact.commit_index:
            return False
        if age_ms < _polling.STALE_CONTACT_AGE_MS:
            return True
        started_ms = self._started_ms
        if started_ms is None:
            return False
        return now_ms - started_ms >= _polling.STALE_START_WAIT_MS

    @property
    def upstream(self) -> model.NodeId | None:
        """Node that this one follows; None on a node with a disk."""
        return None if self._node is not None else self._poller.upstream

    def followers(self, now_ms: int) -> frozenset[model.NodeId]:
        """Returns the nodes that follow this one."""
        return self._publisher.followers(now_ms)

    def set_peers(
        self,
        upstreams: tuple[model.NodeId, ...],
        linked: frozenset[model.NodeId],
    ) -> None:
        """Replaces the upstream candidates and the linked nodes."""
        self._config = dataclasses.replace(
            self._config, upstreams=upstreams, linked=linked
        )
        self._poller.set_upstreams(upstreams)
        if self._voter_membership is not None:
            self._voter_membership.peers = linked

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether this node is the leader and holds the leader lease."""
        return self._node is not None and self._node.has_leader_lease(now_ms)

    def contact_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the last quorum contact; None before the first."""
        return self._contact.age_ms(now_ms)

    def observe(self, missed_ms: int) -> None:
        """Sets the time in which this process stood still, in all.

        Call it before `receive` and `tick`.
        """
        if self._voter_membership is not None:
            self._voter_membership.observe(missed_ms)

    def leave(self, now_ms: int) -> None:
        """Begins to hand over what others need of this node before it stops.

        A leader lets another voter lead; a voter lets a learner replace it.
        """
        if self._voter_membership is not None:
            self._voter_membership.leave(now_ms)

    def may_stop(self, now_ms: int) -> bool:
        """Whether nothing is left to hand over, or it has taken too long."""
        membership = self._voter_membership
        return membership is None or membership.may_stop(now_ms)

    def tick(self, now_ms: int) -> None:
        """Runs due timers; call it about every 50 ms."""
        if self._started_ms is None:
            self._started_ms = now_ms
        if self._voter_membership is not None:
            self._voter_membership.tick(now_ms)
        self._poll(now_ms)
        self._settled += self._proposals.expire(now_ms)

    def propose(
        self, proposal: _messages.ProposalId, data: bytes, deadline_ms: int
    ) -> None:
        """Submits a command; a `SettledProposal` follows by the deadline."""
        self._proposals.add(proposal, data, deadline_ms)

    def read(self, read_id: int, now_ms: int) -> None:
        """Starts a read.

        The read is confirmed once all entries committed before now are applied.
        """
        self._reads.add(read_id, now_ms)
        self._poll(now_ms)

    def cancel_read(self, read_id: int) -> None:
        """Cancels a read."""
        self._reads.cancel(read_id)

    def receive(self, sender: model.NodeId, body: Any, now_ms: int) -> None:
        """Handles a message from a peer link.

        Raises:
            CommittedEntryError: A leader tried to replace a committed entry.
        """
        match body:
            case _relay.PollRequest():
                self._on_poll(sender, body, now_ms)
            case _relay.PollReply():
                self._on_poll_reply(sender, body, now_ms)
            case _proposals.ForwardedProposal():
                self._route_proposal(body)
            case _proposals.ProposalRefusal():
                self._proposals.on_refusal(body)
            case _:
                if self._voter_membership is not None:
                    self._voter_membership.receive(sender, body, now_ms)

    def pending_output(self, now_ms: int) -> _participant_types.PendingOutput:
        """Returns the output to make durable before calling `complete`."""
        self._submit_proposals(now_ms)
        if self._node is None or self._voter_membership is None:
            return _participant_types.PendingOutput()
        initial_voters = self._voter_membership.take_initial_voters()
        return _participant_types.PendingOutput(
            self._node.take_output(now_ms), initial_voters
        )

    def complete(
        self, pending_output: _participant_types.PendingOutput, now_ms: int
    ) -> _participant_types.ReleasedOutput:
        """Processes output that the caller has made durable.

        Applies the committed entries and returns the messages to send, the
        settled proposals and the confirmed reads.
        """
        if pending_output.initial_voters is not None and self._node is not None:
            self._node.set_initial_voters(pending_output.initial_voters, now_ms)
        if pending_output.output is not None:
            self._process_output(pending_output.output)
        if self._node is not None:
            self._update_leader_contact(self._node, now_ms)
        if self._voter_membership is not None:
            self._outbox += [
                _participant_types.OutgoingMessage(to, body)
                for to, body in self._voter_membership.take_messages()
            ]
        self._outbox += [
            _participant_types.OutgoingMessage(n, self._poll_reply(entries))
            for n, entries in self._publisher.pending_pushes(now_ms)
        ]
        released = _participant_types.ReleasedOutput(
            tuple(self._outbox),
            tuple(self._settled),
            self._reads.take_confirmed(self._contact, self.applied_index),
        )
        self._outbox.clear()
        self._settled.clear()
        return released

    def compact(self) -> _messages.Snapshot | None:
        """Replaces the applied part of the log with a snapshot to store."""
        if self._node is None or self.applied_index == 0:
            return None
        return self._node.compact(self.applied_index, self._applier.snapshot())

    def _term_and_leader(self) -> tuple[int, model.NodeId | None]:
        if self._node is not None:
            status = self._node.status
            return status.term, status.leader
        return self._poller.term, self._poller.leader

    def _process_output(self, output: _messages.Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            self._restore(
                snapshot.last_index, snapshot.last_term, snapshot.data
            )
        self._apply(output.committed)
        self._outbox += [
            _participant_types.OutgoingMessage(e.to, e.message)
            for e in output.messages
        ]

    def _apply(self, entries: Sequence[_messages.Entry]) -> None:
        for entry in entries:
            if entry.index != self.applied_index + 1:
                continue
            outcome = self._applier.apply(entry)
            self.applied_index = entry.index
            self._applied_term = entry.term
            self._publisher.add(entry)
            settled = self._proposals.on_applied(entry, outcome)
            if settled is not None:
                self._settled.append(settled)

    def _restore(self, last_index: int, last_term: int, data: bytes) -> None:
        if last_index <= self.applied_index:
            return
        self._applier.restore(data)
        self.applied_index = last_index
        self._applied_term = last_term
        self._publisher.reset(last_index + 1)
        self._settled += self._proposals.on_snapshot(last_term)

    def _update_leader_contact(self, node: _node.Node, now_ms: int) -> None:
        contact_ms = node.contact_ms(now_ms)
        if contact_ms is not None:
            self._contact.update(contact_ms, node.status.commit_index)

    def _submit_proposals(self, now_ms: int) -> None:
        term, leader = self._term_and_leader()
        if leader is None:
            return
        for proposal in self._proposals.due_submissions(term, leader, now_ms):
            self._route_proposal(proposal)

    def _route_proposal(self, forwarded: _proposals.ForwardedProposal) -> None:
        """Appends a proposal if this node is its leader, else forwards it."""
        to: model.NodeId | None = forwarded.leader
        if to == self._config.node_id:
            self._append_as_leader(forwarded)
            return
        if to not in self._config.linked:
            to = self._poller.upstream
        if to is not None:
            self._outbox.append(
                _participant_types.OutgoingMessage(to, forwarded)
            )

    def _append_as_leader(
        self, forwarded: _proposals.ForwardedProposal
    ) -> None:
        if self._deduplicator.append_once(self._node, forwarded):
            return
        origin = forwarded.proposal.node_id
        refusal = _proposals.ProposalRefusal(forwarded.proposal, forwarded.term)
        if origin == self._config.node_id:
            self._proposals.on_refusal(refusal)
        else:
            self._outbox.append(
                _participant_types.OutgoingMessage(origin, refusal)
            )

    def _poll(self, now_ms: int) -> None:
        leader = self._term_and_leader()[1]
        upstream = self._poller.upstream
        next_index: int | None = self.applied_index + 1
        if self._node is not None:
            upstream = leader
            next_index = None
        if upstream is None or upstream == self._config.node_id:
            return
        if self._poller.is_due(now_ms, urgent=self._reads.has_pending):
            request = _relay.PollRequest(next_index, now_ms)
            self._outbox.append(
                _participant_types.OutgoingMessage(upstream, request)
            )

    def _on_poll(
        self, sender: model.NodeId, request: _relay.PollRequest, now_ms: int
    ) -> None:
        entries: Sequence[_messages.Entry] = ()
        transfer = None
        if request.next_index is not None:
            retained = self._publisher.entries_for(
                sender,
                request.next_index,
                now_ms,
                lambda: len(self._state_transfer().data),
            )
            entries = retained or ()
            transfer = self._state_transfer() if retained is None else None
        if self._node is not None:
            self._update_leader_contact(self._node, now_ms)
        reply = dataclasses.replace(
            self._poll_reply(entries),
            sent_ms=request.sent_ms,
            contact_age_ms=self._contact.age_ms(now_ms),
            transfer=transfer,
        )
        self._outbox.append(_participant_types.OutgoingMessage(sender, reply))

    def _on_poll_reply(
        self, sender: model.NodeId, reply: _relay.PollReply, now_ms: int
    ) -> None:
        self._poller.on_reply(sender, reply, now_ms)
        if self._node is None:
            if reply.transfer is not None:
                transfer = reply.transfer
                self._restore(
                    transfer.last_index, transfer.last_term, transfer.data
                )
            self._apply(reply.entries)
        if reply.sent_ms is not None and reply.contact_age_ms is not None:
            contact_ms = reply.sent_ms - reply.contact_age_ms
            self._contact.update(contact_ms, reply.commit_index)
        if reply.entries and self.applied_index < reply.commit_index:
            self._poller.make_due()
            self._poll(now_ms)

    def _poll_reply(
        self, entries: Sequence[_messages.Entry]
    ) -> _relay.PollReply:
        term, leader = self._term_and_leader()
        commit_index = max(self._contact.commit_index, self.applied_index)
        return _relay.PollReply(
            None, None, term, leader, commit_index, tuple(entries)
        )

    def _state_transfer(self) -> _relay.StateTransfer:
        """Returns the encoded state, cached until the next entry is applied."""
        cached = self._cached_transfer
        if cached is None or cached.last_index != self.applied_index:
            cached = _relay.StateTransfer(
                self.applied_index, self._applied_term, self._applier.snapshot()
            )
            self._cached_transfer = cached
        return cached
