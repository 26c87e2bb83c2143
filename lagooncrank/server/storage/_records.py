"""Records in the frames of a log file."""

import dataclasses

from lagooncrank.core import consensus


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """First record of a log file: the state that older log files held."""

    voter: consensus.Voter
    #: Last index of the snapshot that the log continues; 0 for none.
    snapshot_index: int
    hard_state: consensus.HardState
    genesis: consensus.VoterSet | None
    entries: tuple[consensus.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Every later record: the changes that one sync made durable."""

    hard_state: consensus.HardState | None
    #: Replace all stored entries from the index of the first one on.
    entries: tuple[consensus.Entry, ...]
