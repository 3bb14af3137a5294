"""Liveness of instances: deaths, pauses, cuts, returns; in virtual time."""

import heapq

import msgspec
import pytest

from scalebend.core.control_state import InstanceList, ListedInstance
from scalebend.core.list_history import ListChange, ListHistory, apply_list_update
from scalebend.core.membership import Membership
from scalebend.core.messages import Datagram

TICK = 0.05


class Net:
    """Memberships with a virtual clock, and datagrams that may be lost."""

    def __init__(self, count, lose=lambda sender, to, number: False):
        self.now = 0.0
        self.lose = lose
        self.flights = []
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
        if self.lose(sender, outbound.address, self.number):
            return
        data = msgspec.msgpack.encode(outbound.datagram)
        self.sizes.append(len(data))
        flight = (self.now + 0.002, self.number, sender, outbound.address, data)
        heapq.heappush(self.flights, flight)

    def deliver(self):
        held = []
        while self.flights and self.flights[0][0] <= self.now:
            flight = heapq.heappop(self.flights)
            if flight[3] in self.paused:
                held.append(flight)
            elif flight[3] in self.members:
                datagram = msgspec.msgpack.decode(flight[4], type=Datagram)
                self.members[flight[3]].handle(datagram, self.now)
        for flight in held:
            heapq.heappush(self.flights, flight)

    def count_live(self, address="g000"):
        return len(self.members[address].list_live())


@pytest.mark.parametrize("count", [2, 9, 40])
def test_everybody_learns_of_everybody(count):
    net = Net(count)
    net.run(8.0)
    assert {net.count_live(address) for address in net.members} == {count}


@pytest.mark.parametrize("count", [2, 3, 9, 40])
def test_silent_death_is_noticed_within_three_seconds_by_somebody(count):
    net = Net(count)
    net.run(8.0)
    del net.members["g001"]
    net.run(3.0)
    assert any(net.count_live(a) == count - 1 for a in net.members)
    net.run(2.0)
    assert {net.count_live(address) for address in net.members} == {count - 1}


def test_pause_of_half_a_second_raises_no_alarm():
    net = Net(9)
    net.run(8.0)
    for number in range(9):
        address = f"g{number:03}"
        net.paused = {address}
        net.run(0.5)
        net.paused = set()
        net.run(0.5)
        assert {net.count_live(a) for a in net.members} == {9}


def test_lost_datagrams_raise_no_alarm():
    net = Net(9, lose=lambda sender, to, number: number % 10 == 0)
    net.run(60.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_instance_that_was_paused_for_a_minute_comes_back():
    net = Net(9)
    net.run(8.0)
    net.paused = {"g004"}
    net.run(60.0)
    assert net.count_live() == 8
    net.paused = set()
    net.run(10.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_cut_off_instance_does_not_declare_the_others_dead():
    net = Net(9)
    net.run(8.0)
    net.lose = lambda sender, to, number: "g002" in (sender, to)
    net.run(10.0)
    assert net.count_live() == 8
    assert net.count_live("g002") == 9
    net.lose = lambda sender, to, number: False
    net.run(10.0)
    assert {net.count_live(address) for address in net.members} == {9}


def test_both_sides_of_a_split_heal():
    net = Net(10)
    net.run(8.0)
    net.lose = lambda sender, to, number: (sender < "g005") != (to < "g005")
    net.run(20.0)
    assert net.count_live() == 5 and net.count_live("g009") == 5
    net.lose = lambda sender, to, number: False
    net.run(40.0)
    assert {net.count_live(address) for address in net.members} == {10}


def test_leaving_instance_is_reachable_but_not_live():
    net = Net(5)
    net.run(8.0)
    net.members["g003"].leave(net.now)
    net.run(3.0)
    assert net.count_live() == 4
    assert net.members["g000"].is_alive("i003")


def test_datagrams_are_not_fragmented():
    net = Net(40)
    net.run(8.0)
    assert max(net.sizes) <= 1_400


def test_many_that_start_at_once_raise_no_alarm():
    """Views differ for a while: who is not heard is asked before it is suspected."""
    net = Net(120)
    net.run(20.0)
    assert {member.me.incarnation for member in net.members.values()} == {1}
    assert min(net.count_live(address) for address in net.members) >= 118


@pytest.mark.parametrize("known", [0, 3, 7])
def test_list_change_leads_to_the_whole_list(known):
    history = ListHistory()
    lists = []
    for epoch in range(8):
        items = [
            ListedInstance(f"i{n}", epoch if n == epoch else 1, "p", "g", "r", "z")
            for n in range(epoch, epoch + 5)
        ]
        lists.append(InstanceList(epoch, sorted(items)))
        history.put(lists[-1])
    news = history.build_update(known, lists[-1])
    if known == 7:
        assert news is None
        return
    assert isinstance(news, ListChange)
    assert apply_list_update(news, lists[known]) == lists[-1]
    assert apply_list_update(news, lists[known + 1]) is None
    whole = ListHistory().build_update(known, lists[-1])
    assert apply_list_update(whole, lists[known]) == lists[-1]
    assert apply_list_update(whole, lists[-1]) is None
