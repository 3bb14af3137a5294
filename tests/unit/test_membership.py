"""Failure detection: crashes, pauses, partitions and rejoins, in virtual time."""

import heapq

import msgspec
import pytest

from scalebend.core.control_state import InstanceList, ListedInstance
from scalebend.core.list_history import ListChange, ListHistory, apply_list_update
from scalebend.core.membership import Membership
from scalebend.core.messages import Datagram

TICK = 0.05


class SimulatedNetwork:
    """Memberships on a virtual clock, connected by datagrams that may be lost."""

    def __init__(self, count, is_lost=lambda sender, to, number: False):
        self.now = 0.0
        self.is_lost = is_lost
        self.in_flight = []
        self.number = 0
        self.members = {}
        self.paused = set()
        self.sizes = []
        for number in range(count):
            listed = ListedInstance(f"i{number:03}", 1, "p", f"g{number:03}", "r", "z")
            seeds = [f"g{other:03}" for other in range(min(3, count))]
            self.members[listed.gossip] = Membership(listed, seeds, now=0.0, seed=7)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            self.deliver()
            for address, member in list(self.members.items()):
                if address not in self.paused:
                    for outbound in member.advance(self.now):
                        self.send(address, outbound)

    def send(self, sender, outbound):
        self.number += 1
        if self.is_lost(sender, outbound.address, self.number):
            return
        data = msgspec.msgpack.encode(outbound.datagram)
        self.sizes.append(len(data))
        flight = (self.now + 0.002, self.number, sender, outbound.address, data)
        heapq.heappush(self.in_flight, flight)

    def deliver(self):
        undelivered = []
        while self.in_flight and self.in_flight[0][0] <= self.now:
            flight = heapq.heappop(self.in_flight)
            if flight[3] in self.paused:
                undelivered.append(flight)
            elif flight[3] in self.members:
                datagram = msgspec.msgpack.decode(flight[4], type=Datagram)
                self.members[flight[3]].handle(datagram, self.now)
        for flight in undelivered:
            heapq.heappush(self.in_flight, flight)

    def count_live(self, address="g000"):
        return len(self.members[address].list_live())


@pytest.mark.parametrize("count", [2, 9, 40])
def test_everybody_learns_of_everybody(count):
    net = SimulatedNetwork(count)
    net.run(8.0)
    assert {net.count_live(address) for address in net.members} == {count}


@pytest.mark.parametrize("count", [2, 3, 9, 40])
def test_crash_is_detected_within_three_seconds(count):
    net = SimulatedNetwork(count)
    net.run(8.0)
    del net.members["g001"]
    net.run(3.0)
    assert any(net.count_live(a) == count - 1 for a in net.members)
    net.run(2.0)
    assert {net.count_live(address) for address in net.members} == {count - 1}


def test_short_pause_does_not_count_as_death():
    net = SimulatedNetwork(9)
    net.run(8.0)
    for number in range(9):
        address = f"g{number:03}"
        net.paused = {address}
        net.run(0.5)
        net.paused = set()
        net.run(0.5)
        assert {net.count_live(a) for a in net.members} == {9}


def test_lost_datagrams_do_not_count_as_death():
    net = SimulatedNetwork(9, is_lost=lambda sender, to, number: number % 10 == 0)
    net.run(60.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_instance_rejoins_after_a_minute_of_pause():
    net = SimulatedNetwork(9)
    net.run(8.0)
    net.paused = {"g004"}
    net.run(60.0)
    assert net.count_live() == 8
    net.paused = set()
    net.run(10.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_isolated_instance_does_not_declare_the_others_dead():
    net = SimulatedNetwork(9)
    net.run(8.0)
    net.is_lost = lambda sender, to, number: "g002" in (sender, to)
    net.run(10.0)
    assert net.count_live() == 8
    assert net.count_live("g002") == 9
    net.is_lost = lambda sender, to, number: False
    net.run(10.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_partition_heals():
    net = SimulatedNetwork(10)
    net.run(8.0)
    net.is_lost = lambda sender, to, number: (sender < "g005") != (to < "g005")
    net.run(20.0)
    assert net.count_live() == 5 and net.count_live("g009") == 5
    net.is_lost = lambda sender, to, number: False
    net.run(40.0)
    assert {net.count_live(address) for address in net.members} == {10}


def test_draining_instance_is_reachable_but_not_live():
    net = SimulatedNetwork(5)
    net.run(8.0)
    net.members["g003"].leave(net.now)
    net.run(3.0)
    assert net.count_live() == 4
    assert net.members["g000"].is_alive("i003")


def test_datagrams_are_not_fragmented():
    net = SimulatedNetwork(40)
    net.run(8.0)
    assert max(net.sizes) <= 1_400


def test_simultaneous_starts_cause_no_false_deaths():
    """Views differ for a while, so a watcher probes before it suspects an instance."""
    net = SimulatedNetwork(120)
    net.run(20.0)
    assert {member.me.incarnation for member in net.members.values()} == {1}
    assert min(net.count_live(address) for address in net.members) >= 118


@pytest.mark.parametrize("known", [0, 3, 7])
def test_list_change_yields_the_newest_list(known):
    history = ListHistory()
    lists = []
    for epoch in range(8):
        items = [
            ListedInstance(f"i{n}", epoch if n == epoch else 1, "p", "g", "r", "z")
            for n in range(epoch, epoch + 5)
        ]
        lists.append(InstanceList(epoch, sorted(items)))
        history.put(lists[-1])
    update = history.build_update(known, lists[-1])
    if known == 7:
        assert update is None
        return
    assert isinstance(update, ListChange)
    assert apply_list_update(update, lists[known]) == lists[-1]
    assert apply_list_update(update, lists[known + 1]) is None
    whole = ListHistory().build_update(known, lists[-1])
    assert apply_list_update(whole, lists[known]) == lists[-1]
    assert apply_list_update(whole, lists[-1]) is None
