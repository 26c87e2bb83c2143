"""Crash-safe file operations in a locked data folder."""

import fcntl
import os
import pathlib

from lagooncrank.server.storage import _errors

FORMAT = "lagooncrank-data 1"
_FORMAT_NAME = "format"
_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".tmp"
_PROBE_NAME = "probe" + _TEMPORARY_SUFFIX
#: As much as a voter writes in a moment.
_PROBE_BYTES = 65_536


class DataFolder:
    """A data folder that this process has locked."""

    def __init__(self, path: pathlib.Path, lock_fd: int) -> None:
        self.path = path
        self._lock_fd = lock_fd

    @classmethod
    def open(cls, path: pathlib.Path) -> "DataFolder":
        """Locks the folder and checks its format, creating it if absent.

        Raises:
            FolderInUseError: Another process holds the lock.
            FormatVersionError: The folder has another format, or it has files
                but no format file.
            WriteError: The folder cannot be created or written.
        """
        try:
            path.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            lock_fd = os.open(path / _LOCK_NAME, flags, 0o600)
        except OSError as error:
            raise _errors.WriteError(path, error) from error
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock_fd)
            raise _errors.FolderInUseError(path) from error
        folder = cls(path, lock_fd)
        try:
            folder._check_format()
        except _errors.StorageError:
            folder.close()
            raise
        return folder

    def close(self) -> None:
        """Releases the lock."""
        os.close(self._lock_fd)

    def write_atomically(self, name: str, content: bytes) -> None:
        """Writes a file that is complete after a crash, or absent.

        Raises:
            WriteError: The file cannot be written.
        """
        target = self.path / name
        temporary = self.path / (name + _TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        try:
            fd = os.open(temporary, flags, 0o600)
            try:
                write_all(fd, content)
                os.fsync(fd)
            finally:
                os.close(fd)
            os.rename(temporary, target)
            self._sync_directory()
        except OSError as error:
            raise _errors.WriteError(target, error) from error

    def file_names(self, prefix: str) -> list[str]:
        """Returns the sorted names of the complete files with a prefix."""
        return sorted(
            p.name
            for p in self.path.iterdir()
            if p.name.startswith(prefix) and p.suffix != _TEMPORARY_SUFFIX
        )

    def remove_all_except(self, prefix: str, kept_name: str) -> None:
        """Removes the files with a prefix, except one.

        Raises:
            WriteError: A file cannot be removed.
        """
        try:
            for path in self.path.iterdir():
                if path.name.startswith(prefix) and path.name != kept_name:
                    path.unlink()
        except OSError as error:
            raise _errors.WriteError(self.path, error) from error

    def _check_format(self) -> None:
        path = self.path / _FORMAT_NAME
        if path.exists():
            found_format = path.read_text(encoding="utf-8").strip()
            if found_format != FORMAT:
                raise _errors.FormatVersionError(path, found_format, FORMAT)
            return
        own_names = {_LOCK_NAME, _FORMAT_NAME + _TEMPORARY_SUFFIX}
        if any(p.name not in own_names for p in self.path.iterdir()):
            raise _errors.FormatVersionError(path, "", FORMAT)
        self.write_atomically(_FORMAT_NAME, FORMAT.encode() + b"\n")

    def _sync_directory(self) -> None:
        directory_fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory_fd)
        finally:
            os.close(directory_fd)


def takes_writes(path: pathlib.Path) -> bool:
    """Returns whether a file can be written durably in a data folder."""
    probe = path / _PROBE_NAME
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    try:
        fd = os.open(probe, flags, 0o600)
        try:
            write_all(fd, bytes(_PROBE_BYTES))
            os.fsync(fd)
        finally:
            os.close(fd)
            probe.unlink()
    except OSError:
        # The answer to the question; the failed write was logged.
        return False
    return True


def write_all(fd: int, content: bytes) -> None:
    """Writes every byte of `content`.

    Raises:
        OSError: The disk is full or failed.
    """
    remaining = memoryview(content)
    while remaining:
        written = os.write(fd, remaining)
        remaining = remaining[written:]
