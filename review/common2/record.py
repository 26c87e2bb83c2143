"""Record of a run: what was sent, answered and run, with times."""

import pathlib
import time


class Record:
    """Writes one line for each event, and remembers the lines."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
