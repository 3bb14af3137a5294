"""Engines that name a limit on requests a second, under a load of quick prompts.

The pattern: quick prompts share as few engines as they can, so the two that are in use
get 3 to 4 a second each. Both then say that they take 1 and 1.2 a second. The leader,
which places all prompts, goes on as before (tests/functional/test_limited_replicas.py
tells how that was seen). Virtual time, no network.
"""

import random

from scalebend.models.placement import Placement
from scalebend.models.request_limits import UNLIMITED, HeardLimit
from tests.lib.gateway_builders import build_quick, build_work
from tests.lib.gateway_group import build_deployment

FRONTS = 8
ENGINES = 18
RATE = 10.0
"""Quick prompts a second over all fronts."""

FIRST_TOKEN = 0.1
WRITING = 3.0
"""Seconds until the first token, and until the end of an answer."""

LEARNING = 0.5
"""Seconds from the first answer that names a limit until nobody may exceed it."""

WINDOW = 4.0


class QuickLoad:
    """Quick prompts at random moments; engines name their limits in their answers."""

    def __init__(self, deployment, seed=1, rate=RATE):
        self.deployment = deployment
        self.chance = random.Random(seed)
        self.limits = {}
        self.sent = []
        self.declined = 0
        self.pauses = []
        self._rate = rate
        self._count = 0
        self._open = []
        self._answers = []
        self._next = deployment.now
        self._renew_at = deployment.now

    def set_rate(self, rate):
        self._rate = rate

    def run(self, seconds):
        end = self.deployment.now + seconds
        while self.deployment.now < end:
            self.deployment.run(0.01)
            self._step(self.deployment.now)

    def _step(self, now):
        while self._next <= now:
            self._next += self.chance.expovariate(self._rate)
            self._arrive(now)
        if now >= self._renew_at:
            self._renew_at = now + 1.0
            self.deployment.renew()
        for answer in [one for one in self._answers if one[0] <= now]:
            self._answers.remove(answer)
            _, front, job, heard = answer
            self.deployment.record_stage(front, job, is_ended=False)
            self.deployment.hear_limit(front, heard)
        for ending in [one for one in self._open if one[0] <= now]:
            self._open.remove(ending)
            _, front, job = ending
            self.deployment.record_stage(front, job, is_ended=True)

    def _arrive(self, now):
        front = self.chance.choice(self.deployment.fronts)
        self._count += 1
        work = build_quick(self._count)
        placed = self.deployment.place(front, work)
        if not isinstance(placed, Placement):
            self.declined += 1
            self.pauses.append(placed.retry_after)
            return
        self.sent.append((now + placed.start_in, placed.upstream))
        self._open.append((now + WRITING, front, work.job))
        known = front.limits.get(placed.upstream).revision
        rate = self.limits.get(placed.upstream, UNLIMITED)
        heard = HeardLimit(placed.upstream, rate, known)
        self._answers.append((now + FIRST_TOKEN, front, work.job, heard))

    def list_busiest(self):
        """The two engines that got most."""
        engines = [upstream for _, upstream in self.sent]
        return sorted(set(engines), key=engines.count)[-2:]

    def count_most(self, upstream, since):
        """Most that one engine got in one window that begins after ``since``."""
        times = [at for at, one in self.sent if one == upstream and at >= since]
        return max(
            (sum(at <= one < at + WINDOW for one in times) for at in times), default=0
        )


def test_leader_keeps_to_what_engines_take():
    deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
    load = QuickLoad(deployment)
    load.run(8.0)
    limits = dict(zip(load.list_busiest(), (1.0, 1.2), strict=True))
    load.limits = limits
    since = deployment.now + LEARNING
    load.run(20.0)
    for upstream, limit in limits.items():
        # The limit is the aim; one more may come at the window's border.
        assert load.count_most(upstream, since) <= limit * WINDOW + 2
        # It is used, not avoided.
        assert load.count_most(upstream, since) >= 0.5 * limit * WINDOW
    assert load.declined == 0


def compute_tolerated(limit):
    """What replicas tolerate in one window."""
    return 1.5 * limit * WINDOW + 5


def build_load(rate=RATE):
    return QuickLoad(build_deployment(FRONTS, ENGINES, has_engines=True), rate=rate)


def name_limits(load, limit):
    """All engines name a limit from now on, also those that were not in use yet."""
    deployment = load.deployment
    names = [endpoint.upstream for endpoint in deployment.endpoints]
    load.limits = dict.fromkeys(names, limit)
    for name in names:
        deployment.hear_limit(deployment.fronts[0], HeardLimit(name, limit, 0))
    return names


def count_since(load, since):
    return sum(at >= since for at, _ in load.sent)


def test_fleet_in_which_all_name_a_limit_serves_what_it_takes():
    load = build_load()
    load.run(4.0)
    names = name_limits(load, 1.0)
    load.run(4.0)
    load.declined = 0
    since = load.deployment.now
    load.run(20.0)
    assert all(load.count_most(one, since) <= WINDOW + 2 for one in names)
    # 18 a second are taken, 10 come: nobody is refused.
    assert load.declined == 0


