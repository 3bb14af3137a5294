"""Stand-in replicas: engines with reservable memory, and a plain service.

They speak the platform's protocol and record what they execute, for the checks of the
promises.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import AsyncIterator, Coroutine

import aiohttp
import structlog
from aiohttp import web

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.models.endpoints import (
    Endpoint,
    build_upstream_id,
    get_upstream_born,
    get_upstream_name,
)
from scalebend.models.ids import (
    ServiceName,
    UpstreamId,
    UpstreamName,
)
from scalebend.models.placement import ReplicaReport
from scalebend.platform.headers import (
    CUSTOMER,
    EXPECTED_UPSTREAM,
    HELPERS,
    LAST_EVENT,
    REQUEST_ID,
    build_response_headers,
    read_caller_headers,
)
from scalebend.platform.orders import ORDER_PATH, decode_order
from scalebend.platform.registrations import REGISTRATION_PREFIX, encode_registration
from scalebend.platform.reports import REPORT_PATH, encode_report
from scalebend.soak.documents import ENGINE, read_version
from scalebend.soak.faults import ReplicaMode, SilencePlace
from scalebend.soak.layout import ProcessName, get_replica_zone
from scalebend.soak.observations import (
    Arrival,
    DrainAcknowledgement,
    DrainNotice,
    Execution,
    IncarnationEnd,
    MisbehaviourPeriod,
    Observations,
    PartCrash,
    RateLimitPeriod,
    Rejection,
    Reservation,
    SentResponse,
)
from scalebend.soak.pouring import pour
from scalebend.soak.replica_memory import ReplicaMemory
from scalebend.soak.responses import build_body, build_event
from scalebend.soak.silences import Silences
from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import Proxy, run_proxy

logger = structlog.get_logger(__name__)

REPLICA_HOST = "127.0.0.1"
"""Host of the addresses of all replicas, and of no gateway process."""

CALL_TIMEOUT_S = 1.0
"""Timeout of one call to a control instance in seconds, as on the platform."""

DRAIN_DURATION_S = 3.5
"""Seconds for which a draining replica still serves after the acknowledgement."""

DRAIN_TIMEOUT_S = 6.0
"""Seconds after which a replica ends even if its drain was not acknowledged."""

SLOTS = 8
"""Registered slots of a replica; it rejects requests beyond four times as many."""

EVENTS_BEFORE_RESET = 3
"""Complete events that a resetting replica sends before it resets the connection."""

GUILTY_DOWN_S = 1.0
"""Seconds until a replica is back that a part of a prompt has crashed."""

SERVICE_TIME_S = 0.03
"""Duration of a call to the plain service in seconds."""


class Fleet:
    """All replicas of a run."""

    def __init__(
        self, observations: Observations, controls: dict[ProcessName, str], seed: int
    ) -> None:
        self.observations = observations
        self.controls = controls
        self.chooser = random.Random(seed)
        self.replicas: list[Replica] = []
        self.incarnations = 0
        self.guilty_parts: set[str] = set()
        """Parts of prompts under which replicas crash when they begin to respond."""

        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run ``work`` as a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def find(self, address: str) -> Replica | None:
        """Return the running replica at ``address``, if any."""
        for replica in self.replicas:
            if replica.address == address and replica.is_up:
                return replica
        return None

    def build_upstream_id(self, before: UpstreamId | None = None) -> UpstreamId:
        """Build an unused upstream id; some reuse the name in ``before``."""
        self.incarnations += 1
        name = UpstreamName(f"i-{self.incarnations}")
        if before is not None and self.incarnations % 2:
            name = get_upstream_name(before)
        return build_upstream_id(name, time.time_ns() // 1_000_000)


class Replica:
    """One replica at a fixed address, over its incarnations."""

    def __init__(self, fleet: Fleet, service: ServiceName, address: str) -> None:
        self._fleet = fleet
        self._service = service
        self.address = address
        self._zone = get_replica_zone(len(fleet.replicas))
        self.proxy: Proxy | None = None
        self.mode = ReplicaMode.HEALTHY
        self.rate_limit: float | None = None
        """Announced rate limit in requests per second."""

        self.backoff: float | None = None
        """Requested backoff in seconds while it rejects all requests."""

        self.is_up = True
        self._id = fleet.build_upstream_id()
        self._sequence = 0
        self._is_draining = False
        self._announces_drain = False
        """Whether its responses announce that it drains."""

        self._running = 0
        self._memory = ReplicaMemory(fleet.observations)
        self.silences = Silences(fleet.observations, lambda: self._id)

    # Requests

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request from a front or a control instance."""
        if not self.is_up:
            return self._reset(request)
        request_id = request.headers.get(REQUEST_ID)
        incarnation = self._id
        if request_id is None:
            await self.silences.wait()
        else:
            await self.silences.pass_place(request_id, None)
        if not self.is_up or self._id != incarnation:
            return self._reset(request)
        if request.path == REPORT_PATH:
            report = ReplicaReport(1.0, 0, self._running)
            return web.Response(body=encode_report(report))
        if request.path == ORDER_PATH:
            order = decode_order(await request.read())
            now = asyncio.get_running_loop().time()
            return self._memory.apply(order, self._id, now)
        return await self._serve(request)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        observations = self._fleet.observations
        request_id = request.headers[REQUEST_ID]
        now = asyncio.get_running_loop().time()
        expected = request.headers.get(EXPECTED_UPSTREAM)
        is_misdirected = expected not in (None, get_upstream_name(self._id))
        observations.arrivals.append(
            Arrival(
                request_id, self._service, now, self._id, self._zone, is_misdirected
            )
        )
        if is_misdirected:
            return web.Response(
                status=421, headers=build_response_headers(request_id, None)
            )
        if self.backoff is not None:
            return self._reject(request_id, self.backoff)
        reservations = self._find_reservations(request)
        is_full = self._running >= 4 * SLOTS or self.mode is ReplicaMode.FULL
        if is_full or reservations is None:
            return self._respond_not_run(request_id)
        body = await request.read()
        version = read_version(request.headers.get(CUSTOMER, ""))
        is_altered = request.method != "POST" or body != request_id.encode()
        observations.executions.append(
            Execution(request_id, self._id, now, version, is_altered)
        )
        self._running += 1
        incarnation = self._id
        try:
            response = await self._respond(request, request_id)
        finally:
            self._running -= 1
            for reservation in reservations:
                reservation.used_until = asyncio.get_running_loop().time()
        if not self.is_up or self._id != incarnation:
            return self._reset(request)
        observations.sent_responses.append(SentResponse(request_id, response.status))
        return response

    def _reject(self, request_id: str, backoff: float) -> web.Response:
        now = asyncio.get_running_loop().time()
        self._fleet.observations.rejections.append(
            Rejection(request_id, self._id, now, backoff)
        )
        return self._respond_not_run(request_id, backoff)

    def _respond_not_run(
        self, request_id: str, backoff: float | None = None
    ) -> web.Response:
        # Rejections, too, announce the rate limit and a drain.
        not_run_headers = build_response_headers(
            request_id,
            None,
            has_not_run=True,
            rate_limit=self.rate_limit,
            backoff=backoff,
            is_draining=self._announces_drain,
        )
        return web.Response(status=503, headers=not_run_headers)

    async def _respond(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        response_id = (
            "of-another" if self.mode is ReplicaMode.FOREIGN_ID else request_id
        )
        seal = f"{self._id}/{request_id}"
        headers = build_response_headers(
            response_id,
            seal,
            rate_limit=self.rate_limit,
            is_draining=self._announces_drain,
        )
        if self._announces_drain:
            now = asyncio.get_running_loop().time()
            self._fleet.observations.drain_notices.append(
                DrainNotice(request_id, self._id, now)
            )
        if self.mode is ReplicaMode.FAILING:
            return web.Response(status=500, headers=headers, body=b"own failure")
        if self.mode is ReplicaMode.POURING:
            return await pour(request, headers, self._is_pouring)
        events = int(request.query.get("events", "0"))
        if not events:
            if self.mode is ReplicaMode.RESETTING:
                return self._reset(request)
            await asyncio.sleep(SERVICE_TIME_S)
            await self.silences.pass_place(request_id, SilencePlace.HEAD)
            guilty = self._find_guilty_part(request)
            if guilty is not None:
                return self._crash_under(request, guilty)
            response = web.Response(headers=headers, body=build_body(request_id))
            if (
                self.mode is ReplicaMode.EXTRA_RESPONSE
                and request.transport is not None
            ):
                asyncio.get_running_loop().call_later(
                    0.001, request.transport.write, b"HTTP/1.1 200 OK\r\n\r\n"
                )
            return response
        return await self._stream(request, request_id, events, headers)

    async def _stream(
        self,
        request: web.BaseRequest,
        request_id: str,
        events: int,
        headers: aiohttp.typedefs.LooseHeaders,
    ) -> web.StreamResponse:
        prompt = read_caller_headers(request.headers).prompt
        helpers = request.headers.get(HELPERS, "").split(",")
        parts = 1 + len([helper for helper in helpers if helper])
        if prompt is not None:
            await asyncio.sleep(compute_prefill_time(ENGINE, prompt.prompt) / parts)
        await self.silences.pass_place(request_id, SilencePlace.HEAD)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        guilty = self._find_guilty_part(request)
        if guilty is not None:
            return self._crash_under(request, guilty)
        first = int(request.headers.get(LAST_EVENT, "0")) + 1
        incarnation = self._id
        for number in range(first, events + 1):
            is_first = number == first
            place = SilencePlace.FIRST_EVENT if is_first else SilencePlace.MIDWAY
            await self.silences.pass_place(request_id, place)
            if not self.is_up or self._id != incarnation:
                return self._reset(request)
            event = build_event(request_id, number)
            if (
                self.mode is ReplicaMode.RESETTING
                and number == first + EVENTS_BEFORE_RESET
            ):
                await response.write(event[: len(event) // 2])
                return self._reset(request)
            await response.write(event)
            await asyncio.sleep(float(request.query["gap"]))
        await self.silences.pass_place(request_id, None)
        await response.write_eof()
        return response

    def _is_pouring(self) -> bool:
        return self.is_up and self.mode is ReplicaMode.POURING

    def _find_guilty_part(self, request: web.BaseRequest) -> str | None:
        parts = read_caller_headers(request.headers).shared_parts
        return next((one for one in parts if one in self._fleet.guilty_parts), None)

    def _crash_under(self, request: web.BaseRequest, part: str) -> web.Response:
        """Crash, since the response to a prompt with a guilty part begins."""
        if self.is_up:
            now = asyncio.get_running_loop().time()
            crash = PartCrash(part, self._id, now)
            self._fleet.observations.part_crashes.append(crash)
            self._fleet.spawn(self.crash(GUILTY_DOWN_S))
        return self._reset(request)

    def _reset(self, request: web.BaseRequest) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def _find_reservations(self, request: web.BaseRequest) -> list[Reservation] | None:
        """Return the reservations that a request names; ``None`` if one is missing."""
        found = []
        now = asyncio.get_running_loop().time()
        for name in filter(None, request.headers.get(HELPERS, "").split(",")):
            address, _, reservation_name = name.partition("/")
            helper = self._fleet.find(address)
            if helper is None or helper._is_draining:
                return None
            if not reservation_name:
                continue
            reservation = helper._memory.find(reservation_name, now)
            if reservation is None:
                return None
            found.append(reservation)
        return found

    async def limit_rate(self, rate: float, lasts: float) -> None:
        """Announce a rate limit for ``lasts`` seconds or until the incarnation ends."""
        now = asyncio.get_running_loop().time
        period = RateLimitPeriod(self._id, rate, now(), now() + lasts)
        self._fleet.observations.rate_limit_periods.append(period)
        self.rate_limit = rate
        await self._wait_in_incarnation(lasts)
        period.until = now()
        self.rate_limit = None

    async def misbehave(self, mode: ReplicaMode, lasts: float) -> None:
        """Mishandle requests for ``lasts`` seconds."""
        now = asyncio.get_running_loop().time
        period = MisbehaviourPeriod(self._id, now(), math.inf)
        self._fleet.observations.misbehaviours.append(period)
        self.mode = mode
        await asyncio.sleep(lasts)
        self.mode = ReplicaMode.HEALTHY
        period.until = now()

    async def reject_requests(self, backoff: float, lasts: float) -> None:
        """Reject all requests for ``lasts`` seconds or until the incarnation ends."""
        self.backoff = backoff
        await self._wait_in_incarnation(lasts)
        self.backoff = None

    async def _wait_in_incarnation(self, lasts: float) -> None:
        """Wait for ``lasts`` seconds or until the incarnation ends."""
        incarnation = self._id
        now = asyncio.get_running_loop().time
        end = now() + lasts
        while now() < end and self._id == incarnation:
            await asyncio.sleep(0.05)

    # Registration and lifecycle

    async def keep_registered(
        self, session: aiohttp.ClientSession, interval: float
    ) -> None:
        """Register periodically until cancelled."""
        while True:
            await self.silences.wait()
            if self.is_up:
                await self._call(session, "PUT")
            await asyncio.sleep(interval)

    async def _call(
        self, session: aiohttp.ClientSession, method: str
    ) -> ProcessName | None:
        """Call control instances until one acknowledges; return its name."""
        self._sequence += 1
        endpoint = Endpoint(
            self._id,
            self._service,
            self.address,
            self._zone,
            SLOTS,
            self._is_draining,
            self._sequence,
            get_upstream_born(self._id),
        )
        body = encode_registration(endpoint) if method == "PUT" else None
        names = list(self._fleet.controls)
        self._fleet.chooser.shuffle(names)
        for name in names:
            own_name = get_upstream_name(self._id)
            url = f"http://{self._fleet.controls[name]}{REGISTRATION_PREFIX}{own_name}"
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with session.request(
                    method, url, data=body, timeout=_TIMEOUT
                ) as response:
                    if response.status == 200:
                        return name
        return None

    async def drain(self, session: aiohttp.ClientSession) -> None:
        """Drain and deregister, then restart as a new incarnation."""
        self._is_draining = True
        self._announces_drain = True
        method = "DELETE" if self._fleet.chooser.random() < 0.3 else "PUT"
        loop = asyncio.get_running_loop()
        end = loop.time() + DRAIN_TIMEOUT_S
        while loop.time() < end:
            control = await self._call(session, method)
            if control is not None:
                acknowledgement = DrainAcknowledgement(self._id, control, loop.time())
                self._fleet.observations.drain_acknowledgements.append(acknowledgement)
                await asyncio.sleep(DRAIN_DURATION_S)
                break
            await asyncio.sleep(0.1)
        await self._call(session, "DELETE")
        await self.crash(0.2)

    async def drain_by_responses(self) -> None:
        """Drain, announced only in responses, then restart as a new incarnation."""
        self._announces_drain = True
        await asyncio.sleep(DRAIN_DURATION_S)
        await self.crash(0.2)

    async def crash(self, down: float) -> None:
        """Stop without notice, then restart as a new incarnation."""
        if not self.is_up:
            return
        self.is_up = False
        now = asyncio.get_running_loop().time()
        end = IncarnationEnd(self._id, now)
        self._fleet.observations.incarnation_ends.append(end)
        self._memory.clear(now)
        if self.proxy is not None:
            self.proxy.reset_all()
        await asyncio.sleep(down)
        self._id = self._fleet.build_upstream_id(self._id)
        self._sequence = 0
        self._is_draining = False
        self._announces_drain = False
        self.is_up = True


_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)


@contextlib.asynccontextmanager
async def run_replica(
    fleet: Fleet, service: ServiceName, session: aiohttp.ClientSession, interval: float
) -> AsyncIterator[Replica]:
    """Run a registered replica behind a proxy until the block ends."""
    target, proxied = find_free_ports(2)
    replica = Replica(fleet, service, f"{REPLICA_HOST}:{proxied}")
    runner = web.ServerRunner(web.Server(replica.handle, handler_cancellation=True))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", target).start()
    fleet.replicas.append(replica)
    async with run_proxy(replica.address, f"127.0.0.1:{target}") as proxy:
        replica.proxy = proxy
        registering = asyncio.create_task(replica.keep_registered(session, interval))
        try:
            yield replica
        finally:
            registering.cancel()
            await asyncio.gather(registering, return_exceptions=True)
            await runner.cleanup()
