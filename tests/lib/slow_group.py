"""Simulated control group whose messages take time; some of them are lost."""

import heapq
import random

from tests.lib.control_group import ControlGroup

STEP_S = 0.005

TICK_S = 0.02

JITTER = 0.5
"""Largest extra delay of a message, as a fraction of the delay."""


class SlowGroup(ControlGroup):
    """Control group on a slow network; the messages of each pair stay in order."""

    def __init__(self, names, *, delay, seed, loss=0.0, **options):
        """``delay`` is one way, in seconds; ``loss`` a fraction of the messages."""
        self.delay = delay
        self.loss = loss
        self.stalled_until = {}
        self._random = random.Random(seed)
        self._queue = []
        self._due_at = {}
        self._sent = 0
        self._next_tick = {name: self._random.uniform(0.0, TICK_S) for name in names}
        super().__init__(names, **options)

    def start(self, name):
        super().start(name)
        # The simulation's seed also draws the members' election timeouts.
        self.members[name].replica._random.seed(f"{self._random.random()}/{name}")
        self.members[name].replica._reset_election_deadline(self.now)

    def run(self, seconds):
        """Run for ``seconds``; yield the leader, or ``None``, after each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver_due()
            for name in list(self.members):
                if self.now >= self._next_tick[name] and not self._is_stalled(name):
                    self._next_tick[name] = self.now + TICK_S
                    self.members[name].advance(self.now)
                    self.pump(name)
            self._send_all()
            yield self.find_leader()

    def stall(self, name, seconds):
        """Keep a member from running; its messages wait and arrive all at once."""
        self.stalled_until[name] = self.now + seconds

    def _is_stalled(self, name):
        return self.now < self.stalled_until.get(name, 0.0)

    def _send_all(self):
        for sender, to, message in self.in_flight:
            if self._random.random() < self.loss:
                continue
            taken = self.delay * (1.0 + self._random.uniform(0.0, JITTER))
            due = max(self.now + taken, self._due_at.get((sender, to), 0.0))
            self._due_at[sender, to] = due
            self._sent += 1
            heapq.heappush(self._queue, (due, self._sent, sender, to, message))
        self.in_flight = []

    def _deliver_due(self):
        held_back = []
        while self._queue and self._queue[0][0] <= self.now:
            item = heapq.heappop(self._queue)
            if self._is_stalled(item[3]):
                held_back.append(item)
                continue
            self.in_flight.append(item[2:])
            self.deliver(len(self.in_flight) - 1)
        for item in held_back:
            heapq.heappush(self._queue, item)
