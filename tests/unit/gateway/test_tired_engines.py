"""Engines that turn away all fronts at once, under a load of quick prompts.

An engine that turns all away runs nothing, so it was the first choice for the next
request, of the same front and of all others: 74 were turned away in 6 s, and 22 callers
that met three such engines in a row were refused. Those that ask for a pause do so of
each front by itself, so each of 40 found out by itself. Virtual time, no network.
"""

import random

import pytest

from scalebend.core.gateway.attempts import MAX_REJECTIONS
from scalebend.core.gateway.engine_scheduler import REJECTION_MEMORY
from scalebend.models.placement import Placement
from tests.lib.gateway_builders import build_quick
from tests.lib.gateway_group import build_deployment

FRONTS = 40
ENGINES = 18
TIRED = 3
RATE = 30.0
"""Quick prompts a second over all fronts."""

PAUSE = 3.0
WRITING = 3.0
TIRED_TIME = 6.0


class TiredLoad:
    """Quick prompts at random moments; some engines turn all of them away."""

    def __init__(self, deployment, seed, pause):
        self.deployment = deployment
        self.pause = pause
        self.chance = random.Random(seed)
        self.tired = []
        self.rejections = 0
        self.refused = 0
        self._count = 0
        self._open = []
        self._next = self._renew_at = deployment.now

    def list_used(self):
        """Engines that run something, in the order of their names."""
        return sorted({one[3] for one in self._open})

    def run(self, seconds):
        end = self.deployment.now + seconds
        while self.deployment.now < end:
            self.deployment.run(0.01)
            now = self.deployment.now
            if now >= self._renew_at:
                self._renew_at = now + 1.0
                self.deployment.renew()
            while self._next <= now:
                self._next += self.chance.expovariate(RATE)
                self._arrive()
            for one in [one for one in self._open if one[0] <= now]:
                self._open.remove(one)
                self.deployment.record_stage(one[1], one[2], is_ended=True)

    def _arrive(self):
        front = self.chance.choice(self.deployment.fronts)
        excluded = ()
        for _ in range(MAX_REJECTIONS):
            self._count += 1
            work = build_quick(self._count, excluded=excluded)
            placed = self.deployment.place(front, work)
            if not isinstance(placed, Placement):
                break
            if placed.upstream not in self.tired:
                ending = self.deployment.now + WRITING
                self._open.append((ending, front, work.job, placed.upstream))
                self.deployment.record_stage(front, work.job, is_ended=False)
                return
            self.rejections += 1
            self.deployment.record_stage(front, work.job, is_ended=True)
            self.deployment.record_rejection(front, placed.upstream)
            if self.pause:
                front.backoffs.record(placed.upstream, self.pause, self.deployment.now)
            excluded = (*excluded, placed.upstream)
        self.refused += 1


@pytest.mark.parametrize("pause", [None, PAUSE])
@pytest.mark.parametrize("seed", [0, 1, 4])
def test_engine_that_turns_all_fronts_away_is_found_out_once_a_second(seed, pause):
    deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
    load = TiredLoad(deployment, seed, pause)
    load.run(5.0)
    load.tired = load.list_used()[:TIRED]
    load.run(TIRED_TIME)
    assert len(load.tired) == TIRED
    assert 0 < load.rejections <= TIRED * TIRED_TIME / REJECTION_MEMORY
    # The others have room for all: only who meets three tired ones in a row comes back.
    assert load.refused <= 2
