"""Durable log, snapshot and identity of one voter, in one data folder."""

from lagooncrank.server.storage._errors import CorruptFileError
from lagooncrank.server.storage._errors import FolderInUseError
from lagooncrank.server.storage._errors import FormatVersionError
from lagooncrank.server.storage._errors import StorageError
from lagooncrank.server.storage._errors import WriteError
from lagooncrank.server.storage._folder import takes_writes
from lagooncrank.server.storage._side_file import SideFile
from lagooncrank.server.storage._storage import Storage

__all__ = [
    "CorruptFileError",
    "FolderInUseError",
    "FormatVersionError",
    "SideFile",
    "Storage",
    "StorageError",
    "WriteError",
    "takes_writes",
]
