"""Founders that are killed before they formed the group form it after their restart.

Guards against a deployment that never has a control group, and against a second one.
"""

import json
import os

import pytest

from scalebend.commands import start_gateway
from scalebend.core.control_member import ControlMember
from scalebend.core.gateway.founding import FIRST_START_S, plan_founding
from scalebend.models.founding import Founding, StoredFounding
from scalebend.platform.early_settings import SETTINGS_VARIABLE, read_founders
from scalebend.platform.settings import read_gateway_settings
from scalebend.storage.founding_file import read_founding, store_founding
from tests.lib.control_group import ControlGroup, Disk
from tests.unit.gateway.test_platform import SETTINGS

SEEDS = ["a", "b", "c"]
STORED = StoredFounding(SEEDS, 100.0)
LATER = 100.0 + FIRST_START_S + 1.0


@pytest.mark.parametrize(
    ("stored", "is_first_start", "now", "expected"),
    [
        (None, True, 100.0, Founding(["x"], needs_all=False)),
        (STORED, True, LATER, Founding(SEEDS, needs_all=False)),
        (STORED, False, 101.0, Founding(SEEDS, needs_all=False)),
        (STORED, False, LATER, Founding(SEEDS, needs_all=True)),
        # The time of day was set back: nothing is known of how long ago it was.
        (STORED, False, 99.0, Founding(SEEDS, needs_all=True)),
        (None, False, 101.0, None),
    ],
)
def test_plan(stored, is_first_start, now, expected):
    plan = plan_founding(["x"], stored, is_first_start=is_first_start, now=now)
    assert plan == expected


def test_first_intention_is_kept(tmp_path):
    folder = tmp_path / "data"
    assert read_founding(folder) is None
    store_founding(folder, STORED)
    store_founding(folder, StoredFounding(["x"], 200.0))
    assert read_founding(folder) == STORED


@pytest.mark.parametrize("text", ["", "{", "[]", '{"founders": 3, "stored_at": 1}'])
def test_damaged_intention_is_none(tmp_path, text):
    (tmp_path / "founding").write_text(text)
    assert read_founding(tmp_path) is None


def write_settings(folder, **changes):
    control = {"Serves": ["control"], "DataDir": str(folder / "data")}
    path = folder / "node.json"
    path.write_text(json.dumps({**SETTINGS, "Bootstrap": True, **control, **changes}))
    return path


def test_early_founders_equal_those_of_the_full_settings(tmp_path):
    path = write_settings(tmp_path)
    settings = read_gateway_settings(path)
    assert settings.is_first_start
    assert read_founders(str(path)) == (tmp_path / "data", settings.seeds)


@pytest.mark.parametrize(
    "changes",
    [
        {"Bootstrap": False},
        {"Serves": ["front"]},
        {"DataDir": None},
        {"Seeds": None},
        {"PortRange": []},
    ],
)
def test_others_are_no_founders(tmp_path, changes):
    assert read_founders(str(write_settings(tmp_path, **changes))) is None


def test_intention_is_stored_before_the_libraries_load(tmp_path, monkeypatch):
    monkeypatch.setenv(SETTINGS_VARIABLE, str(write_settings(tmp_path)))
    start_gateway._store_founding(os.environ[SETTINGS_VARIABLE])
    stored = read_founding(tmp_path / "data")
    assert stored.founders == read_founders(os.environ[SETTINGS_VARIABLE])[1]


class FoundersGroup(ControlGroup):
    """Founders and others, whose disks keep the intention to form the group."""

    def __init__(self, names):
        self.stored = {}
        super().__init__(names, seeds=SEEDS, voters_wanted=len(names))

    def start(self, name):
        self.starts += 1
        disk = self.disks[name]
        if self.is_first_start:
            self.stored.setdefault(disk, StoredFounding(SEEDS, self.now))
        plan = plan_founding(
            SEEDS,
            self.stored.get(disk),
            is_first_start=self.is_first_start,
            now=self.now,
        )
        self.members[name] = ControlMember(
            name,
            [seed for seed in SEEDS if seed != name],
            disk.recover(),
            now=self.now,
            seed=self.starts,
            may_found=plan is not None and name in plan.founders,
            needs_all_founders=plan is not None and plan.needs_all,
            demand=self.demand,
        )


def run(group, seconds):
    for _ in range(int(seconds / 0.1)):
        group.advance(0.1)
        group.deliver_all()


def kill_all(group):
    for name in group.names:
        group.crash(name)
    group.in_flight.clear()
    group.is_first_start = False


@pytest.mark.parametrize("pause", [0.5, FIRST_START_S + 1.0])
@pytest.mark.parametrize("messages", range(8))
def test_founders_killed_at_any_message_form_one_group(messages, pause):
    group = FoundersGroup(("a", "b", "c", "d", "e"))
    for name in group.names:
        group.members[name].advance(0.0)
        group.pump(name)
    for _ in range(messages):
        group.deliver(0)
    kill_all(group)
    group.now += pause
    group.settle(4.0)
    assert group.find_leader() is not None
    voters = {m.replica.members.voters for m in group.members.values()}
    assert len(voters) == 1
    assert {member.instance for member in voters.pop()} == set(group.names)


def test_founder_whose_start_never_got_that_far_does_not_block_the_others():
    group = FoundersGroup(SEEDS)
    kill_all(group)
    group.disks["b"] = Disk("b-disk-new")
    group.now += 1.0
    group.settle(4.0)
    assert group.find_leader() is not None


def test_founder_that_was_down_since_the_first_start_founds_no_second_group():
    group = FoundersGroup(("a", "b", "c", "d", "e"))
    while group.members["a"].replica.members is None:
        group.advance(0.1)
        while group.in_flight and group.members["a"].replica.members is None:
            group.deliver(0)
    group.crash("c")
    run(group, 6.0)
    assert group.find_leader() is not None
    assert not group.disks["c"].entries
    kill_all(group)
    for name in ("a", "b"):
        group.replace_disk(name)
    group.start("c")
    run(group, 8.0)
    assert all(m.replica.members is None for m in group.members.values())
