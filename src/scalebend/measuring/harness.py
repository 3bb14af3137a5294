"""Runs the cores of instances against modelled engines in simulated time.

Only the interfaces of the core are modelled, not a whole cluster: messages take a fixed
time, engines follow ``standins.engine_model`` and processing takes no time. The same
scenario, policy and seed give the same result.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence

import msgspec

from scalebend.core.claims import Claim, ClaimTaken, Settle, StoredResponse
from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_client import ProposalOutcome
from scalebend.core.control_member import ToInstance
from scalebend.core.control_state import ApplyConfiguration, Command
from scalebend.core.flow import (
    AbortAttempt,
    AttemptResult,
    ClaimKey,
    Completed,
    Conclude,
    Interrupted,
    NeverStarted,
    Phase,
    Prefilled,
    ResumeAttempt,
    StartAttempt,
)
from scalebend.core.instance import Instance, InstanceAction
from scalebend.core.membership import Outbound
from scalebend.core.messages import Datagram, PeerMessage
from scalebend.core.owner import CancelOnEngine
from scalebend.exceptions import ClaimError, Ran, ScalebendError
from scalebend.measuring.outcomes import Outcome, RunResult, build_prefixes
from scalebend.measuring.scenario import Fault, FaultKind, Scenario, compute_cost
from scalebend.models.configuration import (
    Configuration,
    ConfigurationChange,
    Customer,
    Model,
    Service,
    ServiceCall,
)
from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    ChangeId,
    ConfigurationVersion,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ModelName,
    Region,
    RequestId,
    ServiceName,
    Term,
    UpstreamId,
)
from scalebend.models.settings import Listen, Peer, Role, Settings
from scalebend.models.upstream import (
    Announcement,
    LoadedModel,
    UpstreamFamily,
    UpstreamState,
)
from scalebend.models.work import Request
from scalebend.standins.engine_model import EngineModel, Finished, FirstToken
from scalebend.standins.load import PlannedRequest
from scalebend.utils.division import divide_up

MODEL = ModelName("dossiers")
SERVICE = ServiceName("work-orders")
TICK_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 0.5
START_TIME_S = 4.0
"""Simulated time for elections and announcements before the load begins."""

TAIL_TIME_S = 10.0
"""Time after the last request by which all memory must be released."""

SERVICE_TIME_S = 0.02


class _Engine(msgspec.Struct):
    name: UpstreamId
    zone: AvailabilityZone
    model: EngineModel
    incarnation: int = 1
    is_up: bool = True
    is_draining: bool = False
    plan: int = 0
    sequence: int = 0


class _RunningAttempt(msgspec.Struct):
    """One attempt that an upstream executes."""

    attempt: AttemptId
    request: RequestId
    instance: InstanceId
    engine: UpstreamId
    outcome: Outcome
    is_prefill_only: bool = False


class Harness:
    """One run of a scenario with one policy and one seed."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.now = 0.0
        self._policy = policy
        self._random = random.Random(f"{scenario.name}/{policy}/{seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._instances: dict[InstanceId, Instance] = {}
        self._by_gossip: dict[str, InstanceId] = {}
        self._zones: dict[InstanceId, AvailabilityZone] = {}
        self._engines: dict[UpstreamId, _Engine] = {}
        self._services: dict[UpstreamId, AvailabilityZone] = {}
        self._attempts: dict[AttemptId, _RunningAttempt] = {}
        self._outcomes: dict[RequestId, Outcome] = {}
        self._requests: dict[RequestId, Request] = {}
        self._homes: dict[RequestId, InstanceId] = {}
        self._proposals: dict[str, tuple[InstanceId, RequestId]] = {}
        self._orders_run: dict[str, int] = {}
        self._work_done: list[tuple[float, str, float]] = []
        self._cancel_loss = 0.0
        self._message_loss = 0.0
        self._late_starts_on_draining = 0
        self._draining_since: dict[UpstreamId, float] = {}
        self._build_fleet(seed)

    def list_instances(self) -> list[Instance]:
        """Return the instances that run."""
        return list(self._instances.values())

    def propose(self, instance: Instance, command: Command) -> None:
        """Propose a command to the control group through an instance."""
        _, actions = instance.propose(command, 5.0, self.now, self.now)
        self._execute(instance.me, actions)
        self._run_control(instance.me)

    # Simulated time

    def call_at(self, at: float, work: Callable[[], None]) -> None:
        """Schedule ``work`` for a simulated time in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (max(at, self.now), self._event_count, work))

    def run_until(self, end: float) -> None:
        """Run scheduled events up to ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = end

    def run(self, planned: list[PlannedRequest]) -> RunResult:
        """Run the planned requests and the faults to the end; return the outcomes."""
        self.run_until(START_TIME_S)
        for request in planned:
            self.call_at(START_TIME_S + request.at, self._bind(self._send, request))
        for fault in self.scenario.faults:
            self.call_at(START_TIME_S + fault.at, self._bind(self._inject_fault, fault))
        self._schedule_orders()
        last = START_TIME_S + self.scenario.duration
        while self.now < last or self._has_open_requests():
            self.run_until(self.now + 1.0)
        self.run_until(self.now + TAIL_TIME_S)
        engines = self._engines.values()
        return RunResult(
            list(self._outcomes.values()),
            sum(engine.model.used_tokens for engine in engines if engine.is_up),
            sum(engine.model.memory_rejections for engine in engines),
            sum(count > 1 for count in self._orders_run.values()),
            self._work_done,
            len(self._outcomes),
            self._late_starts_on_draining,
        )

    def _has_open_requests(self) -> bool:
        return any(outcome.ended is None for outcome in self._outcomes.values())

    @staticmethod
    def _bind(work: Callable[..., None], *arguments: object) -> Callable[[], None]:
        return lambda: work(*arguments)

    # Fleet

    def _build_fleet(self, seed: int) -> None:
        scenario = self.scenario
        zones = [AvailabilityZone(zone) for zone in scenario.zones]
        names = [InstanceId(f"entry-{n}") for n in range(scenario.instances)]
        for number, name in enumerate(names):
            self._zones[name] = zones[number % len(zones)]
            self._by_gossip[_build_gossip_address(name)] = name
        for number, name in enumerate(names):
            is_control = number < scenario.control
            settings = self._build_settings(name, names, is_control)
            recovered = None
            if is_control:
                recovered = Recovered(
                    DiskId(f"disk-{number}"), HardState(Term(0), None), None, []
                )
            self._instances[name] = Instance(
                settings, recovered, now=0.0, incarnation=1, seed=seed
            )
            offset = TICK_INTERVAL_S * number / len(names)
            self.call_at(offset, self._bind(self._tick, name))
        for number in range(scenario.engines):
            upstream = UpstreamId(f"engine-{number:03}")
            engine = _Engine(
                upstream, zones[number % len(zones)], EngineModel(scenario.parameters)
            )
            self._engines[upstream] = engine
            at = 1.5 + ANNOUNCE_INTERVAL_S * number / scenario.engines
            self.call_at(at, self._bind(self._announce_engine, upstream))
        for number in range(scenario.services):
            upstream = UpstreamId(f"service-{number}")
            self._services[upstream] = zones[number % len(zones)]
            self.call_at(1.5, self._bind(self._announce_service, upstream, 1))
        self.call_at(2.0, self._apply_configuration)

    def _build_settings(
        self, name: InstanceId, names: list[InstanceId], is_control: bool
    ) -> Settings:
        region = Region(self.scenario.region)
        peers = [
            Peer(
                other,
                "127.0.0.1:1",
                _build_gossip_address(other),
                region,
                self._zones[other],
                names.index(other) < self.scenario.control,
            )
            for other in names
            if other != name
        ]
        return Settings(
            instance=name,
            region=region,
            availability_zone=self._zones[name],
            listen=Listen("127.0.0.1:1", "127.0.0.1:1", _build_gossip_address(name)),
            roles=[Role.ENTRY, Role.CONTROL] if is_control else [Role.ENTRY],
            peers=peers,
            data_folder="-" if is_control else None,
            policy=self._policy,
        )

    def _apply_configuration(self) -> None:
        configuration = Configuration(
            customers=[
                Customer(c.customer, [], weight=c.weight)
                for c in self.scenario.customers
            ],
            services=[Service(SERVICE, [ServiceCall("POST", "/", False)])],
            models=[Model(MODEL, replicas=0)],
        )
        change = ConfigurationChange(
            ConfigurationVersion(0), ChangeId("measure"), configuration
        )
        first = next(iter(self._instances))
        self.propose(self._instances[first], ApplyConfiguration(change))

    # Instances

    def _tick(self, name: InstanceId) -> None:
        instance = self._instances.get(name)
        if instance is None:
            return
        self._execute(name, instance.advance(self.now, self.now))
        self._run_control(name)
        self.call_at(self.now + TICK_INTERVAL_S, self._bind(self._tick, name))

    def _run_control(self, name: InstanceId) -> None:
        instance = self._instances.get(name)
        if instance is None or instance.control is None:
            return
        while True:
            ready = instance.control.collect_ready(self.now)
            if ready.is_empty and not instance.control.has_outgoing:
                return
            self._execute(name, instance.finish_control(ready, self.now, self.now))

    def _get_delay(self, one: AvailabilityZone, other: AvailabilityZone) -> float:
        return 0.0002 if one == other else self.scenario.zone_delay

    def _deliver(
        self, sender: InstanceId, to: InstanceId, message: PeerMessage
    ) -> None:
        instance = self._instances.get(to)
        if instance is None or sender not in self._instances:
            return
        actions = instance.handle_peer(sender, message, self.now, self.now)
        self._execute(to, actions)
        self._run_control(to)

    def _deliver_datagram(self, to: InstanceId, datagram: Datagram) -> None:
        instance = self._instances.get(to)
        if instance is not None:
            self._execute(to, instance.handle_datagram(datagram, self.now))

    def _execute(self, name: InstanceId, actions: Sequence[InstanceAction]) -> None:
        for action in actions:
            self._execute_one(name, action)

    def _execute_one(self, name: InstanceId, action: InstanceAction) -> None:
        match action:
            case ToInstance(to, message):
                self.send_message(name, to, message)
            case Outbound(address, datagram):
                self.send_datagram(name, address, datagram)
            case StartAttempt():
                self._start_attempt(name, action)
            case ResumeAttempt(attempt):
                self._resume_attempt(attempt)
            case AbortAttempt(attempt):
                self._attempts.pop(attempt, None)
            case ClaimKey(request):
                self._propose_claim(name, request)
            case CancelOnEngine(upstream, attempt):
                self._cancel_attempt(name, upstream, attempt)
            case Conclude(request, error):
                self._conclude(name, request, error)
            case ProposalOutcome(proposal, result):
                self._apply_claim_result(proposal, result)

    def send_datagram(self, name: InstanceId, address: str, datagram: Datagram) -> None:
        """Deliver a datagram after the delay between the availability zones."""
        to = self._by_gossip[address]
        delay = self._get_delay(self._zones[name], self._zones[to])
        work = self._bind(self._deliver_datagram, to, datagram)
        self.call_at(self.now + delay, work)

    def send_message(
        self, name: InstanceId, to: InstanceId, message: PeerMessage
    ) -> None:
        """Deliver a message after the delay between the availability zones.

        While a fault loses messages, some of them are dropped.
        """
        if self._message_loss and self._random.random() < self._message_loss:
            return
        if to not in self._zones:
            return
        delay = self._get_delay(self._zones[name], self._zones[to])
        self.call_at(self.now + delay, self._bind(self._deliver, name, to, message))

    # Requests

    def _send(self, planned: PlannedRequest) -> None:
        names = sorted(self._instances)
        name = self._random.choice(names)
        request = Request(
            request=RequestId(f"r{planned.number}"),
            customer=planned.customer,
            arrived=self.now,
            deadline=self.now + self.scenario.time_limit,
            model=MODEL,
            prompt_tokens=planned.prompt_tokens,
            output_tokens=planned.output_tokens,
            prefixes=tuple(prefix for prefix, _ in build_prefixes(planned)),
        )
        outcome = Outcome(planned, deadline=request.deadline - START_TIME_S)
        self._admit(name, request, outcome)

    def _schedule_orders(self) -> None:
        if not self.scenario.order_rate:
            return
        at = 0.0
        number = 0
        while (at := at + 1.0 / self.scenario.order_rate) < self.scenario.duration:
            number += 1
            work = self._bind(self._send_order, number, at)
            self.call_at(START_TIME_S + at, work)

    def _send_order(self, number: int, at: float) -> None:
        name = self._random.choice(sorted(self._instances))
        customer = self.scenario.customers[0].customer
        # Every third order repeats the previous one, with its idempotency key.
        key = f"order-{number - 1 if number % 3 == 0 else number}"
        request = Request(
            request=RequestId(f"o{number}"),
            customer=customer,
            arrived=self.now,
            deadline=self.now + 20.0,
            service=SERVICE,
            is_idempotent=False,
            is_streamed=False,
            idempotency_key=IdempotencyKey(key),
            fingerprint=key,
        )
        planned = PlannedRequest(-number, at, customer, 0, 0)
        outcome = Outcome(planned, order=key, deadline=request.deadline - START_TIME_S)
        self._admit(name, request, outcome)

    def _admit(self, name: InstanceId, request: Request, outcome: Outcome) -> None:
        self._outcomes[request.request] = outcome
        self._requests[request.request] = request
        self._homes[request.request] = name
        try:
            actions = self._instances[name].admit(request, self.now)
        except ScalebendError as error:
            self._conclude(name, request.request, error)
            return
        self._execute(name, actions)

    def _conclude(
        self, name: InstanceId, request: RequestId, error: ScalebendError | None
    ) -> None:
        outcome = self._outcomes[request]
        if outcome.ended is not None:
            return
        outcome.ended = self.now - START_TIME_S
        if error is not None:
            outcome.error = error.kind.value
            outcome.ran = error.ran.value
        instance = self._instances.get(name)
        if instance is not None:
            instance.finish(request, self._requests[request].customer)
            self._settle_claim(name, request, error)

    # Claims

    def _propose_claim(self, name: InstanceId, request: RequestId) -> None:
        stored = self._requests[request]
        assert stored.idempotency_key is not None
        command = Claim(
            stored.customer, stored.idempotency_key, stored.fingerprint, request
        )
        proposal, actions = self._instances[name].propose(
            command, 2.0, self.now, self.now
        )
        self._proposals[proposal] = (name, request)
        self._execute(name, actions)
        self._run_control(name)

    def _apply_claim_result(self, proposal: str, result: object) -> None:
        pending = self._proposals.pop(proposal, None)
        if pending is None:
            return
        name, request = pending
        error = None if isinstance(result, ClaimTaken) else ClaimError("claimed")
        if error is not None:
            error.ran = Ran.UNKNOWN
        actions = self._instances[name].handle_claim(request, error, self.now)
        self._execute(name, actions)

    def _settle_claim(
        self, name: InstanceId, request: RequestId, error: ScalebendError | None
    ) -> None:
        stored = self._requests[request]
        if stored.idempotency_key is None or error is not None:
            return
        response = StoredResponse(200, "application/json", b"{}")
        command = Settle(stored.customer, stored.idempotency_key, request, response)
        _, actions = self._instances[name].propose(command, 10.0, self.now, self.now)
        self._execute(name, actions)

    # Upstreams

    def _start_attempt(self, name: InstanceId, start: StartAttempt) -> None:
        lead = start.upstreams[0]
        zone = self._services.get(lead)
        if zone is None:
            zone = self._engines[lead].zone
        delay = self._get_delay(self._zones[name], zone)
        run = _RunningAttempt(
            start.attempt,
            start.request,
            name,
            lead,
            self._outcomes[start.request],
            start.phase is Phase.PREFILL,
        )
        self._attempts[start.attempt] = run
        work: Callable[..., None] = self._run_engine
        if lead in self._services:
            work = self._run_service
        elif start.phase is Phase.DECODE:
            work = self._begin_import
        self.call_at(self.now + delay, self._bind(work, run, start))

    def _run_service(self, run: _RunningAttempt, start: StartAttempt) -> None:
        run.outcome.starts += 1
        key = run.outcome.order
        self._orders_run[key] = self._orders_run.get(key, 0) + 1
        self._report_result(run, Completed(), SERVICE_TIME_S)

    def _run_engine(self, run: _RunningAttempt, start: StartAttempt) -> None:
        group = [self._engines[upstream] for upstream in start.upstreams]
        if not all(engine.is_up for engine in group):
            self._report_result(run, NeverStarted("cannot connect"), 0.001)
            return
        width = len(group)
        request = self._requests[start.request]
        memory = divide_up(request.memory_tokens, width)
        lead = group[0]
        is_reserved = all(
            e.model.reserve_memory(start.attempt, memory) for e in group[1:]
        )
        sequence = None
        if is_reserved:
            prefixes = build_prefixes(run.outcome.planned)
            sequence = lead.model.submit(
                start.attempt,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                priority=start.priority,
                now=self.now,
                prefixes=prefixes,
                group_size=width,
                is_prefill_only=start.phase is Phase.PREFILL,
            )
        if sequence is None:
            rejected = NeverStarted("refused", may_hold_memory=width > 1)
            self._report_result(run, rejected, 0.001)
            return
        run.outcome.starts += 1
        draining_since = self._draining_since.get(lead.name)
        if draining_since is not None and self.now > draining_since + 2.0:
            self._late_starts_on_draining += 1
        self._plan_steps(lead)

    def _begin_import(self, run: _RunningAttempt, start: StartAttempt) -> None:
        engine = self._engines[start.upstreams[0]]
        assert start.source is not None
        source = self._engines[start.source]
        request = self._requests[start.request]
        is_prefilled = source.is_up and start.attempt in source.model.list_running()
        duration = None
        if is_prefilled and engine.is_up:
            duration = engine.model.begin_import(
                start.attempt,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
            )
        if duration is None:
            self._report_result(run, NeverStarted("cannot import"), 0.001)
            return

        def finish() -> None:
            if engine.is_up and engine.model.finish_import(start.attempt, self.now):
                self._plan_steps(engine)
                self._report_started(run)

        self.call_at(self.now + duration, finish)

    def _plan_steps(self, engine: _Engine) -> None:
        end = engine.model.plan(self.now)
        engine.plan += 1
        if end is not None:
            self.call_at(end, self._bind(self._complete_steps, engine, engine.plan))

    def _complete_steps(self, engine: _Engine, plan: int) -> None:
        if plan != engine.plan or not engine.is_up:
            return
        for event in engine.model.complete(self.now):
            run = self._attempts.get(event.attempt)
            match event:
                case FirstToken():
                    if run is not None and run.outcome.first_token is None:
                        run.outcome.first_token = self.now - START_TIME_S
                    self._report_started(run)
                    if run is not None and run.is_prefill_only:
                        self._report_result(run, Prefilled(), 0.001)
                case Finished(_, _, output):
                    self._charge(event.attempt)
                    if run is not None:
                        run.outcome.output_tokens = output
                        self._report_result(run, Completed(output), 0.001)
        self._plan_steps(engine)

    def _charge(self, attempt: AttemptId) -> None:
        request = RequestId(attempt.rpartition(".")[0])
        planned = self._outcomes[request].planned
        parameters = self.scenario.parameters
        cost = compute_cost(planned.prompt_tokens, planned.output_tokens, parameters)
        self._work_done.append((self.now - START_TIME_S, planned.customer, cost))

    def _report_started(self, run: _RunningAttempt | None) -> None:
        if run is None:
            return

        def report() -> None:
            instance = self._instances.get(run.instance)
            if instance is not None and run.attempt in self._attempts:
                actions = instance.handle_started(run.attempt, self.now)
                self._execute(run.instance, actions)

        self.call_at(self.now + 0.001, report)

    def _report_result(
        self, run: _RunningAttempt, result: AttemptResult, delay: float
    ) -> None:
        def report() -> None:
            instance = self._instances.get(run.instance)
            if instance is None or run.attempt not in self._attempts:
                return
            if not isinstance(result, Interrupted | Prefilled):
                del self._attempts[run.attempt]
            actions = instance.handle_result(run.attempt, result, self.now)
            self._execute(run.instance, actions)

        self.call_at(self.now + delay, report)

    def _resume_attempt(self, attempt: AttemptId) -> None:
        run = self._attempts.get(attempt)
        if run is None:
            return
        engine = self._engines[run.engine]
        if engine.is_up and attempt in engine.model.list_running():
            return
        self._report_result(run, Interrupted("nothing to resume"), 0.002)

    def _cancel_attempt(
        self, name: InstanceId, upstream: UpstreamId, attempt: AttemptId
    ) -> None:
        engine = self._engines[upstream]
        if self._cancel_loss and self._random.random() < self._cancel_loss:
            return

        def cancel() -> None:
            if not engine.is_up:
                return
            engine.model.cancel(attempt, self.now)
            self._plan_steps(engine)
            self.call_at(self.now + 0.001, confirm)

        def confirm() -> None:
            instance = self._instances.get(name)
            if instance is not None:
                actions = instance.confirm_cancelled(upstream, attempt, self.now)
                self._execute(name, actions)

        self.call_at(self.now + 0.001, cancel)

    # Announcements

    def _announce_engine(self, upstream: UpstreamId) -> None:
        engine = self._engines[upstream]
        work = self._bind(self._announce_engine, upstream)
        self.call_at(self.now + ANNOUNCE_INTERVAL_S, work)
        if not engine.is_up:
            return
        engine.sequence += 1
        parameters = self.scenario.parameters
        announcement = Announcement(
            upstream=upstream,
            family=UpstreamFamily.ENGINE,
            address="127.0.0.1:1",
            incarnation=Incarnation(engine.incarnation),
            availability_zone=engine.zone,
            sequence=engine.sequence,
            state=UpstreamState.DRAINING
            if engine.is_draining
            else UpstreamState.SERVING,
            models=[LoadedModel(MODEL)],
            memory_tokens=parameters.memory_tokens,
            concurrency=parameters.concurrency,
            prefill_rate=parameters.prefill_rate,
            step_time=parameters.step_time,
            running=list(engine.model.list_running()),
            cache_events=engine.model.pop_cache_events(),
        )
        self._announce(announcement, self.scenario.report_delay)

    def _announce_service(self, upstream: UpstreamId, sequence: int) -> None:
        work = self._bind(self._announce_service, upstream, sequence + 1)
        self.call_at(self.now + ANNOUNCE_INTERVAL_S, work)
        announcement = Announcement(
            upstream=upstream,
            family=UpstreamFamily.SERVICE,
            address="127.0.0.1:1",
            incarnation=Incarnation(1),
            availability_zone=self._services[upstream],
            sequence=sequence,
            service=SERVICE,
        )
        self._announce(announcement, 0.001)

    def _announce(self, announcement: Announcement, delay: float) -> None:
        name = self._random.choice(sorted(self._instances))

        def arrive() -> None:
            instance = self._instances.get(name)
            if instance is not None:
                actions = instance.receive_announcement(announcement, self.now)
                self._execute(name, actions)

        self.call_at(self.now + delay, arrive)

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.ENGINES_LOST:
                up = [e for e in self._engines.values() if e.is_up]
                for engine in self._random.sample(up, min(fault.count, len(up))):
                    self._crash_engine(engine, fault.back_after)
            case FaultKind.INSTANCE_LOST:
                names = sorted(self._instances)[self.scenario.control :]
                for name in self._random.sample(names, fault.count):
                    self.crash_instance(name)
            case FaultKind.CANCELLATIONS_LOST:
                self._cancel_loss = fault.rate
            case FaultKind.MESSAGES_LOST:
                self._message_loss = fault.rate
                if fault.back_after is not None:
                    self.call_at(self.now + fault.back_after, self._stop_message_loss)
            case FaultKind.LINKS_LOST:
                self._break_connections(fault.rate)
            case FaultKind.ENGINE_DRAINS:
                for engine in list(self._engines.values())[: fault.count]:
                    engine.is_draining = True
                    self._draining_since[engine.name] = self.now

    def _stop_message_loss(self) -> None:
        self._message_loss = 0.0

    def _crash_engine(self, engine: _Engine, back_after: float | None) -> None:
        engine.is_up = False
        for run in [r for r in self._attempts.values() if r.engine == engine.name]:
            self._report_result(run, Interrupted("engine lost"), 0.002)
        if back_after is not None:
            work = self._bind(self._restart_engine, engine)
            self.call_at(self.now + back_after, work)

    def _restart_engine(self, engine: _Engine) -> None:
        engine.model = EngineModel(self.scenario.parameters)
        engine.incarnation += 1
        engine.is_up = True

    def crash_instance(self, name: InstanceId) -> None:
        """Crash an instance."""
        del self._instances[name]
        for request, home in self._homes.items():
            outcome = self._outcomes[request]
            if home == name and outcome.ended is None:
                # The caller sees only that its connection breaks.
                outcome.ended = self.now - START_TIME_S
                outcome.error = "instance-lost"
                outcome.ran = "unknown"
        for attempt in [a for a, r in self._attempts.items() if r.instance == name]:
            del self._attempts[attempt]

    def _break_connections(self, rate: float) -> None:
        for run in list(self._attempts.values()):
            if run.engine in self._engines and self._random.random() < rate:
                self._report_result(run, Interrupted("link lost"), 0.0)


def _build_gossip_address(name: InstanceId) -> str:
    return f"gossip/{name}"
