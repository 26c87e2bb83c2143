"""File operations that survive a crash at any point."""

import fcntl
import os
import pathlib

from lagooncrank.server.storage import _errors

FORMAT = "lagooncrank-data 1"
_FORMAT_NAME = "format"
_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".tmp"


class Folder:
    """A locked data folder."""

    def __init__(self, path: pathlib.Path, lock: int) -> None:
        self.path = path
        self._lock = lock

    @classmethod
    def open(cls, path: pathlib.Path) -> "Folder":
        """Locks the folder and checks its format, creating it if absent.

        Raises:
            FolderInUseError: Another process holds the lock.
            FormatVersionError: The folder has another format, or files but
                no format.
            WriteError: The folder cannot be written.
        """
        try:
            path.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            lock = os.open(path / _LOCK_NAME, flags, 0o600)
        except OSError as error:
            raise _errors.WriteError(path, error) from error
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise _errors.FolderInUseError(path) from error
        folder = cls(path, lock)
        try:
            folder._check_format()
        except _errors.StorageError:
            folder.close()
            raise
        return folder

    def close(self) -> None:
        """Gives the lock back."""
        os.close(self._lock)

    def write_whole(self, name: str, content: bytes) -> None:
        """Writes a file so that it is found whole or not at all.

        Raises:
            WriteError: The file cannot be written.
        """
        target = self.path / name
        temporary = self.path / (name + _TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        try:
            file = os.open(temporary, flags, 0o600)
            try:
                write_all(file, content)
                os.fsync(file)
            finally:
                os.close(file)
            os.rename(temporary, target)
            self._sync()
        except OSError as error:
            raise _errors.WriteError(target, error) from error

    def names(self, prefix: str) -> list[str]:
        """Returns the finished files that start with `prefix`, sorted."""
        return sorted(
            p.name
            for p in self.path.iterdir()
            if p.name.startswith(prefix) and p.suffix != _TEMPORARY_SUFFIX
        )

    def remove_others(self, prefix: str, kept: str) -> None:
        """Removes the files that start with `prefix`, except one.

        Raises:
            WriteError: A file cannot be removed.
        """
        try:
            for path in self.path.iterdir():
                if path.name.startswith(prefix) and path.name != kept:
                    path.unlink()
        except OSError as error:
            raise _errors.WriteError(self.path, error) from error

    def _check_format(self) -> None:
        path = self.path / _FORMAT_NAME
        if path.exists():
            found = path.read_text(encoding="utf-8").strip()
            if found != FORMAT:
                raise _errors.FormatVersionError(path, found, FORMAT)
            return
        ours = {_LOCK_NAME, _FORMAT_NAME + _TEMPORARY_SUFFIX}
        if any(p.name not in ours for p in self.path.iterdir()):
            raise _errors.FormatVersionError(path, "", FORMAT)
        self.write_whole(_FORMAT_NAME, FORMAT.encode() + b"\n")

    def _sync(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)


def write_all(file: int, content: bytes) -> None:
    """Writes every byte of `content`.

    Raises:
        OSError: The disk is full or failed.
    """
    rest = memoryview(content)
    while rest:
        written = os.write(file, rest)
        rest = rest[written:]
