"""Fronts, leaders and time at random: what upstreams get stays within what they take.

A state machine over one leader after another, fronts that are started, cut off and
linked again, and upstreams whose limits begin, halve, double, end and come again. What
is checked is the sum over all fronts that know a limit, in every window.
"""

import itertools
import random

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from scalebend.models.placement import Placement
from scalebend.models.request_limits import UNLIMITED, HeardLimit
from tests.lib.gateway_builders import build_quick
from tests.lib.gateway_group import build_deployment

FRONTS = 4
ENGINES = 3
WINDOW = 4.0

LEARNING = 1.0
"""Seconds after a change of a limit in which nothing is counted by the new one."""

STEP = 0.05
ANSWER_TIME = 0.1
MOST_FRONTS = 7

PAUSES = (0.2, 1.0, 4.0)
LOADS = (2, 15, 40)
"""Seconds between two things that happen, and requests a second meanwhile."""

RATES = st.sampled_from([0.3, 1.0, 2.5, 8.0])


class _Said(msgspec.Struct):
    """What one engine said of itself, and what it got from fronts that knew it."""

    rates: list = msgspec.field(default_factory=lambda: [(0.0, UNLIMITED)])
    sent: list = msgspec.field(default_factory=list)

    @property
    def rate(self):
        return self.rates[-1][1]

    def list_rates(self, begin, end):
        """All rates that were in force at any time between."""
        following = [at for at, _ in self.rates[1:]] + [float("inf")]
        return [
            rate
            for (at, rate), until in zip(self.rates, following, strict=True)
            if at < end and until > begin
        ]

    def find_excess(self):
        """Requests in a window beyond what is tolerated, at most."""
        worst = 0.0
        for begin in self.sent:
            rates = self.list_rates(begin - LEARNING, begin + WINDOW)
            allowed = 1.5 * max(rates) * WINDOW + 5
            got = sum(begin <= at < begin + WINDOW for at in self.sent)
            worst = max(worst, got - allowed)
        return worst


class LimitMachine(RuleBasedStateMachine):
    """See the module."""

    def __init__(self):
        super().__init__()
        self.deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
        self.chance = random.Random(1)
        self.said = {one.upstream: _Said() for one in self.deployment.endpoints}
        self.answers = []
        self.jobs = itertools.count(1)
        self.renewed_at = 0.0
        self.cut = set()

    # What happens

    @invariant()
    def callers_go_on(self):
        self.load(self.chance.choice(PAUSES), self.chance.choice(LOADS))

    @rule(seconds=st.sampled_from(PAUSES), rate=st.sampled_from(LOADS))
    def load(self, seconds, rate):
        for _ in range(round(seconds / STEP)):
            self.deployment.run(STEP)
            self.keep_registered()
            self.answer()
            for _ in range(self.draw_arrivals(rate * STEP)):
                self.send()

    @rule(number=st.integers(0, ENGINES - 1), rate=RATES)
    def name_limit(self, number, rate):
        self.say(number, rate)

    @rule(number=st.integers(0, ENGINES - 1))
    def end_limit(self, number):
        self.say(number, UNLIMITED)

    @rule(number=st.integers(0, ENGINES - 1), factor=st.sampled_from([0.5, 2.0]))
    def scale_limit(self, number, factor):
        rate = self.said[self.deployment.endpoints[number].upstream].rate
        if rate < UNLIMITED:
            self.say(number, rate * factor)

    @rule(seconds=st.sampled_from([0.0, 1.0, 5.0]))
    def change_leader(self, seconds):
        self.deployment.lose_leader()
        self.load(seconds, 15)
        self.deployment.replace_leader()
        self.cut.clear()

    @rule(number=st.integers(0, FRONTS - 1), is_noticed=st.booleans())
    def cut_front(self, number, is_noticed):
        if number not in self.cut:
            self.cut.add(number)
            self.deployment.cut_front(number, is_noticed=is_noticed)

    @rule()
    def link_again(self):
        deployment = self.deployment
        for number in sorted(self.cut):
            deployment.link_front(number)
        self.cut.clear()

    @rule()
    def start_front(self):
        if len(self.deployment.fronts) < MOST_FRONTS:
            self.deployment.add_front(len(self.deployment.fronts))

    # What is kept

    @invariant()
    def sums_are_kept(self):
        for upstream, said in self.said.items():
            assert said.find_excess() <= 0, (upstream, said.rates, said.sent)

    # How

    def say(self, number, rate):
        said = self.said[self.deployment.endpoints[number].upstream]
        said.rates.append((self.deployment.now, rate))

    def draw_arrivals(self, mean):
        return sum(self.chance.random() < mean / 4 for _ in range(4))

    def keep_registered(self):
        if self.deployment.now - self.renewed_at >= 1.0:
            self.renewed_at = self.deployment.now
            self.deployment.renew()

    def send(self):
        now = self.deployment.now
        front = self.chance.choice(self.deployment.fronts)
        work = build_quick(next(self.jobs), remaining=1.0)
        placed = self.deployment.place(front, work)
        if not isinstance(placed, Placement):
            return
        known = front.limits.get(placed.upstream)
        at = now + placed.start_in
        if known.rate < UNLIMITED:
            self.said[placed.upstream].sent.append(at)
        heard_at = at + ANSWER_TIME
        self.answers.append((heard_at, front, work.job, placed.upstream, known))

    def answer(self):
        now = self.deployment.now
        due = [one for one in self.answers if one[0] <= now]
        self.answers = [one for one in self.answers if one[0] > now]
        for _, front, job, upstream, known in due:
            rate = self.said[upstream].rate
            heard = HeardLimit(upstream, rate, known.revision)
            self.deployment.record_stage(front, job, is_ended=True)
            self.deployment.hear_limit(front, heard)


TestLimitSums = LimitMachine.TestCase
TestLimitSums.settings = settings(stateful_step_count=25)