def test_limits_of_a_fleet_that_is_asked_for_more_are_used():
    load = build_load()
    load.run(4.0)
    limit = 0.4
    names = name_limits(load, limit)
    load.run(8.0)
    since = load.deployment.now
    load.run(40.0)
    assert all(load.count_most(one, since) <= limit * WINDOW + 2 for one in names)
    # 7.2 a second are taken, 10 come.
    assert count_since(load, since) >= 0.9 * limit * ENGINES * 40.0
    assert load.declined > 0
    assert all(0.0 < pause <= 1.0 / limit for pause in load.pauses)


def test_engine_without_need_is_used_as_before():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    load.limits = {busiest: 0.5}
    load.run(8.0)
    load.limits = {}
    # The next answer there tells, at the latest after two seconds.
    load.run(3.0)
    since = load.deployment.now
    load.run(8.0)
    assert sum(one == busiest for at, one in load.sent if at >= since) > 8


def test_limit_that_changes_is_followed():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    for limit in (2.0, 1.0, 0.25, 1.0, 2.0):
        load.limits = {busiest: limit}
        # An answer tells, at the latest after the longest pause between two sends.
        load.run(5.0)
        since = load.deployment.now
        load.run(12.0)
        assert load.count_most(busiest, since) <= limit * WINDOW + 2
        assert load.count_most(busiest, since) >= limit * WINDOW * 0.5


def test_engine_that_takes_nothing_is_asked_now_and_then():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    load.limits = {busiest: 0.0}
    load.run(2.0)
    since = load.deployment.now
    load.run(65.0)
    sent = [at for at, one in load.sent if one == busiest and at >= since]
    assert 1 <= len(sent) <= 3


def test_fronts_without_a_leader_take_turns():
    load = build_load()
    load.run(4.0)
    names = name_limits(load, 1.0)
    load.run(6.0)
    since = load.deployment.now
    load.deployment.lose_leader()
    load.run(6.0)
    alone = load.deployment.now
    load.deployment.replace_leader()
    load.run(10.0)
    # Also over the moments in which the leader is lost and another one begins.
    assert all(load.count_most(one, since) <= WINDOW + 2 for one in names)
    assert any(since < at < alone for at, _ in load.sent)


def test_new_leader_knows_the_limits_before_it_places():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    load.limits = {busiest: 1.0}
    load.run(4.0)
    since = load.deployment.now
    for _ in range(3):
        load.deployment.lose_leader()
        load.deployment.replace_leader()
        load.run(3.0)
    assert load.count_most(busiest, since) <= WINDOW + 2


def test_fronts_that_are_cut_off_do_not_add_to_what_the_leader_grants():
    load = build_load()
    load.run(4.0)
    names = name_limits(load, 1.0)
    load.run(6.0)
    since = load.deployment.now
    for number in range(3):
        load.deployment.cut_front(number, is_noticed=True)
    load.run(20.0)
    assert all(load.count_most(one, since) <= compute_tolerated(1.0) for one in names)
    sent = count_since(load, since)
    assert sent >= 0.9 * RATE * 20.0


def test_many_fronts_do_not_save_up_their_turns():
    deployment = build_deployment(60, 1, has_engines=True)
    load = QuickLoad(deployment, rate=0.5)
    load.run(2.0)
    (name,) = name_limits(load, 1.0)
    load.run(4.0)
    deployment.lose_leader()
    since = deployment.now
    load.run(90.0)
    load.set_rate(200.0)
    load.run(10.0)
    assert load.count_most(name, since) <= compute_tolerated(1.0)


def test_long_prompts_leave_engines_in_need_alone():
    deployment = build_deployment(2, 18, has_engines=True)
    load = QuickLoad(deployment)
    load.run(2.0)
    limited = {endpoint.upstream for endpoint in deployment.endpoints[:6]}
    for upstream in limited:
        heard = HeardLimit(upstream, 5.0, 0)
        deployment.hear_limit(deployment.fronts[0], heard)
    deployment.run(3.0)
    placed = deployment.place(deployment.fronts[1], build_work(9_000, 200_000))
    assert len(placed.upstreams) > 4
    assert not limited & set(placed.upstreams)


def test_long_prompts_are_read_where_all_engines_are_in_need():
    deployment = build_deployment(2, 18, has_engines=True)
    for endpoint in deployment.endpoints:
        heard = HeardLimit(endpoint.upstream, 1.0, 0)
        deployment.hear_limit(deployment.fronts[0], heard)
    deployment.run(3.0)
    placed = deployment.place(deployment.fronts[1], build_work(1, 200_000))
    assert len(placed.upstreams) > 4


def test_limit_that_is_named_while_nobody_leads_is_kept():
    load = build_load()
    load.run(4.0)
    load.deployment.lose_leader()
    names = [endpoint.upstream for endpoint in load.deployment.endpoints]
    load.limits = dict.fromkeys(names, 1.0)
    # Each front has to hear it from each engine.
    load.set_rate(40.0)
    load.run(10.0)
    since = load.deployment.now
    load.run(10.0)
    assert all(load.count_most(one, since) <= compute_tolerated(1.0) for one in names)
