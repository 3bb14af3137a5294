"""Replication over slow messages: what is on its way is not sent again."""

import pytest

from scalebend.core.consensus import replica as replica_module
from scalebend.core.consensus.messages import Append, InstallSnapshot
from scalebend.core.control_state import Barrier, ListedInstance, SetInstances
from tests.lib.slow_group import SlowGroup

CALM_S = 2.0

FAST_S = 0.005

CHUNK_BYTES = 500

CATCH_UP_S = 20.0

PROPOSAL_INTERVAL_S = 0.05


class CountingGroup(SlowGroup):
    """Counts the entries and the bytes of snapshots that are sent."""

    def __init__(self, delay):
        self.entries = self.snapshot_bytes = 0
        super().__init__(["a", "b", "c"], delay=delay, seed=1)

    def run_for(self, seconds):
        for _ in self.run(seconds):
            pass

    def _send_all(self):
        for _, _, message in self.in_flight:
            if isinstance(message, InstallSnapshot):
                self.snapshot_bytes += len(message.data)
            elif isinstance(message, Append):
                self.entries += len(message.entries)
        super()._send_all()


def fill_state(group, instances):
    """Commit lists of instances until a snapshot holds most of them."""
    listed = [
        ListedInstance(f"instance-{n}", 1, "127.0.0.1:1", "127.0.0.1:1", "r", "z")
        for n in range(instances)
    ]
    for number in range(2 * group.snapshot_entries):
        leader = group.find_leader()
        epoch = group.members[leader].state.instances.epoch
        group.propose(leader, f"p{number}", SetInstances(epoch, listed[number:]))
        group.run_for(0.2)


# Guards against chunks that are sent again before a reply can come: each brings a reply
# of its own, and each reply the next chunk, so that links are filled and closed.
@pytest.mark.parametrize("delay", [0.05, 0.1])
def test_snapshot_is_sent_about_once_over_slow_messages(delay, monkeypatch):
    monkeypatch.setattr(replica_module, "SNAPSHOT_CHUNK_BYTES", CHUNK_BYTES)
    group = CountingGroup(FAST_S)
    group.run_for(CALM_S)
    fill_state(group, 80)
    leader = group.find_leader()
    size = len(group.members[leader].replica._snapshot.state)
    assert size > 5 * CHUNK_BYTES
    other = next(name for name in group.names if name != leader)
    group.delay = delay
    group.snapshot_bytes = 0
    group.replace_disk(other)
    group.run_for(CATCH_UP_S)
    assert group.members[other].state.instances == group.members[leader].state.instances
    assert group.snapshot_bytes <= 2 * size


# Guards against entries that each heartbeat sends again until the first reply.
@pytest.mark.parametrize("delay", [0.05, 0.1, 0.2])
def test_entries_are_sent_about_once_over_slow_messages(delay):
    group = CountingGroup(FAST_S)
    group.run_for(CALM_S)
    group.delay = delay
    group.run_for(CALM_S)
    group.entries = 0
    proposals = 100
    for number in range(proposals):
        group.propose(group.find_leader(), f"p{number}", Barrier())
        group.run_for(PROPOSAL_INTERVAL_S)
    group.run_for(CALM_S)
    assert len(group.results) == proposals
    others = len(group.names) - 1
    assert group.entries <= 1.5 * proposals * others


# Guards against entries that are never sent again after their link was lost.
def test_entries_lost_with_a_link_are_sent_again():
    group = CountingGroup(FAST_S)
    group.run_for(CALM_S)
    leader = group.find_leader()
    group.loss = 1.0
    group.propose(leader, "lost", Barrier())
    group.run_for(0.1)
    group.loss = 0.0
    group.run_for(0.3)
    assert "lost" in group.results
