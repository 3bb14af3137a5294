"""Random changes of leaders, fronts and cold replicas: no second gets too much.

In every second, the sum over all fronts at each replica is checked, whether or not it
is cold and whoever knows it: any replica may turn cold without notice.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.lib.slow_start_load import ALLOWED, SlowStartLoad

FRONTS = 4
ENGINES = 4
MAX_FRONTS = 7

PAUSES_S = (0.2, 1.0, 3.0)
LOADS = (5, 40, 150)
"""Seconds between two events, and requests a second meanwhile."""


class SlowStartMachine(RuleBasedStateMachine):
    """Requests under random changes of leaders, fronts and cold replicas."""

    def __init__(self):
        super().__init__()
        self.load = SlowStartLoad(FRONTS, ENGINES, rate=40.0, response_s=0.05)
        self.load.step_s = 0.02
        self.deployment = self.load.deployment
        self.disconnected = set()

    @rule(seconds=st.sampled_from(PAUSES_S), rate=st.sampled_from(LOADS))
    def send(self, seconds, rate):
        self.load.rate = rate
        self.load.run(seconds)

    @rule(numbers=st.sets(st.integers(0, ENGINES - 1)), seconds=st.floats(0.1, 4.0))
    def turn_cold(self, numbers, seconds):
        self.load.turn_cold([self.load.names[n] for n in numbers], seconds)
        self.load.run(0.5)

    @rule(seconds=st.sampled_from([0.0, 1.0, 3.0]))
    def change_leader(self, seconds):
        self.deployment.lose_leader()
        self.load.run(seconds)
        self.deployment.replace_leader()
        self.disconnected.clear()
        self.load.run(0.5)

    @rule(number=st.integers(0, FRONTS - 1), is_noticed=st.booleans())
    def cut_front(self, number, is_noticed):
        if number not in self.disconnected:
            self.disconnected.add(number)
            self.deployment.cut_front(number, is_noticed=is_noticed)
        self.load.run(0.5)

    @rule()
    def relink_fronts(self):
        for number in sorted(self.disconnected):
            self.deployment.link_front(number)
        self.disconnected.clear()
        self.load.run(0.2)

    @rule()
    def start_front(self):
        if len(self.deployment.fronts) < MAX_FRONTS:
            self.deployment.add_front(len(self.deployment.fronts))
        self.load.run(0.2)

    @invariant()
    def sums_stay_within_the_bound(self):
        for upstream in self.load.names:
            assert self.load.count_most(upstream) <= ALLOWED, upstream


TestSlowStartSums = SlowStartMachine.TestCase
TestSlowStartSums.settings = settings(stateful_step_count=20, deadline=None)
