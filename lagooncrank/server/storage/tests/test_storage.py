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


def log_file(folder: pathlib.Path) -> pathlib.Path:
    (path,) = folder.glob("log-*")
    return path


def reopened(folder: pathlib.Path) -> consensus.DurableState:
    store = storage.Storage.open(folder, NODE)
    state = store.state()
    store.close()
    return state


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    store = storage.Storage.open(tmp_path / "data", NODE)
    hard_state = consensus.HardState(3, store.voter)
    store.write(output(entry(1), entry(2), hard_state=hard_state))
    store.write(output(entry(3)))
    store.close()
    return tmp_path / "data"


def test_everything_written_is_found_again(folder: pathlib.Path) -> None:
    state = reopened(folder)
    assert state.entries == (entry(1), entry(2), entry(3))
    assert state.hard_state.term == 3
    assert state.hard_state.voted_for is not None


def test_disk_id_lasts_and_differs_between_folders(
    folder: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    first = storage.Storage.open(folder, NODE)
    other = storage.Storage.open(tmp_path / "other", NODE)
    first_voter = first.voter
    assert first_voter != other.voter
    first.close()
    other.close()
    again = storage.Storage.open(folder, NODE)
    assert again.voter == first_voter
    again.close()


def test_entries_replace_those_from_their_index_on(
    folder: pathlib.Path,
) -> None:
    store = storage.Storage.open(folder, NODE)
    store.write(output(entry(2, term=4)))
    store.close()
    assert reopened(folder).entries == (entry(1), entry(2, term=4))


def test_snapshot_stands_for_entries(folder: pathlib.Path) -> None:
    store = storage.Storage.open(folder, NODE)
    store.compact(snapshot_at(2))
    store.write(output(entry(4)))
    store.close()
    state = reopened(folder)
    assert state.snapshot == snapshot_at(2)
    assert state.entries == (entry(3), entry(4))
    assert state.hard_state.term == 3


def test_received_snapshot_drops_a_log_that_differs(
    folder: pathlib.Path,
) -> None:
    store = storage.Storage.open(folder, NODE)
    store.write(output(snapshot=snapshot_at(9)))
    store.close()
    state = reopened(folder)
    assert state.snapshot == snapshot_at(9)
    assert state.entries == ()


@pytest.mark.parametrize("cut_bytes", [1, 12, 60])
def test_torn_tail_is_cut(folder: pathlib.Path, cut_bytes: int) -> None:
    path = log_file(folder)
    os.truncate(path, path.stat().st_size - cut_bytes)
    assert reopened(folder).entries == (entry(1), entry(2))
    store = storage.Storage.open(folder, NODE)
    store.write(output(entry(3, term=2)))
    store.close()
    assert reopened(folder).entries[-1] == entry(3, term=2)


def test_tail_of_zeros_is_cut(folder: pathlib.Path) -> None:
    with log_file(folder).open("ab") as file:
        file.write(bytes(4_096))
    assert reopened(folder).entries == (entry(1), entry(2), entry(3))


def test_every_damaged_byte_before_the_last_frame_stops_the_start(
    folder: pathlib.Path,
) -> None:
    path = log_file(folder)
    whole = path.read_bytes()
    frames = list(_frames.decode(path, whole))
    for offset in range(_frames.SALT_BYTES, frames[-2].end_offset):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x40
        path.write_bytes(damaged)
        with pytest.raises(storage.CorruptFileError, match="is damaged"):
            storage.Storage.open(folder, NODE)


def test_folder_in_use_is_refused(folder: pathlib.Path) -> None:
    store = storage.Storage.open(folder, NODE)
    with pytest.raises(storage.FolderInUseError, match="another process"):
        storage.Storage.open(folder, NODE)
    store.close()


def test_folder_of_another_node_is_refused(folder: pathlib.Path) -> None:
    with pytest.raises(storage.StorageError, match="of node 'n1'"):
        storage.Storage.open(folder, model.NodeId("n2"))


def test_folder_of_another_format_is_refused(folder: pathlib.Path) -> None:
    (folder / "format").write_text("lagooncrank-data 99\n")
    with pytest.raises(storage.FormatVersionError, match="99"):
        storage.Storage.open(folder, NODE)


def test_folder_with_foreign_files_is_refused(tmp_path: pathlib.Path) -> None:
    (tmp_path / "letter.txt").write_text("keep me")
    with pytest.raises(storage.FormatVersionError, match="empty folder"):
        storage.Storage.open(tmp_path, NODE)


def test_full_disk_stops_all_later_writes(
    folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = storage.Storage.open(folder, NODE)

    def no_space(file: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", no_space)
        with pytest.raises(storage.WriteError, match="No space left"):
            store.write(output(entry(4)))
    with pytest.raises(storage.WriteError, match="No space left"):
        store.write(output(entry(5)))
    with pytest.raises(storage.WriteError, match="No space left"):
        store.compact(snapshot_at(1))
    store.close()


@pytest.mark.parametrize("fails_at", [1, 2, 3, 4])
def test_crash_while_a_snapshot_is_stored_loses_nothing(
    folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch, fails_at: int
) -> None:
    store = storage.Storage.open(folder, NODE)
    calls = iter(range(1, 100))
    real_fsync = os.fsync

    def fsync(file: int) -> None:
        if next(calls) == fails_at:
            raise OSError(errno.EIO, "Input/output error")
        real_fsync(file)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fsync)
        with pytest.raises(storage.WriteError):
            store.compact(snapshot_at(2))
    store.close()
    state = reopened(folder)
    assert state.entries[-1] == entry(3)
    assert state.snapshot in (None, snapshot_at(2))
    first = state.entries[0].index
    assert first == (3 if state.snapshot else 1)
