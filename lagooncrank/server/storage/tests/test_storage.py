import errno
import os
import pathlib

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.server import storage
from lagooncrank.server.storage import _frames

NODE = model.NodeId("n1")


def entry(index: int, term: int = 1) -> consensus.Entry:
    return consensus.Entry(index, term, b"data %d" % index)


def output(
    *entries: consensus.Entry,
    hard_state: consensus.HardState | None = None,
    snapshot: consensus.Snapshot | None = None,
) -> consensus.Output:
    return consensus.Output(hard_state, snapshot, entries, (), (), ())


def snapshot_at(index: int) -> consensus.Snapshot:
    voters = consensus.VoterSet((consensus.Voter(NODE, "d"),))
    return consensus.Snapshot(index, 1, voters, b"state")


def log_file(data_folder: pathlib.Path) -> pathlib.Path:
    (path,) = data_folder.glob("log-*")
    return path


def state_after_reopening(data_folder: pathlib.Path) -> consensus.DurableState:
    store = storage.Storage.open(data_folder, NODE)
    state = store.state()
    store.close()
    return state


@pytest.fixture
def data_folder(tmp_path: pathlib.Path) -> pathlib.Path:
    store = storage.Storage.open(tmp_path / "data", NODE)
    hard_state = consensus.HardState(3, store.voter)
    store.write(output(entry(1), entry(2), hard_state=hard_state))
    store.write(output(entry(3)))
    store.close()
    return tmp_path / "data"


def test_written_state_is_read_back(data_folder: pathlib.Path) -> None:
    state = state_after_reopening(data_folder)
    assert state.entries == (entry(1), entry(2), entry(3))
    assert state.hard_state.term == 3
    assert state.hard_state.voted_for is not None


def test_disk_id_is_stable_and_unique_per_folder(
    data_folder: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    first = storage.Storage.open(data_folder, NODE)
    other = storage.Storage.open(tmp_path / "other", NODE)
    first_voter = first.voter
    assert first_voter != other.voter
    first.close()
    other.close()
    reopened = storage.Storage.open(data_folder, NODE)
    assert reopened.voter == first_voter
    reopened.close()


def test_entries_overwrite_from_their_first_index_on(
    data_folder: pathlib.Path,
) -> None:
    store = storage.Storage.open(data_folder, NODE)
    store.write(output(entry(2, term=4)))
    store.close()
    assert state_after_reopening(data_folder).entries == (
        entry(1),
        entry(2, term=4),
    )


def test_snapshot_replaces_the_entries_that_it_includes(
    data_folder: pathlib.Path,
) -> None:
    store = storage.Storage.open(data_folder, NODE)
    store.compact(snapshot_at(2))
    store.write(output(entry(4)))
    store.close()
    state = state_after_reopening(data_folder)
    assert state.snapshot == snapshot_at(2)
    assert state.entries == (entry(3), entry(4))
    assert state.hard_state.term == 3


def test_received_snapshot_discards_a_conflicting_log(
    data_folder: pathlib.Path,
) -> None:
    store = storage.Storage.open(data_folder, NODE)
    store.write(output(snapshot=snapshot_at(9)))
    store.close()
    state = state_after_reopening(data_folder)
    assert state.snapshot == snapshot_at(9)
    assert state.entries == ()


@pytest.mark.parametrize("removed_bytes", [1, 12, 60])
def test_torn_tail_is_truncated(
    data_folder: pathlib.Path, removed_bytes: int
) -> None:
    path = log_file(data_folder)
    os.truncate(path, path.stat().st_size - removed_bytes)
    assert state_after_reopening(data_folder).entries == (entry(1), entry(2))
    store = storage.Storage.open(data_folder, NODE)
    store.write(output(entry(3, term=2)))
    store.close()
    assert state_after_reopening(data_folder).entries[-1] == entry(3, term=2)


def test_tail_of_zeros_is_truncated(data_folder: pathlib.Path) -> None:
    with log_file(data_folder).open("ab") as file:
        file.write(bytes(4_096))
    assert state_after_reopening(data_folder).entries == (
        entry(1),
        entry(2),
        entry(3),
    )


def test_damage_before_the_last_frame_prevents_opening(
    data_folder: pathlib.Path,
) -> None:
    path = log_file(data_folder)
    intact = path.read_bytes()
    frames = list(_frames.decode(path, intact))
    for offset in range(_frames.SALT_BYTES, frames[-2].end_offset):
        damaged = bytearray(intact)
        damaged[offset] ^= 0x40
        path.write_bytes(damaged)
        with pytest.raises(storage.CorruptFileError, match="is damaged"):
            storage.Storage.open(data_folder, NODE)


def test_folder_in_use_is_refused(data_folder: pathlib.Path) -> None:
    store = storage.Storage.open(data_folder, NODE)
    with pytest.raises(storage.FolderInUseError, match="another process"):
        storage.Storage.open(data_folder, NODE)
    store.close()


def test_folder_of_another_node_is_refused(data_folder: pathlib.Path) -> None:
    with pytest.raises(storage.StorageError, match="belongs to node 'n1'"):
        storage.Storage.open(data_folder, model.NodeId("n2"))


def test_folder_of_another_format_is_refused(data_folder: pathlib.Path) -> None:
    (data_folder / "format").write_text("lagooncrank-data 99\n")
    with pytest.raises(storage.FormatVersionError, match="99"):
        storage.Storage.open(data_folder, NODE)


def test_folder_with_unknown_files_is_refused(tmp_path: pathlib.Path) -> None:
    (tmp_path / "unknown.txt").write_text("keep me")
    with pytest.raises(storage.FormatVersionError, match="empty folder"):
        storage.Storage.open(tmp_path, NODE)


def test_full_disk_fails_all_later_writes(
    data_folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = storage.Storage.open(data_folder, NODE)

    def fail_with_no_space(fd: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fail_with_no_space)
        with pytest.raises(storage.WriteError, match="No space left"):
            store.write(output(entry(4)))
    with pytest.raises(storage.WriteError, match="No space left"):
        store.write(output(entry(5)))
    with pytest.raises(storage.WriteError, match="No space left"):
        store.compact(snapshot_at(1))
    store.close()


@pytest.mark.parametrize("fails_at", [1, 2, 3, 4])
def test_crash_while_storing_a_snapshot_loses_no_data(
    data_folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch, fails_at: int
) -> None:
    store = storage.Storage.open(data_folder, NODE)
    fsync_numbers = iter(range(1, 100))
    real_fsync = os.fsync

    def fsync(fd: int) -> None:
        if next(fsync_numbers) == fails_at:
            raise OSError(errno.EIO, "Input/output error")
        real_fsync(fd)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fsync)
        with pytest.raises(storage.WriteError):
            store.compact(snapshot_at(2))
    store.close()
    state = state_after_reopening(data_folder)
    assert state.entries[-1] == entry(3)
    assert state.snapshot in (None, snapshot_at(2))
    first = state.entries[0].index
    assert first == (3 if state.snapshot else 1)
