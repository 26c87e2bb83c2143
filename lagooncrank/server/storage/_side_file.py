"""Small file beside the log, replaced as a whole.

It holds what a node should remember over a restart although the log does not
contain it. Losing it is no fault: an unreadable file counts as absent.
"""

import secrets

from lagooncrank.server.storage import _errors
from lagooncrank.server.storage import _folder
from lagooncrank.server.storage import _frames


class SideFile:
    """A file in a locked data folder."""

    def __init__(self, folder: _folder.DataFolder, name: str) -> None:
        self._folder = folder
        self._name = name

    def read(self) -> bytes | None:
        """Returns the content of the file; None if it is absent or damaged.

        Raises:
            StorageError: The file cannot be read.
        """
        path = self._folder.path / self._name
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise _errors.StorageError(path, str(error)) from error
        frame = next(_frames.decode(path, data), None)
        return None if frame is None else frame.payload

    def write(self, content: bytes) -> None:
        """Replaces the file; returns once the content is on the disk.

        Raises:
            WriteError: The file cannot be written.
        """
        salt = secrets.token_bytes(_frames.SALT_BYTES)
        frame = _frames.encode(salt, 0, content)
        self._folder.write_atomically(self._name, salt + frame)
