"""Stores what a consensus node must not forget."""

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

_LOG_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"
_DISK_ID_BYTES = 8

T = TypeVar("T")


class Storage:
    """The data folder of one voter.

    Every method that writes returns after the sync, or raises; after an
    error nothing more is written, as the state of the file is not known.
    """

    def __init__(
        self,
        folder: _folder.Folder,
        checkpoint: _records.Checkpoint,
        number: int,
    ) -> None:
        self._folder = folder
        self._checkpoint = checkpoint
        # Grows by every write, unlike the checkpoint's own entries.
        self._entries = list(checkpoint.entries)
        self._number = number
        self._snapshot: consensus.Snapshot | None = None
        self._file = -1
        self._salt = b""
        self._sequence = 0
        self._failed: _errors.StorageError | None = None
        #: Bytes of the log file in use.
        self.log_bytes = 0

    @classmethod
    def open(cls, path: pathlib.Path, node_id: model.NodeId) -> "Storage":
        """Opens a data folder, or makes one with a new disk id.

        Raises:
            StorageError: The folder is in use, damaged, of another format or
                of another node.
        """
        folder = _folder.Folder.open(path)
        try:
            return cls._open(folder, node_id)
        except _errors.StorageError:
            folder.close()
            raise

    @property
    def voter(self) -> consensus.Voter:
        """This node and its disk."""
        return self._checkpoint.voter

    @property
    def snapshot_bytes(self) -> int:
        """Bytes of the stored state; 0 without a snapshot."""
        return len(self._snapshot.data) if self._snapshot else 0

    def state(self) -> consensus.DurableState:
        """Returns what the folder holds."""
        held = self._checkpoint
        return consensus.DurableState(
            held.hard_state, self._snapshot, tuple(self._entries), held.genesis
        )

    def write(self, output: consensus.Output) -> None:
        """Makes the durable part of an output durable.

        Raises:
            WriteError: The disk failed, now or earlier.
        """
        if output.snapshot is not None:
            self._install(output)
        elif output.must_sync:
            self._append(_records.Batch(output.hard_state, output.entries))

    def compact(self, snapshot: consensus.Snapshot) -> None:
        """Stores a snapshot in place of the entries it stands for.

        Raises:
            WriteError: The disk failed, now or earlier.
        """
        entries = tuple(
            e for e in self._entries if e.index > snapshot.last_index
        )
        self._store_snapshot(snapshot, entries)

    def store_initial_voters(self, initial_voters: consensus.VoterSet) -> None:
        """Stores the first voter set of the system.

        Raises:
            WriteError: The disk failed, now or earlier.
        """
        self._start_file(
            dataclasses.replace(
                self._checkpoint,
                genesis=initial_voters,
                entries=tuple(self._entries),
            )
        )

    def close(self) -> None:
        """Closes the files and gives the lock back."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        self._folder.close()

    @classmethod
    def _open(cls, folder: _folder.Folder, node_id: model.NodeId) -> "Storage":
        names = folder.names(_LOG_PREFIX)
        if not names:
            disk_id = secrets.token_hex(_DISK_ID_BYTES)
            voter = consensus.Voter(node_id, disk_id)
            blank = _records.Checkpoint(
                voter, 0, consensus.HardState(), None, ()
            )
            storage = cls(folder, blank, 0)
            storage._start_file(blank)
            return storage
        path = folder.path / names[-1]
        data = path.read_bytes()
        frames = list(_frames.decode(path, data))
        if not frames:
            raise _errors.CorruptFileError(path, 0)
        checkpoint = _decode(path, frames[0].payload, _records.Checkpoint)
        if checkpoint.voter.node_id != node_id:
            owner = checkpoint.voter.node_id
            raise _errors.StorageError(path, f"the folder is of node {owner!r}")
        storage = cls(folder, checkpoint, int(names[-1][len(_LOG_PREFIX) :]))
        for frame in frames[1:]:
            storage._hold(_decode(path, frame.payload, _records.Batch))
        storage._snapshot = storage._load_snapshot()
        storage._reopen(path, data[: _frames.SALT_BYTES], frames)
        return storage

    def _reopen(
        self, path: pathlib.Path, salt: bytes, frames: list[_frames.Frame]
    ) -> None:
        """Continues a log file, after cutting a torn tail."""
        try:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            os.ftruncate(self._file, frames[-1].end_offset)
            os.fsync(self._file)
        except OSError as error:
            raise _errors.WriteError(path, error) from error
        self._salt = salt
        self._sequence = len(frames)
        self.log_bytes = frames[-1].end_offset

    def _install(self, output: consensus.Output) -> None:
        snapshot = output.snapshot
        assert snapshot is not None, "called with a snapshot only"
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
        self._guard(lambda: self._folder.write_whole(name, salt + frame))
        self._snapshot = snapshot
        # The log file that names the snapshot puts it in force.
        self._start_file(
            dataclasses.replace(
                self._checkpoint,
                snapshot_index=snapshot.last_index,
                entries=entries,
            )
        )
        self._guard(lambda: self._folder.remove_others(_SNAPSHOT_PREFIX, name))

    def _start_file(self, checkpoint: _records.Checkpoint) -> None:
        """Writes a log file that holds `checkpoint` and continues in it."""
        self._number += 1
        name = f"{_LOG_PREFIX}{self._number:012d}"
        salt = secrets.token_bytes(_frames.SALT_BYTES)
        content = salt + _frames.encode(salt, 0, model.to_cbor(checkpoint))
        path = self._folder.path / name
        self._guard(lambda: self._folder.write_whole(name, content))
        self._guard(lambda: self._go_to(path))
        self._guard(lambda: self._folder.remove_others(_LOG_PREFIX, name))
        self._checkpoint = checkpoint
        self._entries = list(checkpoint.entries)
        self._salt = salt
        self._sequence = 1
        self.log_bytes = len(content)

    def _go_to(self, path: pathlib.Path) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        try:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        except OSError as error:
            raise _errors.WriteError(path, error) from error

    def _append(self, batch: _records.Batch) -> None:
        if self._failed is not None:
            raise self._failed
        payload = model.to_cbor(batch)
        frame = _frames.encode(self._salt, self._sequence, payload)
        try:
            _folder.write_all(self._file, frame)
            os.fdatasync(self._file)
        except OSError as error:
            self._failed = _errors.WriteError(self._folder.path, error)
            raise self._failed from error
        self._sequence += 1
        self.log_bytes += len(frame)
        self._hold(batch)

    def _hold(self, batch: _records.Batch) -> None:
        """Brings what is kept in memory up to a written batch."""
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
        """Reads the snapshot that the log file names."""
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

    def _guard(self, write: Callable[[], None]) -> None:
        """Runs a write unless one has failed, and remembers a failure."""
        if self._failed is not None:
            raise self._failed
        try:
            write()
        except _errors.StorageError as error:
            self._failed = error
            raise


def _snapshot_name(index: int) -> str:
    return f"{_SNAPSHOT_PREFIX}{index:016d}"


def _decode(path: pathlib.Path, payload: bytes, kind: type[T]) -> T:
    try:
        return model.from_cbor(payload, kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise _errors.StorageError(
            path,
            f"a record is not of this version: {error}; start the version "
            "that wrote the folder",
        ) from error
