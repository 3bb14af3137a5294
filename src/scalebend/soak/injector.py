"""Injects the faults of a schedule and records which processes they disturb."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Iterator

import aiohttp
import msgspec
import structlog

from scalebend.soak import faults
from scalebend.soak.callers import Caller
from scalebend.soak.deployment import Deployment, build_kept_bytes_chooser
from scalebend.soak.layout import ProcessName
from scalebend.soak.misbehaving import Partition
from scalebend.soak.observations import GUILTY_PROMPTS, Disturbance, Observations
from scalebend.soak.operator import Operator
from scalebend.soak.replicas import GUILTY_DOWN_S, REPLICA_HOST, Fleet, Replica
from scalebend.soak.schedules import Schedule
from scalebend.standins.proxy import Direction, Proxy, Rule

logger = structlog.get_logger(__name__)

SILENT_RESPONSES_S = 1.0
"""Seconds within which responses begin that fall silent by themselves."""


class Injector:
    """Injects the faults of one run."""

    def __init__(
        self,
        deployment: Deployment,
        fleet: Fleet,
        operator: Operator,
        observations: Observations,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._fleet = fleet
        self._operator = operator
        self._observations = observations
        self._chooser = random.Random(f"{seed}/injector")
        self._seed = seed

    async def follow(self, schedule: Schedule, session: aiohttp.ClientSession) -> None:
        """Inject all faults at their times; return when the load ends."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for scheduled in schedule.faults:
                await asyncio.sleep(max(0.0, began + scheduled.at - loop.time()))
                logger.info("fault", fault=describe(scheduled.fault))
                group.create_task(self.inject(scheduled.fault, session))
        await asyncio.sleep(max(0.0, began + schedule.ends - loop.time()))

    async def inject(self, fault: faults.Fault, session: aiohttp.ClientSession) -> None:
        """Inject one fault and wait until it is over."""
        match fault:
            case faults.Kill():
                await self._kill(fault)
            case faults.Stop(process):
                await self._stop(process)
            case faults.Reload(process):
                self._deployment.reload(process)
            case faults.Pause(process, lasts):
                await self._suspend(process, lasts)
            case faults.Impair():
                await self._impair(fault)
            case faults.Reset(target):
                with self._disturb(target):
                    for proxy in self._list_proxies(target):
                        proxy.reset_all()
            case faults.Disorder(process, disk, clock_step, lasts):
                with self._disturb(process) as disturbances:
                    if clock_step:
                        self._observations.clock_steps += disturbances
                    self._deployment.change_process_faults(
                        process, clock_step=clock_step, disk=disk
                    )
                    await asyncio.sleep(lasts)
                    self._deployment.change_process_faults(
                        process, clock_step=0.0, disk=faults.DiskMode.HEALTHY
                    )
            case faults.PartitionFronts():
                await self._partition(fault)
            case faults.Change(count, revokes):
                for _ in range(count):
                    await self._operator.change(session, revokes=revokes)
            case faults.Evacuate(zone, lasts):
                replicas = self._deployment.layout.list_replicas_in(zone)
                with self._disturb_replicas(*replicas):
                    await self._operator.evacuate(session, zone, lasts)
            case faults.RateLimitFault(replicas, rate, lasts):
                await self._limit_rate(replicas, rate, lasts)
            case faults.Reject(replicas, backoff, lasts):
                await self._reject(replicas, backoff, lasts)
            case faults.GuiltyPrompts():
                await self._send_guilty(fault)
            case faults.Silence(replicas, lasts):
                await self._silence(replicas, lasts)
            case faults.SilentResponses():
                await self._silence_responses(fault)
            case faults.Misbehave() | faults.Drain() | faults.Crash():
                await self._inject_replica_fault(fault, session)

    @contextlib.contextmanager
    def _disturb(self, *processes: ProcessName) -> Iterator[list[Disturbance]]:
        now = asyncio.get_running_loop().time
        started = [Disturbance(process, now(), float("inf")) for process in processes]
        self._observations.disturbances += started
        try:
            yield started
        finally:
            for disturbance in started:
                disturbance.until = now()

    @contextlib.contextmanager
    def _disturb_replicas(self, *numbers: int) -> Iterator[list[Replica]]:
        names = [ProcessName(f"replica-{number}") for number in numbers]
        with self._disturb(*names):
            yield [self._fleet.replicas[number] for number in numbers]

    async def _kill(self, fault: faults.Kill) -> None:
        with self._disturb(*fault.processes):
            choose_kept_bytes = (
                build_kept_bytes_chooser(self._chooser)
                if fault.has_power_loss
                else None
            )
            for process in fault.processes:
                self._deployment.kill(
                    process,
                    loses_disk=fault.loses_disk,
                    choose_kept_bytes=choose_kept_bytes,
                )
            await asyncio.sleep(fault.down)
            for process in fault.processes:
                self._deployment.start(process)

    async def _stop(self, process: ProcessName) -> None:
        now = asyncio.get_running_loop().time
        stop = Disturbance(process, now(), float("inf"))
        self._observations.stops.append(stop)
        if not await self._deployment.stop(process):
            self._observations.overdue_stops.append(stop)
        stop.until = now()
        with self._disturb(process):
            self._deployment.start(process)
            await asyncio.sleep(1.0)

    async def _suspend(self, process: ProcessName, lasts: float) -> None:
        with self._disturb(process):
            paused = self._deployment.signal(process, signal.SIGSTOP)
            await asyncio.sleep(lasts)
            if paused is not None:
                self._deployment.signal(process, signal.SIGCONT)

    async def _partition(self, fault: faults.PartitionFronts) -> None:
        deployment = self._deployment
        partition = Partition(REPLICA_HOST, fault.is_refused)
        proxies = [one.proxy for one in self._fleet.replicas if one.proxy is not None]
        now = asyncio.get_running_loop().time
        partitions = [Disturbance(one, now(), float("inf")) for one in fault.fronts]
        self._observations.partitions += partitions
        with contextlib.ExitStack() as stack:
            for front in fault.fronts:
                deployment.change_process_faults(front, partition=partition)
                host = deployment.get_listen_host(front)
                for proxy in proxies:
                    if fault.is_reset:
                        proxy.reset_all(host)
                    else:
                        rule = Rule(host, Direction.BOTH)
                        stack.enter_context(proxy.apply(rule))
            await asyncio.sleep(fault.lasts)
            for front in fault.fronts:
                deployment.change_process_faults(front, partition=None)
        for one in partitions:
            one.until = now()

    async def _impair(self, fault: faults.Impair) -> None:
        target, dialler = fault.target, fault.dialler
        proxies = self._list_proxies(target)
        name = None
        if dialler is not None:
            # Only links identify their dialler; HTTP calls do not.
            proxies = [self._deployment.link_proxies[target]]
            name = self._deployment.get_link_address(dialler)
        rule = Rule(name, fault.holds, fault.delay)
        disturbed = (target,) if dialler is None else (target, dialler)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._disturb(*disturbed))
            for proxy in proxies:
                stack.enter_context(proxy.apply(rule))
            await asyncio.sleep(fault.lasts)

    async def _limit_rate(
        self, replicas: tuple[int, ...], rate: float, lasts: float
    ) -> None:
        # Counts as a disturbance: most requests to the service are rejected meanwhile.
        with self._disturb_replicas(*replicas) as limited:
            await asyncio.gather(*(r.limit_rate(rate, lasts) for r in limited))

    async def _reject(
        self, replicas: tuple[int, ...], backoff: float, lasts: float
    ) -> None:
        with self._disturb_replicas(*replicas) as rejecting:
            await asyncio.gather(
                *(r.reject_requests(backoff, lasts) for r in rejecting)
            )
            # Fronts keep the last backoff for its whole duration.
            await asyncio.sleep(backoff)

    async def _send_guilty(self, fault: faults.GuiltyPrompts) -> None:
        self._fleet.guilty_parts.add(fault.part)
        caller = Caller(fault.part, self._deployment, self._observations, self._seed)
        with self._disturb(GUILTY_PROMPTS):
            await caller.send_guilty(fault.part, fault.kind, fault.lasts)
            await asyncio.sleep(GUILTY_DOWN_S)

    async def _inject_replica_fault(
        self,
        fault: faults.Misbehave | faults.Drain | faults.Crash,
        session: aiohttp.ClientSession,
    ) -> None:
        replica = self._fleet.replicas[fault.replica]
        # Draining is planned work and must disturb no request.
        if isinstance(fault, faults.Drain):
            if fault.by_responses:
                with self._disturb_replicas(fault.replica):
                    await replica.drain_by_responses()
            else:
                await replica.drain(session)
            return
        with self._disturb_replicas(fault.replica):
            if isinstance(fault, faults.Crash):
                await replica.crash(fault.down)
                return
            await replica.misbehave(fault.mode, fault.lasts)

    async def _silence(self, numbers: tuple[int, ...], lasts: float) -> None:
        async with contextlib.AsyncExitStack() as stack:
            for number in numbers:
                silences = self._fleet.replicas[number].silences
                await stack.enter_async_context(silences.silence_all())
            await asyncio.sleep(lasts)

    async def _silence_responses(self, fault: faults.SilentResponses) -> None:
        silences = self._fleet.replicas[fault.replica].silences
        with silences.silence_next(fault.place, fault.lasts, fault.count):
            await asyncio.sleep(SILENT_RESPONSES_S)

    def _list_proxies(self, process: ProcessName) -> list[Proxy]:
        proxies = [self._deployment.call_proxies[process]]
        if process in self._deployment.link_proxies:
            proxies.append(self._deployment.link_proxies[process])
        return proxies


def describe(fault: faults.Fault) -> str:
    """Return a fault as one line of JSON."""
    return msgspec.json.encode(fault).decode()
