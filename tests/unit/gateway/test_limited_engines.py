"""Rate-limited engines under a load of quick prompts, in virtual time without network.

Guards against a leader that keeps sending quick prompts to the engines in use after
these named a limit. tests/functional/test_limited_replicas.py covers the same over
HTTP.
"""

import random

from scalebend.models.placement import Placement
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit
from tests.lib.gateway_builders import build_quick, build_work
from tests.lib.gateway_group import build_deployment

FRONTS = 8
ENGINES = 18
RATE_PER_S = 10.0
"""Quick prompts a second over all fronts."""

FIRST_TOKEN_S = 0.1
RESPONSE_S = 3.0
"""Seconds until the first token, and until the end of a response."""

LEARNING_S = 0.5
"""Seconds from the first response that names a limit until it is enforced."""

WINDOW_S = 4.0


class QuickLoad:
    """Quick prompts at random times; engines name their limits in their responses."""

    def __init__(self, deployment, seed=1, rate=RATE_PER_S):
        self.deployment = deployment
        self.chooser = random.Random(seed)
        self.limits = {}
        self.sent = []
        self.declined = 0
        self.retry_delays = []
        self._rate = rate
        self._count = 0
        self._open = []
        self._responses = []
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
            self._next += self.chooser.expovariate(self._rate)
            self._arrive(now)
        if now >= self._renew_at:
            self._renew_at = now + 1.0
            self.deployment.renew()
        for response in [one for one in self._responses if one[0] <= now]:
            self._responses.remove(response)
            _, front, job, reported = response
            self.deployment.record_stage(front, job, is_ended=False)
            self.deployment.record_limit(front, reported)
        for ending in [one for one in self._open if one[0] <= now]:
            self._open.remove(ending)
            _, front, job = ending
            self.deployment.record_stage(front, job, is_ended=True)

    def _arrive(self, now):
        front = self.chooser.choice(self.deployment.fronts)
        self._count += 1
        work = build_quick(self._count)
        placement = self.deployment.place(front, work)
        if not isinstance(placement, Placement):
            self.declined += 1
            self.retry_delays.append(placement.retry_after)
            return
        self.sent.append((now + placement.start_in, placement.upstream))
        self._open.append((now + RESPONSE_S, front, work.job))
        known = front.limits.get(placement.upstream).revision
        rate = self.limits.get(placement.upstream, UNLIMITED)
        reported = ObservedLimit(placement.upstream, rate, known)
        self._responses.append((now + FIRST_TOKEN_S, front, work.job, reported))

    def list_busiest(self):
        """The two engines that got most prompts."""
        engines = [upstream for _, upstream in self.sent]
        return sorted(set(engines), key=engines.count)[-2:]

    def count_most(self, upstream, since):
        """Most prompts that an engine got in one window that starts after ``since``."""
        times = [at for at, one in self.sent if one == upstream and at >= since]
        return max(
            (sum(at <= one < at + WINDOW_S for one in times) for at in times), default=0
        )


def test_leader_respects_rate_limits():
    deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
    load = QuickLoad(deployment)
    load.run(8.0)
    limits = dict(zip(load.list_busiest(), (1.0, 1.2), strict=True))
    load.limits = limits
    since = deployment.now + LEARNING_S
    load.run(20.0)
    for upstream, limit in limits.items():
        # One more may fall into the window at each of its ends.
        assert load.count_most(upstream, since) <= limit * WINDOW_S + 2
        # The engine is used, not avoided.
        assert load.count_most(upstream, since) >= 0.5 * limit * WINDOW_S
    assert load.declined == 0


def compute_tolerated(limit):
    """Requests that replicas tolerate in one window."""
    return 1.5 * limit * WINDOW_S + 5


def build_load(rate=RATE_PER_S):
    return QuickLoad(build_deployment(FRONTS, ENGINES, has_engines=True), rate=rate)


def set_limits(load, limit):
    """Let all engines name a limit from now on, including unused ones."""
    deployment = load.deployment
    names = [endpoint.upstream for endpoint in deployment.endpoints]
    load.limits = dict.fromkeys(names, limit)
    for name in names:
        deployment.record_limit(deployment.fronts[0], ObservedLimit(name, limit, 0))
    return names


def count_since(load, since):
    return sum(at >= since for at, _ in load.sent)


def test_load_below_the_limits_of_all_engines_is_served():
    load = build_load()
    load.run(4.0)
    names = set_limits(load, 1.0)
    load.run(4.0)
    load.declined = 0
    since = load.deployment.now
    load.run(20.0)
    assert all(load.count_most(one, since) <= WINDOW_S + 2 for one in names)
    # The engines take 18 a second, 10 arrive: none is declined.
    assert load.declined == 0


