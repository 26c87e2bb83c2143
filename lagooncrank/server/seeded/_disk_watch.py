"""Ends a control node whose disk takes writes again after a failure.

After a failed write it is not known which bytes are on disk, so the voter
stops for as long as its process runs. A restart reads what is there, and cuts
off an incomplete end.
"""

import pathlib
from typing import Final

import mode

from lagooncrank.server import _shared_state
from lagooncrank.server import storage

CHECK_INTERVAL_S: Final = 0.25


class RestartNeededError(Exception):
    """The disk takes writes again; the voter needs a new process."""


class DiskWatch(mode.Service):  # type: ignore[misc, unused-ignore]
    """Waits until the disk of a stopped voter takes writes."""

    def __init__(
        self, shared: _shared_state.ReplicatedState, data_folder: str
    ) -> None:
        super().__init__()
        self._shared = shared
        self._folder = pathlib.Path(data_folder)

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _check_periodically(self) -> None:
        self.check()

    def check(self) -> None:
        """Checks the disk if the voter has stopped.

        Raises:
            RestartNeededError: The disk takes writes again.
        """
        if self._shared.has_failed_to_write and storage.takes_writes(
            self._folder
        ):
            raise RestartNeededError("the disk takes writes again")
