"""Simulated callers, which reach the fronts through a balancer."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from yarl import URL

from scalebend.models.calls import CallerHeaders, PromptSize
from scalebend.models.ids import RoutingVersion
from scalebend.platform.headers import SEAL, build_caller_headers
from scalebend.soak import documents
from scalebend.soak.deployment import Deployment
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import CallerRequest, Observations, RequestKind
from scalebend.soak.responses import find_mismatch

CHECK_INTERVAL_S = 1.0
"""Seconds between two readiness checks of a front, and the timeout of each."""

MAX_FAILED_CHECKS = 2
"""Consecutive failed readiness checks after which a front gets no new connections."""

MAX_REQUESTS_PER_CONNECTION = 30
"""Upper limit of the requests that a caller sends over one connection."""

MEAN_REQUEST_GAP_S = 0.15
"""Mean seconds from one response to the next request of the same caller."""

CANCELLED_SHARE = 0.05
"""Share of the requests whose caller disconnects before the response."""

EXTRA_KEY_SHARE = 0.3
"""Share of the requests that use a key which may have been revoked."""

COMMON_PART = "c0220000"
TOPICS = 6
"""The part that all prompts share, and the number of those of which each has one."""

GUILTY_INTERVAL_S = 0.3
"""Mean seconds between two requests with a part that crashes replicas."""

MIN_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
"""A caller gives a stream up after the longest of this time in seconds, so many target
latencies and so many event gaps without an event, as on the platform."""

RESPONSE_MARGIN_S = 2.0
"""Seconds beyond the timeout of a request after which its caller disconnects."""


class _RequestShape(msgspec.Struct, frozen=True):
    """Properties that the requests of one kind share."""

    route: documents.RoutePath
    timeout_s: float
    prompt_tokens: int = 0
    events: int = 0
    event_gap_s: float = 0.0

    @property
    def patience_s(self) -> float | None:
        """Seconds without an event after which its caller gives a stream up."""
        if not self.events:
            return None
        gap = self.route.event_gap_s or 0.0
        targets = PATIENCE_TARGETS * self.route.target_latency_s
        return max(MIN_PATIENCE_S, targets, PATIENCE_GAPS * gap)


SHAPES = {
    RequestKind.IDEMPOTENT: _RequestShape(documents.IDEMPOTENT, 3.0),
    RequestKind.NON_IDEMPOTENT: _RequestShape(documents.NON_IDEMPOTENT, 3.0),
    RequestKind.QUICK_STREAM: _RequestShape(
        documents.QUICK, 4.0, documents.QUICK_PROMPT_TOKENS, 10, 0.02
    ),
    RequestKind.ONCE_STREAM: _RequestShape(
        documents.ONCE, 4.0, documents.QUICK_PROMPT_TOKENS, 10, 0.02
    ),
    RequestKind.LONG_STREAM: _RequestShape(
        documents.LONG, 5.0, documents.LONG_PROMPT_TOKENS, 12, 0.1
    ),
}

WEIGHTS = {
    RequestKind.IDEMPOTENT: 10,
    RequestKind.NON_IDEMPOTENT: 10,
    RequestKind.QUICK_STREAM: 14,
    RequestKind.ONCE_STREAM: 6,
    RequestKind.LONG_STREAM: 1,
}
"""Relative frequency of each kind; long prompts are rare so that none is rejected while
no fault is active."""


class Balancer:
    """Chooses the fronts for new connections by their readiness."""

    def __init__(self, deployment: Deployment, chooser: random.Random) -> None:
        self._deployment = deployment
        self._chooser = chooser
        self._failed_checks = dict.fromkeys(deployment.layout.fronts, MAX_FAILED_CHECKS)

    def choose(self) -> ProcessName:
        """Return a random ready front, or any front when fewer than half are ready."""
        fronts = self._deployment.layout.fronts
        ready = [
            front for front in fronts if self._failed_checks[front] < MAX_FAILED_CHECKS
        ]
        return self._chooser.choice(ready if 2 * len(ready) >= len(fronts) else fronts)

    async def check(self, session: aiohttp.ClientSession) -> None:
        """Check the readiness of all fronts periodically until cancelled."""
        while True:
            fronts = self._deployment.layout.fronts
            await asyncio.gather(
                *(self._check_front(session, front) for front in fronts)
            )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_front(
        self, session: aiohttp.ClientSession, front: ProcessName
    ) -> None:
        url = f"http://{self._deployment.get_readiness_address(front)}/ready"
        is_ready = False
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(url) as response:
                is_ready = response.status == 200
        self._failed_checks[front] = 0 if is_ready else self._failed_checks[front] + 1


class Caller:
    """Sends requests one after another, several over each connection."""

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        observations: Observations,
        seed: int,
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._observations = observations
        self._chooser = random.Random(f"{seed}/{name}")
        self._requests = 0

    async def call_forever(self, balancer: Balancer) -> None:
        """Send requests until cancelled."""
        while True:
            front = balancer.choose()
            async with _open_session() as session:
                for _ in range(self._chooser.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                    call = await self.call(session, front)
                    await asyncio.sleep(
                        self._chooser.expovariate(1.0 / MEAN_REQUEST_GAP_S)
                    )
                    if call.status is None:
                        break

    async def send_guilty(self, part: str, kind: RequestKind, lasts: float) -> None:
        """Send requests with a guilty part at any front for ``lasts`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + lasts
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                group.create_task(self._send_guilty(part, kind))
                await asyncio.sleep(self._chooser.expovariate(1.0 / GUILTY_INTERVAL_S))

    async def _send_guilty(self, part: str, kind: RequestKind) -> None:
        front = self._chooser.choice(self._deployment.layout.fronts)
        async with _open_session() as session:
            await self.call(session, front, kind, part)

    async def call(
        self,
        session: aiohttp.ClientSession,
        front: ProcessName,
        kind: RequestKind | None = None,
        guilty_part: str = "",
    ) -> CallerRequest:
        """Send one request, of a random kind if none is given; record its outcome."""
        if kind is None:
            kind = self._chooser.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        shape = SHAPES[kind]
        self._requests += 1
        loop = asyncio.get_running_loop()
        call = CallerRequest(
            request_id=f"r-{self._name}-{self._requests}",
            kind=kind,
            front=front,
            front_start=self._deployment.starts[front],
            version=self._choose_key(),
            sent_at=loop.time(),
            timeout_s=shape.timeout_s,
            events=shape.events,
            guilty_part=guilty_part,
        )
        self._observations.caller_requests[call.request_id] = call
        give_up_after_s = shape.timeout_s + RESPONSE_MARGIN_S
        if self._chooser.random() < CANCELLED_SHARE:
            call.is_cancelled = True
            give_up_after_s = self._chooser.uniform(0.0, shape.timeout_s / 4.0)
        limit = asyncio.timeout(give_up_after_s)
        try:
            async with limit:
                await self._send(session, call, shape)
        except _EventTimeoutError as error:
            call.has_given_up = True
            call.detail = str(error)
        except (aiohttp.ClientError, OSError) as error:
            call.detail = f"{type(error).__name__}: {error}"
            call.has_timed_out = limit.expired() and not call.is_cancelled
        call.ended_at = loop.time()
        return call

    def _choose_key(self) -> RoutingVersion:
        accepted = self._observations.accepted
        if not accepted or self._chooser.random() > EXTRA_KEY_SHARE:
            return RoutingVersion(0)
        return self._chooser.choice(accepted[-8:]).version

    async def _send(
        self, session: aiohttp.ClientSession, call: CallerRequest, shape: _RequestShape
    ) -> None:
        address = self._deployment.get_call_address(call.front)
        path = f"{shape.route.prefix}x?events={shape.events}&gap={shape.event_gap_s}"
        prompt = (
            PromptSize(shape.prompt_tokens, 500, 500) if shape.prompt_tokens else None
        )
        key = documents.build_key(call.version)
        second = call.guilty_part or f"{self._requests % TOPICS:08x}"
        headers = CallerHeaders(
            call.request_id,
            shape.timeout_s,
            key,
            None,
            prompt,
            documents.MODEL,
            (COMMON_PART, second),
        )
        async with (
            _limit_silence(call, shape.patience_s) as limit,
            session.post(
                URL(f"http://{address}{path}", encoded=True),
                headers=build_caller_headers(headers, documents.HOST),
                data=call.request_id.encode(),
            ) as response,
        ):
            body = b""
            async for data in response.content.iter_any():
                body += data
                call.data_at = asyncio.get_running_loop().time()
                if shape.patience_s is not None:
                    limit.reschedule(call.data_at + shape.patience_s)
            call.seal = response.headers.get(SEAL)
            call.status = response.status
            if response.status == 200:
                call.mismatch = find_mismatch(call, body)


class _EventTimeoutError(Exception):
    """No event came for longer than a caller waits."""


@contextlib.asynccontextmanager
async def _limit_silence(
    call: CallerRequest, patience_s: float | None
) -> AsyncIterator[asyncio.Timeout]:
    """Raise :class:`_EventTimeoutError` once the time that it yields is over."""
    try:
        async with asyncio.timeout(patience_s) as limit:
            yield limit
    except TimeoutError as error:
        if not limit.expired():
            raise
        since = call.sent_at if call.data_at is None else call.data_at
        waited = asyncio.get_running_loop().time() - since
        detail = f"no event for {waited:.2f} s"
        raise _EventTimeoutError(detail) from error


@contextlib.asynccontextmanager
async def _open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session with one connection that never sends a request twice."""
    connector = aiohttp.TCPConnector(limit=1)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        # aiohttp would otherwise resend a request whose connection broke.
        session._retry_connection = False
        yield session


@contextlib.asynccontextmanager
async def run_callers(
    count: int,
    deployment: Deployment,
    observations: Observations,
    seed: int,
    prefix: str = "",
) -> AsyncIterator[None]:
    """Run ``count`` callers until the block ends, then cancel and await them.

    ``prefix`` tells their names from those of others.
    """
    balancer = Balancer(deployment, random.Random(f"{seed}/balancer"))
    timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_S)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        checking = asyncio.create_task(balancer.check(session))
        callers = [
            asyncio.create_task(
                Caller(f"{prefix}{n}", deployment, observations, seed).call_forever(
                    balancer
                )
            )
            for n in range(count)
        ]
        try:
            yield
        finally:
            for task in (checking, *callers):
                task.cancel()
            await asyncio.gather(checking, *callers, return_exceptions=True)
