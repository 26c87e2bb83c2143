"""First start of the system: blank voters agree on the first voter set.

Each voter draws its disk id when its folder is first written. The voter with
the lowest node id waits until every other voter answers with a blank disk,
then writes the set of all disks and tells it to whoever asks. A disk that is
not in the set never votes by it, so a replaced disk cannot start a second
system beside the first.
"""

from collections.abc import Iterator
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _messages

HELLO_INTERVAL_MS: Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapRequest:
    """A voter with a blank disk asks another what it knows."""

    voter: _messages.Voter
    #: Voters of the sender's settings; both sides must agree.
    node_ids: tuple[model.NodeId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapReply:
    """Answers a `BootstrapRequest`."""

    voter: _messages.Voter
    #: Voter set that the sender holds; None when it is blank too.
    voters: _messages.VoterSet | None


class Genesis:
    """Looks for the voter set on behalf of a blank disk."""

    def __init__(
        self,
        own: _messages.Voter,
        node_ids: tuple[model.NodeId, ...],
        *,
        may_bootstrap: bool = True,
    ) -> None:
        """Prepares the search.

        Args:
            own: The blank disk.
            node_ids: Voters of the first start.
            may_bootstrap: Whether this is the first start of the whole system;
                otherwise a blank disk only joins what exists.
        """
        self._own = own
        self._may_bootstrap = may_bootstrap
        self._node_ids = tuple(sorted(node_ids))
        self._blank = {own.node_id: own}
        self._asked_ms: int | None = None
        #: Whether a system exists that does not know this disk.
        self.is_replaced = False

    def due(
        self, now_ms: int
    ) -> Iterator[tuple[model.NodeId, BootstrapRequest]]:
        """Yields the hellos to send now."""
        asked_ms = self._asked_ms
        if asked_ms is not None and now_ms - asked_ms < HELLO_INTERVAL_MS:
            return
        self._asked_ms = now_ms
        hello = BootstrapRequest(self._own, self._node_ids)
        for node_id in self._node_ids:
            if node_id != self._own.node_id:
                yield node_id, hello

    def answer(
        self, hello: BootstrapRequest, voters: _messages.VoterSet | None
    ) -> BootstrapReply | None:
        """Answers a hello; blank sides with different settings do not."""
        if voters is None and hello.node_ids != self._node_ids:
            return None
        return BootstrapReply(self._own, voters)

    def on_reply(self, reply: BootstrapReply) -> None:
        """Takes an answer."""
        if reply.voters is None:
            self._blank[reply.voter.node_id] = reply.voter
        elif self._own not in reply.voters.members:
            self.is_replaced = True

    def found(self, reply: BootstrapReply | None) -> _messages.VoterSet | None:
        """Returns the voter set to adopt, if it is known."""
        if reply is not None and reply.voters is not None:
            return reply.voters if self._own in reply.voters.voters else None
        is_first = self._own.node_id == self._node_ids[0]
        if self.is_replaced or not is_first or not self._may_bootstrap:
            return None
        if set(self._blank) != set(self._node_ids):
            return None
        return _messages.VoterSet(tuple(sorted(self._blank.values())))
