"""The journal recovers all acknowledged state, or fails if some is damaged."""

import pytest

from scalebend.core.consensus.messages import (
    HardState,
    LogEntry,
    Member,
    Members,
    Persist,
    Snapshot,
)
from scalebend.exceptions import StorageError
from scalebend.storage.journal import Journal, open_journal

ME = Member("a", "disk")
STATE = HardState(3, ME)


def build_entries(first, last):
    return [LogEntry(i, 3, 0.0, b"x" * i) for i in range(first, last + 1)]


def write_journal(folder, batches):
    with open_journal(folder) as (journal, _):
        for first, last in batches:
            journal.write(Persist(STATE, None, build_entries(first, last)))


def test_written_state_is_recovered(tmp_path):
    write_journal(tmp_path, [(1, 3), (4, 4)])
    with open_journal(tmp_path) as (_, recovered):
        assert recovered.hard_state == STATE
        assert recovered.entries == build_entries(1, 4)


def test_truncated_entries_are_not_recovered(tmp_path):
    write_journal(tmp_path, [(1, 5)])
    with open_journal(tmp_path) as (journal, _):
        journal.write(Persist(STATE, 3, [LogEntry(3, 4, 0.0)]))
    with open_journal(tmp_path) as (_, recovered):
        assert recovered.entries == [*build_entries(1, 2), LogEntry(3, 4, 0.0)]


@pytest.mark.parametrize("cut", [1, 5, 16, 30])
def test_torn_tail_is_truncated(tmp_path, cut):
    write_journal(tmp_path, [(1, 2), (3, 4)])
    path = tmp_path / "journal-0"
    path.write_bytes(path.read_bytes()[:-cut])
    with open_journal(tmp_path) as (journal, recovered):
        assert recovered.entries == build_entries(1, 2)
        journal.write(Persist(STATE, None, build_entries(3, 3)))
    with open_journal(tmp_path) as (_, recovered):
        assert recovered.entries == build_entries(1, 3)


@pytest.mark.parametrize("offset", [0, 6, 13, 25])
def test_damage_before_the_end_is_refused(tmp_path, offset):
    write_journal(tmp_path, [(1, 2), (3, 4)])
    path = tmp_path / "journal-0"
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match="damaged record at byte 0"):
        Journal(tmp_path).recover()
    assert path.read_bytes() == bytes(data)


def test_damaged_snapshot_is_rejected(tmp_path):
    with open_journal(tmp_path) as (journal, _):
        members = Members(frozenset({ME}))
        journal.store_snapshot(Snapshot(2, 3, members, b"state"), STATE, [])
    path = tmp_path / "snapshot"
    data = bytearray(path.read_bytes())
    data[-3] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match="snapshot is damaged"):
        Journal(tmp_path).recover()


def test_snapshot_replaces_the_entries_it_covers(tmp_path):
    write_journal(tmp_path, [(1, 5)])
    members = Members(frozenset({ME}))
    snapshot = Snapshot(3, 3, members, b"state")
    with open_journal(tmp_path) as (journal, _):
        journal.store_snapshot(snapshot, STATE, build_entries(4, 5))
        journal.write(Persist(STATE, None, build_entries(6, 6)))
    with open_journal(tmp_path) as (_, recovered):
        assert recovered.snapshot == snapshot
        assert recovered.entries == build_entries(4, 6)
    assert not (tmp_path / "journal-0").exists()


def test_crash_between_snapshot_and_new_journal(tmp_path):
    write_journal(tmp_path, [(1, 5)])
    old = (tmp_path / "journal-0").read_bytes()
    members = Members(frozenset({ME}))
    with open_journal(tmp_path) as (journal, _):
        journal.store_snapshot(
            Snapshot(3, 3, members, b"state"), STATE, build_entries(4, 5)
        )
    (tmp_path / "journal-1").unlink()
    (tmp_path / "journal-0").write_bytes(old)
    with open_journal(tmp_path) as (_, recovered):
        assert recovered.entries == build_entries(4, 5)


def test_state_without_its_disk_id_is_rejected(tmp_path):
    write_journal(tmp_path, [(1, 1)])
    (tmp_path / "disk").unlink()
    with pytest.raises(StorageError, match="'disk' is missing"):
        Journal(tmp_path).recover()
