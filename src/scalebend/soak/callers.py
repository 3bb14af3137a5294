"""Callers behind a balancer, as the platform has one: they keep their connections."""

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
from scalebend.soak.observations import Asked, Kind, Observations
from scalebend.soak.replicas import build_body, build_event

CHECK_PERIOD = 1.0
"""Seconds between two questions whether a front wants connections."""

CHECKS_MISSED = 2
"""Questions in a row without a yes after which a front gets none."""

MOST_ON_CONNECTION = 30
"""Requests after which a caller may go to another front."""

PAUSE = 0.15
"""Mean seconds between two requests of one caller."""

CANCELLED = 0.05
"""Part of the requests whose caller leaves early."""

EXTRA_KEY = 0.3
"""Part of the requests that show a key which may have been revoked."""

PATIENCE = 2.0
"""Seconds beyond its wait after which a caller stops listening."""


class _Shape(msgspec.Struct, frozen=True):
    """What the requests of a kind look like."""

    route: documents.RoutePath
    wait: float
    prompt: int = 0
    events: int = 0
    gap: float = 0.0


SHAPES = {
    Kind.REPEATABLE: _Shape(documents.REPEATABLE, 3.0),
    Kind.ONCE: _Shape(documents.ONCE, 3.0),
    Kind.QUICK_STREAM: _Shape(documents.QUICK, 4.0, documents.QUICK_PROMPT, 10, 0.02),
    Kind.LONG_STREAM: _Shape(documents.LONG, 5.0, documents.LONG_PROMPT, 12, 0.1),
}

WEIGHTS = {
    Kind.REPEATABLE: 10,
    Kind.ONCE: 10,
    Kind.QUICK_STREAM: 14,
    Kind.LONG_STREAM: 1,
}
"""How often each kind is sent: few long prompts, so that in calm none is refused."""


class Balancer:
    """Which fronts get new connections."""

    def __init__(self, deployment: Deployment, chooser: random.Random) -> None:
        self._deployment = deployment
        self._chooser = chooser
        self._missed = dict.fromkeys(deployment.layout.fronts, CHECKS_MISSED)

    def choose(self) -> ProcessName:
        """A front that is in; any, when fewer than half are."""
        fronts = self._deployment.layout.fronts
        ready = [front for front in fronts if self._missed[front] < CHECKS_MISSED]
        return self._chooser.choice(ready if 2 * len(ready) >= len(fronts) else fronts)

    async def check(self, session: aiohttp.ClientSession) -> None:
        """Ask all fronts again and again until cancelled."""
        while True:
            fronts = self._deployment.layout.fronts
            await asyncio.gather(*(self._ask(session, front) for front in fronts))
            await asyncio.sleep(CHECK_PERIOD)

    async def _ask(self, session: aiohttp.ClientSession, front: ProcessName) -> None:
        url = f"http://{self._deployment.get_readiness(front)}/ready"
        is_ready = False
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(url) as answer:
                is_ready = answer.status == 200
        self._missed[front] = 0 if is_ready else self._missed[front] + 1


class Caller:
    """Sends one request after the other, many on one connection."""

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        balancer: Balancer,
        seen: Observations,
        seed: int,
    ) -> None:
        self._number = number
        self._deployment = deployment
        self._balancer = balancer
        self._seen = seen
        self._chooser = random.Random(f"{seed}/{number}")
        self._requests = 0

    async def call_for_ever(self) -> None:
        """Send requests until cancelled."""
        while True:
            front = self._balancer.choose()
            async with _open_session() as session:
                for _ in range(self._chooser.randint(1, MOST_ON_CONNECTION)):
                    asked = await self.call(session, front)
                    await asyncio.sleep(self._chooser.expovariate(1.0 / PAUSE))
                    if asked.status != 200:
                        break

    async def call(self, session: aiohttp.ClientSession, front: ProcessName) -> Asked:
        """Send one request and note how it ended."""
        kind = self._chooser.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        shape = SHAPES[kind]
        self._requests += 1
        loop = asyncio.get_running_loop()
        asked = Asked(
            request=f"r-{self._number}-{self._requests}",
            kind=kind,
            front=front,
            start=self._deployment.starts[front],
            version=self._choose_key(),
            sent_at=loop.time(),
            wait=shape.wait,
            events=shape.events,
        )
        self._seen.asked[asked.request] = asked
        sending = asyncio.ensure_future(self._send(session, asked, shape))
        limit = shape.wait + PATIENCE
        if self._chooser.random() < CANCELLED:
            asked.is_cancelled = True
            limit = self._chooser.uniform(0.0, shape.wait / 4.0)
        try:
            async with asyncio.timeout(limit):
                await sending
        except (aiohttp.ClientError, OSError) as error:
            asked.detail = f"{type(error).__name__}: {error}"
        except TimeoutError:
            asked.has_timed_out = not asked.is_cancelled
        asked.ended_at = loop.time()
        return asked

    def _choose_key(self) -> RoutingVersion:
        accepted = self._seen.accepted
        if not accepted or self._chooser.random() > EXTRA_KEY:
            return RoutingVersion(0)
        return self._chooser.choice(accepted[-8:]).version

    async def _send(
        self, session: aiohttp.ClientSession, asked: Asked, shape: _Shape
    ) -> None:
        address = self._deployment.get_calls(asked.front)
        path = f"{shape.route.prefix}x?events={shape.events}&gap={shape.gap}"
        prompt = PromptSize(shape.prompt, 500, 500) if shape.prompt else None
        key = documents.build_key(asked.version)
        headers = CallerHeaders(asked.request, shape.wait, key, None, prompt)
        async with session.post(
            URL(f"http://{address}{path}", encoded=True),
            headers=build_caller_headers(headers, documents.HOST),
            data=asked.request.encode(),
        ) as answer:
            body = await answer.read()
            asked.seal = answer.headers.get(SEAL)
            asked.status = answer.status
            if answer.status == 200:
                asked.fault = _find_fault(asked, body)


def _find_fault(asked: Asked, body: bytes) -> str:
    """What is wrong with an answer that counts as a success."""
    expected = build_body(asked.request)
    if asked.events:
        numbers = range(1, asked.events + 1)
        expected = b"".join(build_event(asked.request, number) for number in numbers)
    if body != expected:
        return f"body of {len(body)} bytes, not {len(expected)}: {body[-60:]!r}"
    if asked.seal is None or not asked.seal.endswith(f"/{asked.request}"):
        return f"seal {asked.seal}"
    return ""


@contextlib.asynccontextmanager
async def _open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """A session with one connection, whose requests are never sent twice."""
    connector = aiohttp.TCPConnector(limit=1)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        session._retry_connection = False
        yield session


@contextlib.asynccontextmanager
async def run_callers(
    count: int, deployment: Deployment, seen: Observations, seed: int
) -> AsyncIterator[None]:
    """Let ``count`` callers send requests until the block ends; all are awaited."""
    balancer = Balancer(deployment, random.Random(f"{seed}/balancer"))
    timeout = aiohttp.ClientTimeout(total=CHECK_PERIOD)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        checking = asyncio.create_task(balancer.check(session))
        callers = [
            asyncio.create_task(
                Caller(n, deployment, balancer, seen, seed).call_for_ever()
            )
            for n in range(count)
        ]
        try:
            yield
        finally:
            for task in (checking, *callers):
                task.cancel()
            await asyncio.gather(checking, *callers, return_exceptions=True)
