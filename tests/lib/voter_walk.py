"""Random replacements, planned stops, crashes and lost disks, as far as tolerated."""

import random

from tests.lib.control_group import TICK_S, ControlGroup

CATCH_UP_S = 4.0
"""Time for which a machine that is new, or is back, still counts as lost."""

DOWN_S = (0.0, 3.0)
"""How long a machine is down."""

STEP_S = (0.0, 1.5)
"""Time between two events."""


class VoterWalk:
    """Events at random times; no more machines count as lost than is tolerated."""

    def __init__(self, seed, *, controls):
        self.random = random.Random(seed)
        self.tolerated = (controls - 1) // 2
        names = [f"c{number}" for number in range(controls)]
        self.group = ControlGroup(names, seeds=names[:3], voters_wanted=controls)
        self.group.settle()
        self.group.is_first_start = False
        self.lost_until = {}
        self.new_until = {}
        self.down_until = {}
        self.stopping = {}
        self.is_lossy = False
        self.joined = 0
        self.events = []

    def play(self, events):
        for _ in range(events):
            self.run(self.random.uniform(*STEP_S))
            play = self.random.choice(
                [self.lose_disk, self.kill, self.replace, self.stop, self.join]
            )
            self.is_lossy = self.random.random() < 0.3
            play()
        self.is_lossy = False

    def finish(self):
        """Bring everything back."""
        self.run(CATCH_UP_S)

    # Time

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.group.advance(TICK_S)
            self.deliver()
            self.start_due()
            self.end_due()

    def deliver(self):
        for _ in range(2_000):
            if not self.group.in_flight:
                return
            if self.is_lossy and self.random.random() < 0.1:
                # As over a connection, a lost message delays those after it.
                self.group.in_flight.append(self.group.in_flight.pop(0))
            self.group.deliver(0)

    def start_due(self):
        for name, at in list(self.down_until.items()):
            if self.group.now >= at:
                del self.down_until[name]
                self.group.start(name)
                self.count_as_lost(name, CATCH_UP_S)

    def end_due(self):
        for name, deadline in list(self.stopping.items()):
            member = self.group.members.get(name)
            if member is None:
                del self.stopping[name]
            elif member.may_stop(self.group.now) or self.group.now >= deadline:
                del self.stopping[name]
                self.end(name)

    def end(self, name):
        member = self.group.members[name]
        if member.replica.is_leader:
            member.stop_leading(self.group.now)
        self.group.pump(name)
        self.group.remove(name)
        self.events.append((self.group.now, "ended", name))

    # What counts as lost

    def count_as_lost(self, name, seconds):
        until = self.group.now + seconds
        self.lost_until[name] = max(until, self.lost_until.get(name, 0.0))

    def list_lost(self):
        return {n for n, until in self.lost_until.items() if until > self.group.now}

    def list_new(self):
        return {n for n, until in self.new_until.items() if until > self.group.now}

    def may_lose(self, name):
        return len(self.list_lost() | {name}) <= self.tolerated

    def list_running(self):
        running = [n for n in self.group.members if n not in self.stopping]
        return sorted(running)

    def choose(self):
        return self.random.choice(self.list_running())

    # Events

    def lose_disk(self):
        name = self.choose()
        if self.may_lose(name):
            self.group.lose_disk(name)
            self.go_down(name, "lost its disk")

    def kill(self):
        name = self.choose()
        if self.may_lose(name):
            self.group.crash(name)
            self.go_down(name, "killed")

    def go_down(self, name, event):
        seconds = self.random.uniform(*DOWN_S)
        self.down_until[name] = self.group.now + seconds
        self.count_as_lost(name, seconds + CATCH_UP_S)
        self.events.append((self.group.now, event, name))

    def replace(self):
        """A machine is gone for good, and its successor starts."""
        name = self.choose()
        if self.may_lose(name):
            self.group.remove(name)
            successor = self.join(is_successor=True)
            self.lost_until.pop(name, None)
            self.events.append((self.group.now, f"replaced by {successor}", name))

    def stop(self):
        """A machine that has a successor is stopped as planned, for good."""
        voters = self.tolerated * 2 + 1
        catching_up = self.list_lost() | self.list_new()
        caught_up = [n for n in self.list_running() if n not in catching_up]
        if len(caught_up) > voters and not self.down_until:
            name = self.choose()
            self.group.members[name].leave()
            self.stopping[name] = self.group.now + 8.0
            self.events.append((self.group.now, "stopping", name))

    def join(self, *, is_successor=False):
        """A machine joins; it takes nothing away, unless it is a successor."""
        self.joined += 1
        name = f"n{self.joined}"
        if is_successor:
            self.count_as_lost(name, CATCH_UP_S)
        if is_successor or len(self.group.names) <= 2 * self.tolerated + 3:
            # A machine that joins is told of machines that are there now.
            self.group.seeds = tuple(self.list_running()[:3])
            self.new_until[name] = self.group.now + CATCH_UP_S
            self.group.add(name)
            self.events.append((self.group.now, "joined", name))
        return name
