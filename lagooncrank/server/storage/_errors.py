"""Errors of the data folder, with instructions for the operator."""

import pathlib

from lagooncrank import results


class StorageError(results.LagooncrankError):
    """The data folder is unusable, so the voter must stop."""

    def __init__(self, path: pathlib.Path, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(
            results.Refusal(
                results.ResultCode.STORAGE_FAILED, f"{path}: {problem}"
            )
        )


class CorruptFileError(StorageError):
    """A synced record is damaged: an intact record follows it."""

    def __init__(self, path: pathlib.Path, offset: int) -> None:
        self.offset = offset
        super().__init__(
            path,
            f"the record at byte {offset} is damaged; move the data folder "
            "away and restart the process, so that the node copies the state "
            "from its peers",
        )


class FolderInUseError(StorageError):
    """Another process holds the lock of the data folder."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(
            path,
            "another process uses this data folder; stop it, or configure a "
            "separate folder for each process",
        )


class FormatVersionError(StorageError):
    """The data folder has a format that this version does not support."""

    def __init__(
        self, path: pathlib.Path, found_format: str, expected_format: str
    ) -> None:
        self.found_format = found_format
        super().__init__(
            path,
            f"format is {found_format!r} but this version writes "
            f"{expected_format!r}; start the version that wrote the folder, "
            "or configure an empty folder",
        )


class WriteError(StorageError):
    """A write or sync failed; the newest data may be lost."""

    def __init__(self, path: pathlib.Path, error: OSError) -> None:
        self.error = error
        super().__init__(
            path,
            f"{error.strerror or error}; free disk space or replace the disk, "
            "then restart the process",
        )
