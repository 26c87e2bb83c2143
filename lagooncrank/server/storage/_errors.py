"""Errors of the data folder; each says what to do."""

import pathlib

from lagooncrank import results


class StorageError(results.LagooncrankError):
    """The data folder cannot be used; the voter must stop."""

    def __init__(self, path: pathlib.Path, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(
            results.Refusal(
                results.ResultCode.STORAGE_FAILED, f"{path}: {problem}"
            )
        )


class CorruptFileError(StorageError):
    """A synced record is damaged, and records after it are not."""

    def __init__(self, path: pathlib.Path, offset: int) -> None:
        self.offset = offset
        super().__init__(
            path,
            f"the record at byte {offset} is damaged; move the data folder "
            "away and start again, so that the node learns its state anew",
        )


class FolderInUseError(StorageError):
    """Another process holds the lock of the data folder."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(
            path,
            "another process uses this data folder; stop it, or give each "
            "process a folder of its own",
        )


class FormatVersionError(StorageError):
    """The data folder is not of the format that this version writes."""

    def __init__(self, path: pathlib.Path, found: str, wanted: str) -> None:
        self.found = found
        super().__init__(
            path,
            f"format is {found!r} but this version writes {wanted!r}; start "
            "the version that wrote the folder, or name an empty folder",
        )


class WriteError(StorageError):
    """Writing or syncing failed; what was written last may be lost."""

    def __init__(self, path: pathlib.Path, error: OSError) -> None:
        self.error = error
        super().__init__(
            path,
            f"{error.strerror or error}; free or replace the disk, then start "
            "the process again",
        )
