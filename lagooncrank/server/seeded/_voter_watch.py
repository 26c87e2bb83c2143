"""Logs the voter set of a control node when it changes."""

from typing import Final

import mode

from lagooncrank import decisions
from lagooncrank.core import consensus
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _decision_log

CHECK_INTERVAL_S: Final = 0.2


class VoterWatch(mode.Service):  # type: ignore[misc, unused-ignore]
    """Logs each voter set that this node's consensus log has in force."""

    def __init__(
        self,
        shared: _shared_state.ReplicatedState,
        log: _decision_log.DecisionLog,
    ) -> None:
        super().__init__()
        self._shared = shared
        self._log = log
        self._logged: consensus.VoterSet | None = None

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _check_periodically(self) -> None:
        self.check()

    def check(self) -> None:
        """Logs the voter set if it differs from the one logged last."""
        voters = self._shared.voters
        if voters is None or voters == self._logged:
            return
        self._logged = voters
        self._log.write(
            decisions.Event.VOTERS,
            voters=[_label(v) for v in voters.voters],
            learners=[_label(v) for v in voters.learners],
        )


def _label(voter: consensus.Voter) -> str:
    """Returns the node of a voter and the start of its disk id.

    >>> from lagooncrank import model
    >>> _label(consensus.Voter(model.NodeId("10.1.0.43"), "90d1c3a4b5"))
    '10.1.0.43/90d1c3'
    """
    return f"{voter.node_id}/{voter.disk_id[:6]}"
