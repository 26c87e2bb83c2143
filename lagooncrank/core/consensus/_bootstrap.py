"""Bootstrap of the system: new voters agree on the initial voter set.

Each voter generates a random disk id when its data folder is initialized. The
voter with the lowest node id waits until every other voter has replied that
its disk holds no voter set. It then stores the set of all disks and returns it
to the voters that request it. A disk that is not in the set never votes under
it, so a replaced disk cannot start a second system next to the first.
"""

from collections.abc import Iterator
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _messages

REQUEST_INTERVAL_MS: Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapRequest:
    """Request of an uninitialized voter for another voter's voter set."""

    voter: _messages.Voter
    #: Voters in the sender's settings; two uninitialized voters reply to each
    #: other only if these are equal.
    node_ids: tuple[model.NodeId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapReply:
    """Reply to a `BootstrapRequest`."""

    voter: _messages.Voter
    #: Voter set of the sender; None if it is uninitialized as well.
    voters: _messages.VoterSet | None


class Bootstrap:
    """Determines the initial voter set for an uninitialized disk."""

    def __init__(
        self,
        own_voter: _messages.Voter,
        node_ids: tuple[model.NodeId, ...],
        *,
        may_bootstrap: bool = True,
    ) -> None:
        """Initializes the bootstrap.

        Args:
            own_voter: This node and its uninitialized disk.
            node_ids: Nodes that the settings name as voters.
            may_bootstrap: Whether this is the first start of the whole system;
                otherwise an uninitialized disk only joins an existing system.
        """
        self._own_voter = own_voter
        self._may_bootstrap = may_bootstrap
        self._node_ids = tuple(sorted(node_ids))
        self._uninitialized_voters = {own_voter.node_id: own_voter}
        self._last_request_ms: int | None = None
        #: Whether the voter set of an existing system lacks this disk.
        self.is_excluded = False

    def due_requests(
        self, now_ms: int
    ) -> Iterator[tuple[model.NodeId, BootstrapRequest]]:
        """Yields the requests that are due, with their destinations."""
        last_request_ms = self._last_request_ms
        if (
            last_request_ms is not None
            and now_ms - last_request_ms < REQUEST_INTERVAL_MS
        ):
            return
        self._last_request_ms = now_ms
        request = BootstrapRequest(self._own_voter, self._node_ids)
        for node_id in self._node_ids:
            if node_id != self._own_voter.node_id:
                yield node_id, request

    def reply_to(
        self, request: BootstrapRequest, voters: _messages.VoterSet | None
    ) -> BootstrapReply | None:
        """Returns the reply to a request.

        Returns None if both sides are uninitialized and their settings differ.
        """
        if voters is None and request.node_ids != self._node_ids:
            return None
        return BootstrapReply(self._own_voter, voters)

    def on_reply(self, reply: BootstrapReply) -> None:
        """Processes a reply."""
        if reply.voters is None:
            self._uninitialized_voters[reply.voter.node_id] = reply.voter
        elif self._own_voter not in reply.voters.members:
            self.is_excluded = True

    def initial_voters(
        self, reply: BootstrapReply | None
    ) -> _messages.VoterSet | None:
        """Returns the voter set to store, or None while it is unknown.

        Args:
            reply: Reply just received; None to check the replies so far.
        """
        if reply is not None and reply.voters is not None:
            return (
                reply.voters if self._own_voter in reply.voters.voters else None
            )
        is_coordinator = self._own_voter.node_id == self._node_ids[0]
        if self.is_excluded or not is_coordinator or not self._may_bootstrap:
            return None
        if set(self._uninitialized_voters) != set(self._node_ids):
            return None
        return _messages.VoterSet(
            tuple(sorted(self._uninitialized_voters.values()))
        )
