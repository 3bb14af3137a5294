"""A state machine of what engines say in answers, against a model that keeps it all.

Engines ask single fronts for pauses, say that they leave, and start again under their
names, while the leader is lost and replaced. The model: within a pause the front that
was asked places nothing there; nobody who heard a farewell does; and as long as an
engine is open to a front, a quick prompt finds one.
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


class Pauses(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.deployment = build_deployment(FRONTS, ENGINES, has_engines=True)
        self.until = {}
        self.left = set()
        self.is_led = True
        self.jobs = 0
        self.births = 0

    @property
    def now(self):
        return self.deployment.now

    def list_paused(self, front):
        return {
            upstream
            for (number, upstream), until in self.until.items()
            if number == front and until > self.now
        }

    def list_left(self, front):
        return {upstream for number, upstream in self.left if number == front}

    @rule(front=fronts, engine=engines, seconds=st.floats(0.1, 5.0))
    def ask_for_pause(self, front, engine, seconds):
        upstream = self.deployment.endpoints[engine].upstream
        self.deployment.record_rejection(self.deployment.fronts[front], upstream)
        instance = self.deployment.fronts[front]
        instance.backoffs.hear(upstream, seconds, self.now)
        before = self.until.get((front, upstream), 0.0)
        self.until[front, upstream] = max(before, self.now + seconds)

    @rule(front=fronts, engine=engines)
    def say_farewell(self, front, engine):
        upstream = self.deployment.endpoints[engine].upstream
        if self.deployment.fronts[front].directory.get(upstream) is None:
            # Nothing was sent there that it could answer.
            return
        self.deployment.hear_draining(front, upstream)
        self.left.add((front, upstream))

    @rule(engine=engines)
    def start_engine_again(self, engine):
        self.births += 1
        endpoint = self.deployment.endpoints[engine]
        newer = build_endpoint(
            engine + 1,
            upstream=build_upstream_id(endpoint.name, self.births),
            born=self.births,
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
        paused, left = self.list_paused(front), self.list_left(front)
        if isinstance(placed, Placement):
            assert not paused & set(placed.upstreams)
            # A front looks again before it sends: whoever placed may know less.
            assert left & set(placed.upstreams) <= instance.list_left(placed, self.now)
            self.deployment.record_stage(instance, work.job, is_ended=True)
        usable = instance.directory.list_usable(SERVICE)
        is_any_open = {one.upstream for one in usable} - paused - left
        assert not is_any_open or is_long or isinstance(placed, Placement)


TestPauses = Pauses.TestCase
