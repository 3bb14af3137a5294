"""Backoff and draining that engines announce in responses, against a model.

During backoff a front places nothing on the engine; a front that knows of a drain sends
nothing there; and a quick prompt is placed while any engine is open to its front.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from scalebend.models.endpoints import build_upstream_id
from scalebend.models.placement import Placement
from tests.lib.gateway_builders import SERVICE, build_endpoint, build_quick, build_work
from tests.lib.gateway_group import build_deployment

FRONTS = 3
ENGINES = 6
fronts = st.integers(0, FRONTS - 1)
engines = st.integers(0, ENGINES - 1)


class EngineBackoffs(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
        self.backoff_until = {}
        self.draining = set()
        self.is_led = True
        self.jobs = 0
        self.incarnations = 0

    @property
    def now(self):
        return self.deployment.now

    def list_in_backoff(self, front):
        return {
            upstream
            for (number, upstream), until in self.backoff_until.items()
            if number == front and until > self.now
        }

    def list_draining(self, front):
        return {upstream for number, upstream in self.draining if number == front}

    @rule(front=fronts, engine=engines, seconds=st.floats(0.1, 5.0))
    def reject_with_backoff(self, front, engine, seconds):
        upstream = self.deployment.endpoints[engine].upstream
        self.deployment.record_rejection(self.deployment.fronts[front], upstream)
        instance = self.deployment.fronts[front]
        instance.backoffs.record(upstream, seconds, self.now)
        before = self.backoff_until.get((front, upstream), 0.0)
        self.backoff_until[front, upstream] = max(before, self.now + seconds)

    @rule(front=fronts, engine=engines)
    def announce_drain(self, front, engine):
        upstream = self.deployment.endpoints[engine].upstream
        if self.deployment.fronts[front].directory.get(upstream) is None:
            # The front does not know this engine, so nothing was sent there.
            return
        self.deployment.record_draining(front, upstream)
        self.draining.add((front, upstream))

    @rule(engine=engines)
    def restart_engine(self, engine):
        self.incarnations += 1
        endpoint = self.deployment.endpoints[engine]
        newer = build_endpoint(
            engine + 1,
            upstream=build_upstream_id(endpoint.name, self.incarnations),
            born=self.incarnations,
        )
        self.deployment.endpoints[engine] = newer
        self.deployment.register(newer)

    @precondition(lambda self: self.is_led)
    @rule()
    def lose_leader(self):
        self.deployment.lose_leader()
        self.is_led = False

    @precondition(lambda self: not self.is_led)
    @rule()
    def replace_leader(self):
        self.deployment.replace_leader()
        self.is_led = True

    @rule(seconds=st.floats(0.05, 3.0))
    def wait(self, seconds):
        self.deployment.run(seconds)
        if self.is_led:
            self.deployment.renew()

    @rule(front=fronts, is_long=st.booleans())
    def place(self, front, is_long):
        self.jobs += 1
        instance = self.deployment.fronts[front]
        work = build_work(self.jobs, 200_000) if is_long else build_quick(self.jobs)
        placed = self.deployment.place(instance, work)
        in_backoff, draining = self.list_in_backoff(front), self.list_draining(front)
        if isinstance(placed, Placement):
            assert not in_backoff & set(placed.upstreams)
            # The front checks again before it sends: the leader may know less.
            assert draining & set(placed.upstreams) <= instance.list_unusable(
                placed, self.now
            )
            self.deployment.record_stage(instance, work.job, is_ended=True)
        usable = instance.directory.list_usable(SERVICE)
        is_any_open = {one.upstream for one in usable} - in_backoff - draining
        assert not is_any_open or is_long or isinstance(placed, Placement)


TestEngineBackoffs = EngineBackoffs.TestCase
