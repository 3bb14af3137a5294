"""Quick prompts at replicas that may be cold, in virtual time and without a network."""

import random

from scalebend.models.placement import Placement
from scalebend.models.slow_start import SlowStart
from tests.lib.gateway_builders import build_quick
from tests.lib.gateway_group import build_deployment

SLOW_START = SlowStart(cold_s=3.0, rate=5.0)
ALLOWED = 12
"""Requests that may arrive in one second: 1.5 times the rate and 5 more."""

WINDOW_S = 1.0
STEP_S = 0.01
HEARTBEAT_S = 1.2


class SlowStartLoad:
    """Prompts at random fronts; ``sent`` holds the send times by upstream."""

    def __init__(self, fronts, engines, *, rate, response_s=0.1, slow_start=SLOW_START):
        self.deployment = build_deployment(
            fronts, engines, has_engines=True, slow_start=slow_start
        )
        self.rate = rate
        self.sent = {one.upstream: [] for one in self.deployment.endpoints}
        self.declined = []
        self.step_s = STEP_S
        self._response_s = response_s
        self._chooser = random.Random(1)
        self._count = 0
        self._open = []
        self._renew_at = self.deployment.now

    @property
    def now(self):
        return self.deployment.now

    @property
    def names(self):
        return list(self.sent)

    def turn_cold(self, upstreams, seconds=SLOW_START.cold_s):
        """Let replicas be cold from now on; their next registrations say so."""
        until = self.now + seconds
        self.deployment.cold_until.update(dict.fromkeys(upstreams, until))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.deployment.run(self.step_s)
            if self.now >= self._renew_at:
                self._renew_at = self.now + HEARTBEAT_S
                self.deployment.renew()
            self._end_due()
            for _ in range(self._draw_arrivals()):
                self._arrive()

    def _draw_arrivals(self):
        mean = self.rate * self.step_s
        return sum(self._chooser.random() < mean / 8 for _ in range(8))

    def _end_due(self):
        due = [one for one in self._open if one[0] <= self.now]
        self._open = [one for one in self._open if one[0] > self.now]
        for _, front, job in due:
            self.deployment.record_stage(front, job, is_ended=True)

    def _arrive(self):
        self._count += 1
        front = self._chooser.choice(self.deployment.fronts)
        work = build_quick(self._count)
        placement = self.deployment.place(front, work)
        if not isinstance(placement, Placement):
            self.declined.append((self.now, placement.retry_after))
            return
        at = self.now + placement.start_in
        self.sent[placement.upstream].append(at)
        self._open.append((at + self._response_s, front, work.job))

    def count_since(self, upstream, since):
        return sum(at >= since for at in self.sent[upstream])

    def count_all_since(self, since):
        return sum(self.count_since(one, since) for one in self.names)

    def count_most(self, upstream, since=0.0):
        """Most requests that a replica got in one second."""
        times = sorted(at for at in self.sent[upstream] if at >= since)
        return max(
            (sum(at <= one < at + WINDOW_S for one in times) for at in times),
            default=0,
        )

    def count_worst(self, since=0.0):
        """Most requests that any replica got in one second."""
        return max(self.count_most(one, since) for one in self.names)
