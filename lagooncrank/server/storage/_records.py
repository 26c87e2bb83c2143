"""Content of the frames of a log file."""

import dataclasses

from lagooncrank.core import consensus


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """First frame of a log file: all that the files before it held."""

    voter: consensus.Voter
    #: Last index of the snapshot file that goes with the log; 0 for none.
    snapshot_index: int
    hard_state: consensus.HardState
    genesis: consensus.VoterSet | None
    entries: tuple[consensus.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """A later frame: what one sync made durable."""

    hard_state: consensus.HardState | None
    #: Replace the stored ones from the first one's index on.
    entries: tuple[consensus.Entry, ...]
