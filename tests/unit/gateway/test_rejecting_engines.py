"""Engines that reject requests of all fronts, under a load of quick prompts.

An engine that rejects everything is idle; it must not stay the first choice of every
front. Virtual time, no network.
"""

import random

import pytest

from scalebend.core.gateway.attempts import MAX_REJECTIONS
from scalebend.core.gateway.engine_scheduler import REJECTION_AVOID_S
from scalebend.models.placement import Placement
from tests.lib.gateway_builders import build_quick
from tests.lib.gateway_group import build_deployment

FRONTS = 40
ENGINES = 18
REJECTING = 3
PROMPTS_PER_S = 30.0
"""Quick prompts per second over all fronts."""

RETRY_AFTER_S = 3.0
DECODE_TIME_S = 3.0
REJECTING_TIME_S = 6.0


class RejectedLoad:
    """Quick prompts at random times; some engines reject all of them."""

    def __init__(self, deployment, seed, pause):
        self.deployment = deployment
        self.pause = pause
        self.random = random.Random(seed)
        self.rejecting = []
        self.rejections = 0
        self.declined = 0
        self._count = 0
        self._open = []
        self._next_arrival = self._next_renewal = deployment.now

    def list_busy_engines(self):
        """List the engines with open jobs, sorted by name."""
        return sorted({one[3] for one in self._open})

    def run(self, seconds):
        end = self.deployment.now + seconds
        while self.deployment.now < end:
            self.deployment.run(0.01)
            now = self.deployment.now
            if now >= self._next_renewal:
                self._next_renewal = now + 1.0
                self.deployment.renew()
            while self._next_arrival <= now:
                self._next_arrival += self.random.expovariate(PROMPTS_PER_S)
                self._arrive()
            for one in [one for one in self._open if one[0] <= now]:
                self._open.remove(one)
                self.deployment.record_stage(one[1], one[2], is_ended=True)

    def _arrive(self):
        front = self.random.choice(self.deployment.fronts)
        excluded = ()
        for _ in range(MAX_REJECTIONS):
            self._count += 1
            work = build_quick(self._count, excluded=excluded)
            placed = self.deployment.place(front, work)
            if not isinstance(placed, Placement):
                break
            if placed.upstream not in self.rejecting:
                ending = self.deployment.now + DECODE_TIME_S
                self._open.append((ending, front, work.job, placed.upstream))
                self.deployment.record_stage(front, work.job, is_ended=False)
                return
            self.rejections += 1
            self.deployment.record_stage(front, work.job, is_ended=True)
            self.deployment.record_rejection(front, placed.upstream)
            if self.pause:
                front.backoffs.record(placed.upstream, self.pause, self.deployment.now)
            excluded = (*excluded, placed.upstream)
        self.declined += 1


@pytest.mark.parametrize("pause", [None, RETRY_AFTER_S])
@pytest.mark.parametrize("seed", [0, 1, 4])
def test_rejecting_engine_is_tried_once_per_avoid_time(seed, pause):
    deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
    load = RejectedLoad(deployment, seed, pause)
    load.run(5.0)
    load.rejecting = load.list_busy_engines()[:REJECTING]
    load.run(REJECTING_TIME_S)
    assert len(load.rejecting) == REJECTING
    assert 0 < load.rejections <= REJECTING * REJECTING_TIME_S / REJECTION_AVOID_S
    # Only a request that reaches all rejecting engines in a row is declined.
    assert load.declined <= 2
