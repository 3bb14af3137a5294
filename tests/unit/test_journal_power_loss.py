"""What a member recovered after a kill survives a loss of power right after it.

Guards against a member that acknowledges recovered records (a vote, entries that it
already has) before they are synced.
"""

import pytest

from scalebend.core.consensus.messages import (
    HardState,
    Member,
    Members,
    Persist,
    Snapshot,
)
from scalebend.storage.journal import Journal, open_journal
from tests.lib.volatile_disk import ProcessKilled, VolatileDisk
from tests.unit.test_journal import build_entries

ME = Member("a", "disk")
OTHER = Member("b", "disk")


@pytest.fixture
def disk(tmp_path, monkeypatch):
    disk = VolatileDisk(tmp_path / "data", monkeypatch)
    yield disk
    disk.close()


def append_entries(journal):
    journal.write(Persist(HardState(3, ME), None, build_entries(3, 4)))


def vote(journal):
    journal.write(Persist(HardState(4, OTHER), None, []))


def overwrite_entries(journal):
    journal.write(Persist(HardState(3, ME), 2, build_entries(2, 3)))


def take_snapshot(journal):
    snapshot = Snapshot(1, 3, Members(frozenset({ME})), b"state")
    journal.store_snapshot(snapshot, HardState(3, ME), build_entries(2, 2))
    journal.write(Persist(HardState(3, ME), None, build_entries(3, 3)))


def recover(disk):
    with open_journal(disk.folder) as (_, recovered):
        return recovered


def kill_during(disk, change, calls):
    """Kill the process before its next sync or rename after ``calls`` others.

    Returns whether it was killed before the change was done.
    """
    journal = Journal(disk.folder)
    disk.kill_at = disk.calls + calls + 1
    try:
        journal.recover()
        if change is not None:
            change(journal)
    except ProcessKilled:
        return True
    finally:
        disk.kill_at = None
        journal.close()
    return False


@pytest.mark.parametrize("keeps_names", [False, True])
@pytest.mark.parametrize("calls", range(14))
@pytest.mark.parametrize(
    "change", [append_entries, vote, overwrite_entries, take_snapshot]
)
def test_recovered_state_survives_a_power_loss(disk, change, calls, keeps_names):
    with open_journal(disk.folder) as (journal, _):
        journal.write(Persist(HardState(3, ME), None, build_entries(1, 2)))
    kill_during(disk, change, calls)
    recovered = recover(disk)
    disk.lose_power(keeps_names=keeps_names)
    assert recover(disk) == recovered


@pytest.mark.parametrize("keeps_names", [False, True])
@pytest.mark.parametrize(
    ("change", "hard_state", "last_index"),
    [
        (append_entries, HardState(3, ME), 4),
        (vote, HardState(4, OTHER), 2),
        (overwrite_entries, HardState(3, ME), 3),
        (take_snapshot, HardState(3, ME), 3),
    ],
)
def test_written_state_survives_a_power_loss(
    disk, change, hard_state, last_index, keeps_names
):
    with open_journal(disk.folder) as (journal, _):
        journal.write(Persist(HardState(3, ME), None, build_entries(1, 2)))
        change(journal)
        disk.lose_power(keeps_names=keeps_names)
    recovered = recover(disk)
    assert recovered.hard_state == hard_state
    assert recovered.entries[-1].index == last_index


@pytest.mark.parametrize("keeps_names", [False, True])
@pytest.mark.parametrize("calls", range(6))
def test_identity_of_a_new_disk_survives_a_power_loss(disk, calls, keeps_names):
    kill_during(disk, None, calls)
    recovered = recover(disk)
    disk.lose_power(keeps_names=keeps_names)
    assert recover(disk) == recovered
