"""Random changes of leaders, fronts and limits: upstreams get no more than they take.

Leaders are replaced, fronts started, disconnected and relinked, and limits set, scaled
and ended. In every window, the sum over all fronts that know a limit is checked.
"""

import itertools
import random

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from scalebend.models.placement import Placement
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit
from tests.lib.gateway_builders import build_quick
from tests.lib.gateway_group import build_deployment

FRONTS = 4
ENGINES = 3
WINDOW_S = 4.0

LEARNING_S = 1.0
"""Seconds after a change of a limit before it is enforced."""

STEP_S = 0.05
RESPONSE_TIME_S = 0.1
MAX_FRONTS = 7

PAUSES_S = (0.2, 1.0, 4.0)
LOADS = (2, 15, 40)
"""Seconds between two events, and requests a second meanwhile."""

RATES = st.sampled_from([0.3, 1.0, 2.5, 8.0])


class _EngineLimits(msgspec.Struct):
    """Limits that one engine named, and requests from fronts that knew them."""

    rates: list = msgspec.field(default_factory=lambda: [(0.0, UNLIMITED)])
    sent: list = msgspec.field(default_factory=list)

    @property
    def rate(self):
        return self.rates[-1][1]

    def list_rates(self, begin, end):
        """All rates in force at any time between ``begin`` and ``end``."""
        following = [at for at, _ in self.rates[1:]] + [float("inf")]
        return [
            rate
            for (at, rate), until in zip(self.rates, following, strict=True)
            if at < end and until > begin
        ]

    def find_excess(self):
        """Largest number of requests beyond the tolerance in any window."""
        worst = 0.0
        for begin in self.sent:
            rates = self.list_rates(begin - LEARNING_S, begin + WINDOW_S)
            allowed = 1.5 * max(rates) * WINDOW_S + 5
            got = sum(begin <= at < begin + WINDOW_S for at in self.sent)
            worst = max(worst, got - allowed)
        return worst


class LimitMachine(RuleBasedStateMachine):
    """Requests under random changes of leaders, fronts and limits."""

    def __init__(self):
        super().__init__()
        self.deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
        self.chooser = random.Random(1)
        self.engines = {
            one.upstream: _EngineLimits() for one in self.deployment.endpoints
        }
        self.responses = []
        self.jobs = itertools.count(1)
        self.renewed_at = 0.0
        self.disconnected = set()

    # Events

    @invariant()
    def callers_keep_sending(self):
        self.load(self.chooser.choice(PAUSES_S), self.chooser.choice(LOADS))

    @rule(seconds=st.sampled_from(PAUSES_S), rate=st.sampled_from(LOADS))
    def load(self, seconds, rate):
        for _ in range(round(seconds / STEP_S)):
            self.deployment.run(STEP_S)
            self.keep_registered()
            self.deliver_responses()
            for _ in range(self.draw_arrivals(rate * STEP_S)):
                self.send()

    @rule(number=st.integers(0, ENGINES - 1), rate=RATES)
    def set_limit(self, number, rate):
        self.change_rate(number, rate)

    @rule(number=st.integers(0, ENGINES - 1))
    def end_limit(self, number):
        self.change_rate(number, UNLIMITED)

    @rule(number=st.integers(0, ENGINES - 1), factor=st.sampled_from([0.5, 2.0]))
    def scale_limit(self, number, factor):
        rate = self.engines[self.deployment.endpoints[number].upstream].rate
        if rate < UNLIMITED:
            self.change_rate(number, rate * factor)

    @rule(seconds=st.sampled_from([0.0, 1.0, 5.0]))
    def change_leader(self, seconds):
        self.deployment.lose_leader()
        self.load(seconds, 15)
        self.deployment.replace_leader()
        self.disconnected.clear()

    @rule(number=st.integers(0, FRONTS - 1), is_noticed=st.booleans())
    def cut_front(self, number, is_noticed):
        if number not in self.disconnected:
            self.disconnected.add(number)
            self.deployment.cut_front(number, is_noticed=is_noticed)

    @rule()
    def relink_fronts(self):
        deployment = self.deployment
        for number in sorted(self.disconnected):
            deployment.link_front(number)
        self.disconnected.clear()

    @rule()
    def start_front(self):
        if len(self.deployment.fronts) < MAX_FRONTS:
            self.deployment.add_front(len(self.deployment.fronts))

    # Invariants

    @invariant()
    def sums_stay_within_limits(self):
        for upstream, engine in self.engines.items():
            assert engine.find_excess() <= 0, (upstream, engine.rates, engine.sent)

    # Helpers

    def change_rate(self, number, rate):
        engine = self.engines[self.deployment.endpoints[number].upstream]
        engine.rates.append((self.deployment.now, rate))

    def draw_arrivals(self, mean):
        return sum(self.chooser.random() < mean / 4 for _ in range(4))

    def keep_registered(self):
        if self.deployment.now - self.renewed_at >= 1.0:
            self.renewed_at = self.deployment.now
            self.deployment.renew()

    def send(self):
        now = self.deployment.now
        front = self.chooser.choice(self.deployment.fronts)
        work = build_quick(next(self.jobs), remaining=1.0)
        placement = self.deployment.place(front, work)
        if not isinstance(placement, Placement):
            return
        known = front.limits.get(placement.upstream)
        at = now + placement.start_in
        if known.rate < UNLIMITED:
            self.engines[placement.upstream].sent.append(at)
        received_at = at + RESPONSE_TIME_S
        self.responses.append((received_at, front, work.job, placement.upstream, known))

    def deliver_responses(self):
        now = self.deployment.now
        due = [one for one in self.responses if one[0] <= now]
        self.responses = [one for one in self.responses if one[0] > now]
        for _, front, job, upstream, known in due:
            rate = self.engines[upstream].rate
            reported = ObservedLimit(upstream, rate, known.revision)
            self.deployment.record_stage(front, job, is_ended=True)
            self.deployment.record_limit(front, reported)


TestLimitSums = LimitMachine.TestCase
TestLimitSums.settings = settings(stateful_step_count=25)
