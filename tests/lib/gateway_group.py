"""A leader and its fronts in one process, with instant messages and no network."""

import msgspec

from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.control_instance import ControlInstance
from scalebend.core.gateway.front_actions import ToControl
from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import PlacementRequest
from scalebend.core.gateway.routing_store import pack_routing
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import InstanceId, Term
from scalebend.models.placement import JobStage, Placement
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_routing,
    build_service,
    build_settings,
)

LEADER = InstanceId("10.1.0.1:7000")
TICK = 0.05


def pump(instance, now):
    """Run a control instance until it has nothing more to write or do."""
    actions = []
    while True:
        ready = instance.member.collect_ready(now)
        if ready.is_empty and not instance.member.has_outgoing:
            return actions
        actions += instance.finish(ready, now)


class Deployment:
    """One control instance that leads, its fronts, and replicas of one service."""

    def __init__(self, fronts, replicas, engine=None, slow_start=None, *, customers=()):
        self.now = 0.0
        self.engine = engine
        self.customers = customers
        self.slow_start = slow_start
        self.cold_until = {}
        """Times until which replicas are cold, by upstream."""

        self.endpoints = [build_endpoint(number) for number in range(1, replicas + 1)]
        self.fronts = []
        self.names = []
        self.leader = self._build_leader()
        for number in range(fronts):
            self.add_front(number)
        self.run(0.5)

    def _build_leader(self):
        """Build a leader with all replicas registered and no front."""
        recovered = Recovered(DiskId("d"), HardState(Term(0), None), None, [])
        member = ControlMember(LEADER, [], recovered, now=self.now)
        leader = ControlInstance(member, 1.2, now=self.now, bounds=Bounds())
        end = self.now + 1.0
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK)
            leader.advance(self.now)
            pump(leader, self.now)
        services = [build_service(engine=self.engine, slow_start=self.slow_start)]
        routing = build_routing(services=services, customers=self.customers)
        leader.propose_routing(pack_routing(routing, b"{}"), self.now, 0.0)
        pump(leader, self.now)
        for endpoint in self.endpoints:
            leader.register(endpoint, self.now)
        return leader

    def lose_leader(self):
        """Cut the links of all fronts to the leader."""
        for front in self.fronts:
            front.remove_link(LEADER)

    def replace_leader(self):
        """Let another one lead after a second; it knows only what fronts report."""
        self.build_next_leader()
        for name, front in zip(self.names, self.fronts, strict=True):
            front.add_link(LEADER)
            self._deliver(self.leader.add_front(name, self.now))

    def build_next_leader(self):
        """Let another one lead, with the document of the previous one and no front."""
        self.leader = self._build_leader()
        self.leader.placement.start_term([], self.now)

    def cut_front(self, number, *, is_noticed):
        """Cut the link of a front; ``is_noticed``: the leader detects it, too."""
        self.fronts[number].remove_link(LEADER)
        if is_noticed:
            self.leader.remove_front(self.names[number], self.now)

    def link_front(self, number):
        """Link a front again that was cut off."""
        self.fronts[number].add_link(LEADER)
        name = self.names[number]
        self.leader.remove_front(name, self.now)
        self._deliver(self.leader.add_front(name, self.now))

    def add_front(self, number):
        settings = build_settings(link_address=f"10.2.0.{number}:7000", seeds=[LEADER])
        front = FrontInstance(settings, now=self.now)
        front.add_link(LEADER)
        self.fronts.append(front)
        self.names.append(settings.instance)
        self._deliver(self.leader.add_front(settings.instance, self.now))

    def run(self, seconds):
        """Advance the clock; return the actions of the leader."""
        actions = []
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK)
            done = self.leader.advance(self.now) + self._pump()
            self._deliver(done)
            actions += done
            for name, front in zip(self.names, self.fronts, strict=True):
                self._send(name, front.advance(self.now))
        return actions

    def choose_upstream(self, front, chance):
        """Return the replica to which a front would send a plain call."""
        usable = front.directory.list_usable(SERVICE)
        zone = front.settings.availability_zone
        return front.balancer.choose(usable, set(), zone, chance, self.now).upstream

    def place(self, front, work):
        """Place a job by the leader, or uncoordinated if the front has none."""
        number = self.fronts.index(front)
        work = front.exclude_in_backoff(work, self.now)
        placed = None
        if front.leader is not None:
            request = PlacementRequest(work)
            (action,) = self.leader.handle_front(self.names[number], request, self.now)
            placed = action.message.placement or action.message.declined
        if placed is None:
            placed = front.place(work, self.now)
            if isinstance(placed, Placement):
                reports = front.open_job(work, placed, self.now, is_uncoordinated=True)
                self._send(self.names[number], reports)
            return placed
        if isinstance(placed, Placement):
            reports = front.open_job(work, placed, self.now, is_uncoordinated=False)
            self._send(self.names[number], reports)
        return placed

    def record_stage(self, front, job, *, is_ended):
        """Record a job's first token or its end at a front."""
        reports = front.record_stage(JobStage(job, is_ended), self.now)
        self._send(self.names[self.fronts.index(front)], reports)

    def renew(self):
        """Renew the registrations of all replicas."""
        for number, endpoint in enumerate(self.endpoints):
            cold_s = max(0.0, self.cold_until.get(endpoint.upstream, 0.0) - self.now)
            newer = msgspec.structs.replace(
                endpoint, sequence=endpoint.sequence + 1, cold_s=cold_s
            )
            self.endpoints[number] = newer
            self._deliver(self.leader.register(newer, self.now))

    def register(self, endpoint):
        """Register an upstream with the leader and all linked fronts."""
        self._deliver(self.leader.register(endpoint, self.now))
        self.run(TICK)

    def record_draining(self, number, upstream):
        """Let a front receive a response that announces a drain."""
        reports = self.fronts[number].record_draining(upstream)
        self._send(self.names[number], reports or [])

    def record_limit(self, front, observed):
        """Let a front receive a response that names a rate limit."""
        self._send(
            self.names[self.fronts.index(front)], front.record_limit(observed, self.now)
        )

    def record_rejection(self, front, upstream):
        """Let an engine reject a front's request."""
        reports = front.record_rejection(upstream, self.now)
        self._send(self.names[self.fronts.index(front)], reports)

    def _send(self, name, actions):
        for action in actions:
            if isinstance(action, ToControl):
                replies = self.leader.handle_front(name, action.message, self.now)
                self._deliver(replies)

    def _deliver(self, actions):
        for action in actions:
            if isinstance(action, ToFront) and action.front in self.names:
                front = self.fronts[self.names.index(action.front)]
                replies = front.handle(LEADER, action.message, self.now)
                self._send(action.front, replies)

    def _pump(self):
        return pump(self.leader, self.now)


def build_deployment(fronts, replicas, *, has_engines=False, slow_start=None):
    """Build a leader with its fronts linked and all replicas registered."""
    engine = PROFILE if has_engines else None
    return Deployment(fronts, replicas, engine, slow_start)