def test_load_above_the_limits_of_all_engines_uses_them_up():
    load = build_load()
    load.run(4.0)
    limit = 0.4
    names = set_limits(load, limit)
    load.run(8.0)
    since = load.deployment.now
    load.run(40.0)
    assert all(load.count_most(one, since) <= limit * WINDOW_S + 2 for one in names)
    # The engines take 7.2 a second, 10 arrive.
    assert count_since(load, since) >= 0.9 * limit * ENGINES * 40.0
    assert load.declined > 0
    assert all(0.0 < delay <= 1.0 / limit for delay in load.retry_delays)


def test_engine_is_used_again_after_its_limit_ends():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    load.limits = {busiest: 0.5}
    load.run(8.0)
    load.limits = {}
    # The next response shows it, at the latest after two seconds.
    load.run(3.0)
    since = load.deployment.now
    load.run(8.0)
    assert sum(one == busiest for at, one in load.sent if at >= since) > 8


def test_changed_limit_is_respected():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    for limit in (2.0, 1.0, 0.25, 1.0, 2.0):
        load.limits = {busiest: limit}
        # A response shows it, at the latest after the longest interval of two sends.
        load.run(5.0)
        since = load.deployment.now
        load.run(12.0)
        assert load.count_most(busiest, since) <= limit * WINDOW_S + 2
        assert load.count_most(busiest, since) >= limit * WINDOW_S * 0.5


def test_engine_with_zero_limit_gets_occasional_prompts():
    load = build_load()
    load.run(8.0)
    (busiest,) = load.list_busiest()[-1:]
    load.limits = {busiest: 0.0}
    load.run(2.0)
    since = load.deployment.now
    load.run(65.0)
    sent = [at for at, one in load.sent if one == busiest and at >= since]
    assert 1 <= len(sent) <= 3


def test_uncoordinated_fronts_share_the_limit():
    load = build_load()
    load.run(4.0)
    names = set_limits(load, 1.0)
    load.run(6.0)
    since = load.deployment.now
    load.deployment.lose_leader()
    load.run(6.0)
    leader_back_at = load.deployment.now
    load.deployment.replace_leader()
    load.run(10.0)
    # This includes the times of losing the leader and of electing another.
    assert all(load.count_most(one, since) <= WINDOW_S + 2 for one in names)
    assert any(since < at < leader_back_at for at, _ in load.sent)


def test_new_leader_knows_the_limits_before_it_places_work():
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
    assert load.count_most(busiest, since) <= WINDOW_S + 2


def test_disconnected_fronts_stay_within_the_tolerance():
    load = build_load()
    load.run(4.0)
    names = set_limits(load, 1.0)
    load.run(6.0)
    since = load.deployment.now
    for number in range(3):
        load.deployment.cut_front(number, is_noticed=True)
    load.run(20.0)
    assert all(load.count_most(one, since) <= compute_tolerated(1.0) for one in names)
    sent = count_since(load, since)
    assert sent >= 0.9 * RATE_PER_S * 20.0


def test_unused_permits_of_many_fronts_expire():
    deployment = build_deployment(60, 1, has_engines=True)
    load = QuickLoad(deployment, rate=0.5)
    load.run(2.0)
    (name,) = set_limits(load, 1.0)
    load.run(4.0)
    deployment.lose_leader()
    since = deployment.now
    load.run(90.0)
    load.set_rate(200.0)
    load.run(10.0)
    assert load.count_most(name, since) <= compute_tolerated(1.0)


def test_long_prompts_avoid_rate_limited_engines():
    deployment = build_deployment(2, 18, has_engines=True)
    load = QuickLoad(deployment)
    load.run(2.0)
    limited = {endpoint.upstream for endpoint in deployment.endpoints[:6]}
    for upstream in limited:
        reported = ObservedLimit(upstream, 5.0, 0)
        deployment.record_limit(deployment.fronts[0], reported)
    deployment.run(3.0)
    placement = deployment.place(deployment.fronts[1], build_work(9_000, 200_000))
    assert len(placement.upstreams) > 4
    assert not limited & set(placement.upstreams)


def test_long_prompts_are_placed_if_all_engines_are_rate_limited():
    deployment = build_deployment(2, 18, has_engines=True)
    for endpoint in deployment.endpoints:
        reported = ObservedLimit(endpoint.upstream, 1.0, 0)
        deployment.record_limit(deployment.fronts[0], reported)
    deployment.run(3.0)
    placement = deployment.place(deployment.fronts[1], build_work(1, 200_000))
    assert len(placement.upstreams) > 4


def test_limit_named_without_a_leader_is_respected():
    load = build_load()
    load.run(4.0)
    load.deployment.lose_leader()
    names = [endpoint.upstream for endpoint in load.deployment.endpoints]
    load.limits = dict.fromkeys(names, 1.0)
    # Each front has to read the limit in a response of each engine.
    load.set_rate(40.0)
    load.run(10.0)
    since = load.deployment.now
    load.run(10.0)
    assert all(load.count_most(one, since) <= compute_tolerated(1.0) for one in names)
