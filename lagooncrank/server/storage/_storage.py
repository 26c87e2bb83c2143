"""Durable storage of the state of one consensus node."""

from collections.abc import Callable
import dataclasses
import os
import pathlib
import secrets
from typing import TypeVar

import cbor2
import msgspec

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.server.storage import _errors
from lagooncrank.server.storage import _folder
from lagooncrank.server.storage import _frames
from lagooncrank.server.storage import _records
from lagooncrank.server.storage import _side_file

_LOG_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"
_DISK_ID_BYTES = 8

T = TypeVar("T")


class Storage:
    """Stores the log, the snapshot and the identity of one voter.

    Every method that writes returns once the data is synced to disk, or
    raises. After an error every further write raises too, as the content of
    the file is no longer known.
    """

    def __init__(
        self,
        folder: _folder.DataFolder,
        checkpoint: _records.Checkpoint,
        file_number: int,
    ) -> None:
        self._folder = folder
        self._checkpoint = checkpoint
        # All entries of the log. Unlike `checkpoint.entries` it follows every
        # write.
        self._entries = list(checkpoint.entries)
        self._file_number = file_number
        self._snapshot: consensus.Snapshot | None = None
        self._log_fd = -1
        self._salt = b""
        self._sequence = 0
        self._failure: _errors.StorageError | None = None
        #: Size of the current log file.
        self.log_bytes = 0

    @classmethod
    def open(cls, path: pathlib.Path, node_id: model.NodeId) -> "Storage":
        """Opens a data folder, or creates one with a new disk id.

        Raises:
            StorageError: The folder is in use, damaged, has another format
                or belongs to another node.
        """
        folder = _folder.DataFolder.open(path)
        try:
            return cls._open(folder, node_id)
        except _errors.StorageError:
            folder.close()
            raise

    @property
    def voter(self) -> consensus.Voter:
        """Id of this node and of its disk."""
        return self._checkpoint.voter

    @property
    def snapshot_bytes(self) -> int:
        """Size of the state in the snapshot; 0 without a snapshot."""
        return len(self._snapshot.data) if self._snapshot else 0

    def state(self) -> consensus.DurableState:
        """Returns the durable state that the folder holds."""
        checkpoint = self._checkpoint
        return consensus.DurableState(
            checkpoint.hard_state,
            self._snapshot,
            tuple(self._entries),
            checkpoint.genesis,
        )

    def write(self, output: consensus.Output) -> None:
        """Writes the part of an output that must be durable.

        Raises:
            WriteError: This write or an earlier one failed.
        """
        if output.snapshot is not None:
            self._install_snapshot(output)
        elif output.must_sync:
            self._append(_records.Batch(output.hard_state, output.entries))

    def compact(self, snapshot: consensus.Snapshot) -> None:
        """Stores a snapshot and removes the entries that it includes.

        Raises:
            WriteError: This write or an earlier one failed.
        """
        entries = tuple(
            e for e in self._entries if e.index > snapshot.last_index
        )
        self._store_snapshot(snapshot, entries)

    def store_initial_voters(self, initial_voters: consensus.VoterSet) -> None:
        """Stores the initial voter set of the system.

        Raises:
            WriteError: This write or an earlier one failed.
        """
        self._start_file(
            dataclasses.replace(
                self._checkpoint,
                genesis=initial_voters,
                entries=tuple(self._entries),
            )
        )

    def side_file(self, name: str) -> _side_file.SideFile:
        """Returns a file of its own in the data folder."""
        return _side_file.SideFile(self._folder, name)

    def close(self) -> None:
        """Closes the files and releases the lock."""
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1
        self._folder.close()

    @classmethod
    def _open(
        cls, folder: _folder.DataFolder, node_id: model.NodeId
    ) -> "Storage":
        file_names = folder.file_names(_LOG_PREFIX)
        if not file_names:
            disk_id = secrets.token_hex(_DISK_ID_BYTES)
            voter = consensus.Voter(node_id, disk_id)
            initial_checkpoint = _records.Checkpoint(
                voter, 0, consensus.HardState(), None, ()
            )
            storage = cls(folder, initial_checkpoint, 0)
            storage._start_file(initial_checkpoint)
            return storage
        path = folder.path / file_names[-1]
        data = path.read_bytes()
        frames = list(_frames.decode(path, data))
        if not frames:
            raise _errors.CorruptFileError(path, 0)
        checkpoint = _decode(path, frames[0].payload, _records.Checkpoint)
        if checkpoint.voter.node_id != node_id:
            owner = checkpoint.voter.node_id
            raise _errors.StorageError(
                path, f"the folder belongs to node {owner!r}"
            )
        storage = cls(
            folder, checkpoint, int(file_names[-1][len(_LOG_PREFIX) :])
        )
        for frame in frames[1:]:
            storage._apply_batch(_decode(path, frame.payload, _records.Batch))
        storage._snapshot = storage._load_snapshot()
        storage._continue_file(path, data[: _frames.SALT_BYTES], frames)
        return storage

    def _continue_file(
        self, path: pathlib.Path, salt: bytes, frames: list[_frames.Frame]
    ) -> None:
        """Opens a log file for appending and truncates a torn tail."""
        try:
            self._log_fd = os.open(
                path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
            )
            os.ftruncate(self._log_fd, frames[-1].end_offset)
            os.fsync(self._log_fd)
        except OSError as error:
            raise _errors.WriteError(path, error) from error
        self._salt = salt
        self._sequence = len(frames)
        self.log_bytes = frames[-1].end_offset

    def _install_snapshot(self, output: consensus.Output) -> None:
        snapshot = output.snapshot
        assert snapshot is not None, "the output must have a snapshot"
        if output.hard_state is not None:
            self._checkpoint = dataclasses.replace(
                self._checkpoint, hard_state=output.hard_state
            )
        self._store_snapshot(snapshot, output.entries)

    def _store_snapshot(
        self,
        snapshot: consensus.Snapshot,
        entries: tuple[consensus.Entry, ...],
    ) -> None:
        name = _snapshot_name(snapshot.last_index)
        salt = secrets.token_bytes(_frames.SALT_BYTES)
        frame = _frames.encode(salt, 0, model.to_cbor(snapshot))
        self._write_unless_failed(
            lambda: self._folder.write_atomically(name, salt + frame)
        )
        self._snapshot = snapshot
        # The snapshot is in use once a log file refers to it.
        self._start_file(
            dataclasses.replace(
                self._checkpoint,
                snapshot_index=snapshot.last_index,
                entries=entries,
            )
        )
        self._write_unless_failed(
            lambda: self._folder.remove_all_except(_SNAPSHOT_PREFIX, name)
        )

    def _start_file(self, checkpoint: _records.Checkpoint) -> None:
        """Replaces the log file by a new one that starts with `checkpoint`."""
        self._file_number += 1
        name = f"{_LOG_PREFIX}{self._file_number:012d}"
        salt = secrets.token_bytes(_frames.SALT_BYTES)
        content = salt + _frames.encode(salt, 0, model.to_cbor(checkpoint))
        path = self._folder.path / name
        self._write_unless_failed(
            lambda: self._folder.write_atomically(name, content)
        )
        self._write_unless_failed(lambda: self._switch_to(path))
        self._write_unless_failed(
            lambda: self._folder.remove_all_except(_LOG_PREFIX, name)
        )
        self._checkpoint = checkpoint
        self._entries = list(checkpoint.entries)
        self._salt = salt
        self._sequence = 1
        self.log_bytes = len(content)

    def _switch_to(self, path: pathlib.Path) -> None:
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1
        try:
            self._log_fd = os.open(
                path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
            )
        except OSError as error:
            raise _errors.WriteError(path, error) from error

    def _append(self, batch: _records.Batch) -> None:
        if self._failure is not None:
            raise self._failure
        payload = model.to_cbor(batch)
        frame = _frames.encode(self._salt, self._sequence, payload)
        try:
            _folder.write_all(self._log_fd, frame)
            os.fdatasync(self._log_fd)
        except OSError as error:
            self._failure = _errors.WriteError(self._folder.path, error)
            raise self._failure from error
        self._sequence += 1
        self.log_bytes += len(frame)
        self._apply_batch(batch)

    def _apply_batch(self, batch: _records.Batch) -> None:
        """Applies a written batch to the state in memory."""
        if batch.hard_state is not None:
            self._checkpoint = dataclasses.replace(
                self._checkpoint, hard_state=batch.hard_state
            )
        if batch.entries:
            first = batch.entries[0].index
            while self._entries and self._entries[-1].index >= first:
                self._entries.pop()
            self._entries.extend(batch.entries)

    def _load_snapshot(self) -> consensus.Snapshot | None:
        """Reads the snapshot that the log file refers to."""
        index = self._checkpoint.snapshot_index
        if index == 0:
            return None
        path = self._folder.path / _snapshot_name(index)
        try:
            frames = list(_frames.decode(path, path.read_bytes()))
        except OSError as error:
            raise _errors.StorageError(path, str(error)) from error
        if not frames:
            raise _errors.CorruptFileError(path, 0)
        return _decode(path, frames[0].payload, consensus.Snapshot)

    def _write_unless_failed(self, write: Callable[[], None]) -> None:
        """Runs a write unless an earlier one failed; records its failure."""
        if self._failure is not None:
            raise self._failure
        try:
            write()
        except _errors.StorageError as error:
            self._failure = error
            raise


def _snapshot_name(index: int) -> str:
    return f"{_SNAPSHOT_PREFIX}{index:016d}"


def _decode(path: pathlib.Path, payload: bytes, record_type: type[T]) -> T:
    try:
        return model.from_cbor(payload, record_type)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise _errors.StorageError(
            path,
            f"a record does not have the format of this version: {error}; "
            "start the version that wrote the folder",
        ) from error
