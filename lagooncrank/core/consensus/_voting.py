"""What a node with a disk does beside consensus: first start and joining."""

from collections.abc import Collection
from typing import Any
from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _genesis
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _participation
from lagooncrank.core.consensus import _voter_changes

JOIN_INTERVAL_MS: Final = 300
#: A request to join is forgotten when it was not repeated for this long.
JOIN_TIMEOUT_MS: Final = 3_000
#: Between two steps of a replacement the loss of another disk is not borne.
CHANGE_INTERVAL_MS: Final = 50
#: A voter that did not answer for this long does not count as heard.
HEARD_MS: Final = 1_000
#: A voter that did not answer for this long may be replaced.
REPLACE_AFTER_MS: Final = 3_000

#: Messages that go to `Node.receive`.
NODE_MESSAGES = (
    _messages.VoteRequest,
    _messages.VoteReply,
    _messages.AppendRequest,
    _messages.AppendReply,
    _messages.InstallSnapshot,
)


class Voting:
    """Brings a disk into the voter set, and as leader brings others in."""

    def __init__(
        self,
        own: _messages.Voter,
        node: _node.Node,
        setup: _participation.ParticipantConfig,
    ) -> None:
        self._own = own
        self._node = node
        self._voter_node_ids = setup.voter_node_ids
        self._voter_target = setup.target_voter_count
        self._genesis = _genesis.Genesis(
            own, setup.voter_node_ids, may_bootstrap=setup.may_bootstrap
        )
        #: Nodes with a link, which are asked beside the settings' voters.
        self.peers: frozenset[model.NodeId] = frozenset()
        #: When this node last began to lead; earlier silence is not known.
        self._leads_since_ms: int | None = None
        self._found: _messages.VoterSet | None = None
        self._joining: dict[_messages.Voter, int] = {}
        self._asked_ms = 0
        self._changed_ms = 0
        self._outbox: list[tuple[model.NodeId, Any]] = []

    def tick(self, now_ms: int) -> None:
        """Does what is due."""
        self._node.tick(now_ms)
        voters = self._node.status.voters
        if voters is None:
            self._outbox += self._genesis.due(now_ms)
            self._found = self._found or self._genesis.found(None)
        if self._is_outside(voters):
            self._ask_to_join(now_ms)
        if self._node.status.role is not _context.Role.LEADER:
            self._leads_since_ms = None
            return
        if self._leads_since_ms is None:
            self._leads_since_ms = now_ms
        self._change_voters(now_ms)

    def receive(self, sender: model.NodeId, body: Any, now_ms: int) -> None:
        """Takes a message; those of unknown type are ignored."""
        if isinstance(body, NODE_MESSAGES):
            self._node.receive(body, now_ms)
        elif isinstance(body, _genesis.BootstrapRequest):
            reply = self._genesis.answer(body, self._node.status.voters)
            if reply is not None:
                self._outbox.append((sender, reply))
        elif isinstance(body, _genesis.BootstrapReply):
            self._on_blank_reply(body)
        elif isinstance(body, _voter_changes.JoinRequest):
            self._joining[body.voter] = now_ms

    def take_genesis(self) -> _messages.VoterSet | None:
        """Returns a first voter set that is to be stored."""
        found, self._found = self._found, None
        return found

    def take_messages(self) -> list[tuple[model.NodeId, Any]]:
        """Returns the messages to send."""
        messages, self._outbox = self._outbox, []
        return messages

    def _on_blank_reply(self, reply: _genesis.BootstrapReply) -> None:
        if self._node.status.voters is not None:
            return
        self._genesis.on_reply(reply)
        self._found = self._found or self._genesis.found(reply)

    def _is_outside(self, voters: _messages.VoterSet | None) -> bool:
        if voters is None:
            return self._genesis.is_replaced
        return self._own not in voters.members

    def _ask_to_join(self, now_ms: int) -> None:
        if now_ms - self._asked_ms < JOIN_INTERVAL_MS:
            return
        self._asked_ms = now_ms
        request = _voter_changes.JoinRequest(self._own)
        for node_id in self.peers.union(self._voter_node_ids):
            if node_id != self._own.node_id:
                self._outbox.append((node_id, request))

    def _wanted(
        self, present: _messages.VoterSet, now_ms: int
    ) -> Collection[model.NodeId]:
        """Returns the nodes that should vote."""
        if self._voter_target is None:
            return self._voter_node_ids
        since_ms = max(now_ms - REPLACE_AFTER_MS, 0)
        leads_since_ms = self._leads_since_ms or now_ms
        is_early = now_ms - leads_since_ms < REPLACE_AFTER_MS
        return _voter_changes.elastic_voters(
            present,
            tuple(self._joining),
            lambda v: is_early or self._node.heard_of(v, since_ms),
            self._voter_target,
        )

    def _change_voters(self, now_ms: int) -> None:
        if now_ms - self._changed_ms < CHANGE_INTERVAL_MS:
            return
        self._changed_ms = now_ms
        oldest_ms = now_ms - JOIN_TIMEOUT_MS
        self._joining = {
            v: at for v, at in self._joining.items() if at >= oldest_ms
        }
        present = self._node.status.voters
        if present is None:
            return
        change = _voter_changes.next_change(
            present,
            self._wanted(present, now_ms),
            tuple(self._joining),
            self._node.is_caught_up,
            lambda v: self._node.heard_of(v, now_ms - HEARD_MS),
        )
        if change is not None:
            self._node.change_voters(change)
