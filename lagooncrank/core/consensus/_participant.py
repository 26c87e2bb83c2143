"""Everything that one node does for the shared state, without input or output.

A node with a data folder holds a `Node` and votes once the voter set lists its
disk. A node without one follows an upstream. Both apply committed entries,
submit proposals, confirm reads and know the age of quorum contact.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from lagooncrank import model
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _participation
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _proposals
from lagooncrank.core.consensus import _relay
from lagooncrank.core.consensus import _submitting
from lagooncrank.core.consensus import _voting


class Participant:
    """One node's part in the shared state.

    After any event the caller takes `work`, makes it durable, and passes it
    to `complete`, whose result it may then send and answer.
    """

    def __init__(
        self,
        setup: _participation.ParticipantConfig,
        node: _node.Node | None,
        own: _messages.Voter | None,
        applier: _participation.Applier,
        durable: _messages.DurableState,
    ) -> None:
        self._setup = setup
        self._node = node
        self._applier = applier
        self.applied_index = 0
        self._applied_term = 0
        self._outbox: list[_participation.OutgoingMessage] = []
        self._settled: list[_proposals.SettledProposal] = []
        self._contact = _relay.Contact()
        self._publisher = _relay.Publisher(1, _polling.FOLLOWER_TIMEOUT_MS)
        self._last_transfer: _relay.StateTransfer | None = None
        self._proposals = _proposals.Proposals()
        self._reads = _polling.Reads()
        self._poller = _polling.Poller(setup.upstreams)
        self._acceptor = _submitting.Acceptor()
        self._voting: _voting.Voting | None = None
        if node is not None and own is not None:
            self._voting = _voting.Voting(own, node, setup)
        if durable.snapshot is not None:
            snapshot = durable.snapshot
            self._restore(
                snapshot.last_index, snapshot.last_term, snapshot.data
            )

    @property
    def term(self) -> int:
        """Newest term that this node knows of."""
        return self._leadership()[0]

    @property
    def leader(self) -> model.NodeId | None:
        """Leader of that term, if known."""
        return self._leadership()[1]

    @property
    def voters(self) -> _messages.VoterSet | None:
        """Voter set as this node's log has it; None without a disk."""
        return self._node.status.voters if self._node else None

    @property
    def has_caught_up(self) -> bool:
        """Whether what was committed at the last quorum contact is applied."""
        contact = self._contact
        is_known = contact.contact_ms is not None
        return is_known and self.applied_index >= contact.commit_index

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
        """Takes the nodes to follow and those with a link, as they change."""
        self._setup = dataclasses.replace(
            self._setup, upstreams=upstreams, linked=linked
        )
        self._poller.set_upstreams(upstreams)
        if self._voting is not None:
            self._voting.peers = linked

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether this node leads and its leader lease holds."""
        return self._node is not None and self._node.has_leader_lease(now_ms)

    def contact_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the last quorum contact; None before any."""
        return self._contact.age_ms(now_ms)

    def tick(self, now_ms: int) -> None:
        """Does what is due; call it about every 50 ms."""
        if self._voting is not None:
            self._voting.tick(now_ms)
        self._poll(now_ms)
        self._settled += self._proposals.expire(now_ms)

    def propose(
        self, proposal: _messages.ProposalId, data: bytes, deadline_ms: int
    ) -> None:
        """Submits a command; a `SettledProposal` follows by the deadline."""
        self._proposals.add(proposal, data, deadline_ms)

    def read(self, read_id: int, now_ms: int) -> None:
        """Asks to be told when all that committed before now is applied."""
        self._reads.add(read_id, now_ms)
        self._poll(now_ms)

    def cancel_read(self, read_id: int) -> None:
        """Gives up a read."""
        self._reads.forget(read_id)

    def receive(self, sender: model.NodeId, body: Any, now_ms: int) -> None:
        """Takes a message from a peer link.

        Raises:
            CommittedEntryError: A leader contradicts a committed entry.
        """
        match body:
            case _relay.PollRequest():
                self._on_poll(sender, body, now_ms)
            case _relay.PollReply():
                self._on_poll_reply(sender, body, now_ms)
            case _proposals.ForwardedProposal():
                self._pass_on(body)
            case _proposals.ProposalRefusal():
                self._proposals.on_refusal(body)
            case _:
                if self._voting is not None:
                    self._voting.receive(sender, body, now_ms)

    def pending_output(self, now_ms: int) -> _participation.PendingOutput:
        """Returns what must be made durable now."""
        self._submit(now_ms)
        if self._node is None or self._voting is None:
            return _participation.PendingOutput()
        initial_voters = self._voting.take_genesis()
        return _participation.PendingOutput(
            self._node.drain(now_ms), initial_voters
        )

    def complete(
        self, pending_output: _participation.PendingOutput, now_ms: int
    ) -> _participation.ReleasedOutput:
        """Applies and sends what `work` made possible, once it is durable."""
        if pending_output.initial_voters is not None and self._node is not None:
            self._node.adopt(pending_output.initial_voters, now_ms)
        if pending_output.output is not None:
            self._take_output(pending_output.output)
        if self._node is not None:
            self._renew_as_leader(self._node, now_ms)
        if self._voting is not None:
            self._outbox += [
                _participation.OutgoingMessage(to, body)
                for to, body in self._voting.take_messages()
            ]
        self._outbox += [
            _participation.OutgoingMessage(n, self._reply(entries))
            for n, entries in self._publisher.pushes(now_ms)
        ]
        result = _participation.ReleasedOutput(
            tuple(self._outbox),
            tuple(self._settled),
            self._reads.take_confirmed(self._contact, self.applied_index),
        )
        self._outbox.clear()
        self._settled.clear()
        return result

    def compact(self) -> _messages.Snapshot | None:
        """Replaces the applied part of the log by a snapshot to store."""
        if self._node is None or self.applied_index == 0:
            return None
        return self._node.compact(self.applied_index, self._applier.snapshot())

    def _leadership(self) -> tuple[int, model.NodeId | None]:
        if self._node is not None:
            status = self._node.status
            return status.term, status.leader
        return self._poller.term, self._poller.leader

    def _take_output(self, output: _messages.Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            self._restore(
                snapshot.last_index, snapshot.last_term, snapshot.data
            )
        self._apply(output.committed)
        self._outbox += [
            _participation.OutgoingMessage(e.to, e.message)
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

    def _renew_as_leader(self, node: _node.Node, now_ms: int) -> None:
        contact_ms = node.contact_ms(now_ms)
        if contact_ms is not None:
            self._contact.renew(contact_ms, node.status.commit_index)

    def _submit(self, now_ms: int) -> None:
        term, leader = self._leadership()
        if leader is None:
            return
        for proposal in self._proposals.due(term, leader, now_ms):
            self._pass_on(proposal)

    def _pass_on(self, proposal: _proposals.ForwardedProposal) -> None:
        """Takes a proposal as its leader, or sends it toward the leader."""
        to: model.NodeId | None = proposal.leader
        if to == self._setup.node_id:
            self._accept(proposal)
            return
        if to not in self._setup.linked:
            to = self._poller.upstream
        if to is not None:
            self._outbox.append(_participation.OutgoingMessage(to, proposal))

    def _accept(self, proposal: _proposals.ForwardedProposal) -> None:
        if self._acceptor.accept(self._node, proposal):
            return
        origin = proposal.proposal.node_id
        refusal = _proposals.ProposalRefusal(proposal.proposal, proposal.term)
        if origin == self._setup.node_id:
            self._proposals.on_refusal(refusal)
        else:
            self._outbox.append(_participation.OutgoingMessage(origin, refusal))

    def _poll(self, now_ms: int) -> None:
        leader = self._leadership()[1]
        upstream = self._poller.upstream
        next_index: int | None = self.applied_index + 1
        if self._node is not None:
            upstream = leader
            next_index = None
        if upstream is None or upstream == self._setup.node_id:
            return
        if self._poller.is_due(now_ms, urgent=self._reads.are_pending):
            request = _relay.PollRequest(next_index, now_ms)
            self._outbox.append(
                _participation.OutgoingMessage(upstream, request)
            )

    def _on_poll(
        self, sender: model.NodeId, request: _relay.PollRequest, now_ms: int
    ) -> None:
        entries: Sequence[_messages.Entry] = ()
        transfer = None
        if request.next_index is not None:
            kept = self._publisher.answer(
                sender,
                request.next_index,
                now_ms,
                lambda: len(self._transfer().data),
            )
            entries = kept or ()
            transfer = self._transfer() if kept is None else None
        if self._node is not None:
            self._renew_as_leader(self._node, now_ms)
        reply = dataclasses.replace(
            self._reply(entries),
            sent_ms=request.sent_ms,
            contact_age_ms=self._contact.age_ms(now_ms),
            transfer=transfer,
        )
        self._outbox.append(_participation.OutgoingMessage(sender, reply))

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
            self._contact.renew(contact_ms, reply.commit_index)
        if reply.entries and self.applied_index < reply.commit_index:
            self._poller.hurry()
            self._poll(now_ms)

    def _reply(self, entries: Sequence[_messages.Entry]) -> _relay.PollReply:
        term, leader = self._leadership()
        commit_index = max(self._contact.commit_index, self.applied_index)
        return _relay.PollReply(
            None, None, term, leader, commit_index, tuple(entries)
        )

    def _transfer(self) -> _relay.StateTransfer:
        """Returns the state, encoded once for all that ask at this index."""
        known = self._last_transfer
        if known is None or known.last_index != self.applied_index:
            known = _relay.StateTransfer(
                self.applied_index, self._applied_term, self._applier.snapshot()
            )
            self._last_transfer = known
        return known
