"""Stand-in replicas: engines with memory that can be set aside, and a plain service.

They speak the platform's protocol and keep what they ran, so that promises can be
checked from their side.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

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
    AvailabilityZone,
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
    build_answer_headers,
    read_caller_headers,
)
from scalebend.platform.orders import ORDER_PATH, MemoryOrder, decode_order
from scalebend.platform.registrations import REGISTRATION_PREFIX, encode_registration
from scalebend.platform.reports import REPORT_PATH, encode_report
from scalebend.soak.documents import ENGINE, read_version
from scalebend.soak.faults import ReplicaMode
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    Answered,
    Arrived,
    Departed,
    Farewell,
    Limited,
    Observations,
    Ran,
    Ticket,
    TurnedAway,
)
from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import Proxy, run_proxy

logger = structlog.get_logger(__name__)

CALL_TIMEOUT = 1.0
"""Seconds for one call to a control instance, as on the platform."""

LEAVE_TIME = 3.5
"""Seconds for which a leaving replica still serves after the acknowledgement."""

LEAVE_PATIENCE = 6.0
"""Seconds after which a replica leaves although nobody acknowledged it."""

SLOTS = 8
"""Requests that a replica works on at once; it refuses more than four times as many."""

WHOLE_EVENTS = 3
"""Events that a broken replica sends before it breaks off inside one."""

SERVICE_TIME = 0.03
"""Seconds that a call of the plain service takes."""


def build_event(request: str, number: int) -> bytes:
    """Event ``number`` of the answer to ``request``."""
    return f"id: {number}\ndata: {request}/{number}\n\n".encode()


def build_body(request: str) -> bytes:
    """Answer of the plain service to ``request``."""
    return f"done {request}".encode()


class Fleet:
    """All replicas, by number and by address."""

    def __init__(
        self, seen: Observations, controls: dict[ProcessName, str], seed: int
    ) -> None:
        self.seen = seen
        self.controls = controls
        self.chooser = random.Random(seed)
        self.replicas: list[Replica] = []
        self.incarnations = 0

    def find(self, address: str) -> Replica | None:
        """The replica behind ``address``, if it runs."""
        for replica in self.replicas:
            if replica.address == address and replica.is_up:
                return replica
        return None

    def build_upstream_id(self, before: UpstreamId | None = None) -> UpstreamId:
        """An id that no incarnation of any replica had, now and then an old name."""
        self.incarnations += 1
        name = UpstreamName(f"i-{self.incarnations}")
        if before is not None and self.incarnations % 2:
            name = get_upstream_name(before)
        return build_upstream_id(name, time.time_ns() // 1_000_000)


class Replica:
    """One replica over its incarnations, at one address."""

    def __init__(self, fleet: Fleet, service: ServiceName, address: str) -> None:
        self._fleet = fleet
        self._service = service
        self.address = address
        self.proxy: Proxy | None = None
        self.mode = ReplicaMode.SOUND
        self.rate_limit: float | None = None
        """Requests a second that it names in its answers."""

        self.pause: float | None = None
        """Seconds that it asks for while it turns away what comes."""

        self.is_up = True
        self._id = fleet.build_upstream_id()
        self._sequence = 0
        self._is_draining = False
        self._says_farewell = False
        """Whether its answers say that it leaves."""

        self._running = 0
        self._tickets: dict[str, Ticket] = {}
        self._memory: dict[str, int] = {}

    # Requests

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a front, or of a control instance."""
        if not self.is_up:
            return self._reset(request)
        if request.path == REPORT_PATH:
            report = ReplicaReport(1.0, 0, self._running)
            return web.Response(body=encode_report(report))
        if request.path == ORDER_PATH:
            return self._take_order(decode_order(await request.read()))
        return await self._serve(request)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        seen = self._fleet.seen
        name = request.headers[REQUEST_ID]
        now = asyncio.get_running_loop().time()
        seen.arrived.append(Arrived(name, self._service, now, self._id))
        expected = request.headers.get(EXPECTED_UPSTREAM)
        if expected not in (None, get_upstream_name(self._id)):
            return web.Response(status=421, headers=build_answer_headers(name, None))
        if self.pause is not None:
            return self._turn_away(name, self.pause)
        tickets = self._find_tickets(request)
        is_full = self._running >= 4 * SLOTS or self.mode is ReplicaMode.FULL
        if is_full or tickets is None:
            return self._refuse(name)
        body = await request.read()
        version = read_version(request.headers.get(CUSTOMER, ""))
        is_altered = request.method != "POST" or body != name.encode()
        seen.ran.append(Ran(name, self._id, now, version, is_altered))
        self._running += 1
        incarnation = self._id
        try:
            answer = await self._answer(request, name)
        finally:
            self._running -= 1
            for ticket in tickets:
                ticket.used_until = asyncio.get_running_loop().time()
        if not self.is_up or self._id != incarnation:
            return self._reset(request)
        seen.answered.append(Answered(name, answer.status))
        return answer

    def _turn_away(self, name: str, pause: float) -> web.Response:
        now = asyncio.get_running_loop().time()
        self._fleet.seen.turned_away.append(TurnedAway(name, self._id, now, pause))
        return self._refuse(name, pause)

    def _refuse(self, name: str, pause: float | None = None) -> web.Response:
        # What it says of itself stands in all its answers.
        refusal = build_answer_headers(
            name,
            None,
            has_not_run=True,
            rate_limit=self.rate_limit,
            backoff=pause,
            is_draining=self._says_farewell,
        )
        return web.Response(status=503, headers=refusal)

    async def _answer(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        told = "of-another" if self.mode is ReplicaMode.FOREIGN else name
        seal = f"{self._id}/{name}"
        headers = build_answer_headers(
            told,
            seal,
            rate_limit=self.rate_limit,
            is_draining=self._says_farewell,
        )
        if self._says_farewell:
            now = asyncio.get_running_loop().time()
            self._fleet.seen.farewells.append(Farewell(name, self._id, now))
        if self.mode is ReplicaMode.FAILING:
            return web.Response(status=500, headers=headers, body=b"own failure")
        events = int(request.query.get("events", "0"))
        if not events:
            if self.mode is ReplicaMode.BROKEN:
                return self._reset(request)
            await asyncio.sleep(SERVICE_TIME)
            answer = web.Response(headers=headers, body=build_body(name))
            if self.mode is ReplicaMode.EXTRA and request.transport is not None:
                asyncio.get_running_loop().call_later(
                    0.001, request.transport.write, b"HTTP/1.1 200 OK\r\n\r\n"
                )
            return answer
        return await self._stream(request, name, events, headers)

    async def _stream(
        self,
        request: web.BaseRequest,
        name: str,
        events: int,
        headers: aiohttp.typedefs.LooseHeaders,
    ) -> web.StreamResponse:
        prompt = read_caller_headers(request.headers).prompt
        helpers = request.headers.get(HELPERS, "").split(",")
        parts = 1 + len([helper for helper in helpers if helper])
        if prompt is not None:
            await asyncio.sleep(compute_prefill_time(ENGINE, prompt.prompt) / parts)
        answer = web.StreamResponse(headers=headers)
        answer.content_type = "text/event-stream"
        await answer.prepare(request)
        first = int(request.headers.get(LAST_EVENT, "0")) + 1
        incarnation = self._id
        for number in range(first, events + 1):
            if not self.is_up or self._id != incarnation:
                return self._reset(request)
            event = build_event(name, number)
            if self.mode is ReplicaMode.BROKEN and number == first + WHOLE_EVENTS:
                await answer.write(event[: len(event) // 2])
                return self._reset(request)
            await answer.write(event)
            await asyncio.sleep(float(request.query["gap"]))
        await answer.write_eof()
        return answer

    def _reset(self, request: web.BaseRequest) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    # Memory

    def _find_tickets(self, request: web.BaseRequest) -> list[Ticket] | None:
        """Tickets that a request names; ``None`` when a helper lacks one."""
        found = []
        now = asyncio.get_running_loop().time()
        for name in filter(None, request.headers.get(HELPERS, "").split(",")):
            address, _, ticket_name = name.partition("/")
            helper = self._fleet.find(address)
            if helper is None or helper._is_draining:
                return None
            if not ticket_name:
                continue
            ticket = helper._tickets.get(ticket_name)
            if ticket is None or ticket.until <= now:
                return None
            found.append(ticket)
        return found

    def _take_order(self, order: MemoryOrder) -> web.Response:
        now = asyncio.get_running_loop().time()
        for name, ticket in list(self._tickets.items()):
            if ticket.until <= now:
                del self._tickets[name]
        known = self._tickets.get(order.reservation)
        if order.tokens == 0:
            if known is not None:
                known.until = now
                del self._tickets[order.reservation]
            return web.json_response({})
        used = sum(self._memory[name] for name in self._tickets)
        if known is None and used + order.tokens > ENGINE.memory_tokens:
            return web.json_response({}, status=409)
        if known is None:
            known = Ticket(self._id, order.reservation, now, now, now)
            self._tickets[order.reservation] = known
            self._memory[order.reservation] = order.tokens
            self._fleet.seen.tickets.append(known)
        known.until = now + order.lifetime_s
        return web.json_response({})

    async def limit_requests(self, rate: float, lasts: float) -> None:
        """Name a limit for a while, or until this incarnation is over."""
        now = asyncio.get_running_loop().time
        limited = Limited(self._id, rate, now(), now() + lasts)
        self._fleet.seen.limited.append(limited)
        self.rate_limit = rate
        await self._live_on(lasts)
        limited.until = now()
        self.rate_limit = None

    async def turn_away(self, pause: float, lasts: float) -> None:
        """Turn away what comes for a while, or until this incarnation is over."""
        self.pause = pause
        await self._live_on(lasts)
        self.pause = None

    async def _live_on(self, lasts: float) -> None:
        """Wait for ``lasts`` seconds, or until this incarnation is over."""
        incarnation = self._id
        now = asyncio.get_running_loop().time
        end = now() + lasts
        while now() < end and self._id == incarnation:
            await asyncio.sleep(0.05)

    # Registration and life

    async def keep_registered(
        self, session: aiohttp.ClientSession, interval: float
    ) -> None:
        """Register again and again until cancelled."""
        while True:
            if self.is_up:
                await self._call(session, "PUT")
            await asyncio.sleep(interval)

    async def _call(
        self, session: aiohttp.ClientSession, method: str
    ) -> ProcessName | None:
        """Call control instances until one acknowledges; return which."""
        self._sequence += 1
        endpoint = Endpoint(
            self._id,
            self._service,
            self.address,
            AvailabilityZone("zone-a"),
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
                ) as answer:
                    if answer.status == 200:
                        return name
        return None

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Leave as planned, then come back as another incarnation."""
        self._is_draining = True
        self._says_farewell = True
        method = "DELETE" if self._fleet.chooser.random() < 0.3 else "PUT"
        loop = asyncio.get_running_loop()
        end = loop.time() + LEAVE_PATIENCE
        while loop.time() < end:
            control = await self._call(session, method)
            if control is not None:
                departed = Departed(self._id, control, loop.time())
                self._fleet.seen.departed.append(departed)
                await asyncio.sleep(LEAVE_TIME)
                break
            await asyncio.sleep(0.1)
        await self._call(session, "DELETE")
        await self.crash(0.2)

    async def leave_by_answers(self) -> None:
        """Leave, as answers alone say, then come back as another incarnation."""
        self._says_farewell = True
        await asyncio.sleep(LEAVE_TIME)
        await self.crash(0.2)

    async def crash(self, down: float) -> None:
        """End without a word, then come back as another incarnation."""
        if not self.is_up:
            return
        self.is_up = False
        now = asyncio.get_running_loop().time()
        for ticket in self._tickets.values():
            ticket.until = min(ticket.until, now)
        self._tickets.clear()
        if self.proxy is not None:
            self.proxy.reset_all()
        await asyncio.sleep(down)
        self._id = self._fleet.build_upstream_id(self._id)
        self._sequence = 0
        self._is_draining = False
        self._says_farewell = False
        self.is_up = True


_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT)


@contextlib.asynccontextmanager
async def run_replica(
    fleet: Fleet, service: ServiceName, session: aiohttp.ClientSession, interval: float
) -> AsyncIterator[Replica]:
    """Serve a replica behind a proxy and keep it registered."""
    target, proxied = find_free_ports(2)
    replica = Replica(fleet, service, f"127.0.0.1:{proxied}")
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
