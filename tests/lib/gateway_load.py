"""Concurrent callers of the gateway, and replicas that keep their registration."""

import asyncio
import contextlib
import itertools
import time

FRONT = "X-Of-Front"
"""Header that fronts pass on; it tells a replica which front sent a request."""


class Load:
    """Callers that send requests in a loop, and the responses they got."""

    def __init__(self, system, kind, callers, *, rest=0.0, most_pause, **headers):
        """Set the wait after a response, in seconds: ``rest``, or `Retry-After` after a
        503.

        ``most_pause`` bounds the latter.
        """
        self.system = system
        self.kind = kind
        self.callers = callers
        self.rest = rest
        self.most_pause = most_pause
        self.headers = headers
        self.statuses = []
        self.refusals = []
        self.retry_afters = []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        calls = (self._call_until(end, number) for number in range(self.callers))
        await asyncio.gather(*calls)

    async def _call_until(self, end, number):
        front = number % 2
        while time.monotonic() < end:
            status, body, headers = await self.system.call(
                self.kind,
                front=front,
                body=b"%d" % number,
                **{FRONT: str(front)},
                **self.headers,
            )
            self.statuses.append(status)
            pause = self.rest
            if status == 503:
                self.refusals.append(body)
                self.retry_afters.append(float(headers["Retry-After"]))
                pause = min(self.most_pause, self.retry_afters[-1])
            await asyncio.sleep(pause)


async def send_steadily(send, interval_s, seconds):
    """Call ``send`` with 0, 1, 2 and so on at an interval; return the results."""
    end = time.monotonic() + seconds
    tasks = []
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if time.monotonic() >= end:
                break
            tasks.append(group.create_task(send(number)))
            await asyncio.sleep(interval_s)
    return [task.result() for task in tasks]


@contextlib.asynccontextmanager
async def keep_registered(system):
    """Renew the registrations of all replicas, which otherwise expire."""

    async def register():
        while True:
            await asyncio.sleep(1.2)
            for replica in system.replicas:
                with contextlib.suppress(AssertionError):
                    await replica.register(system.session)

    registering = asyncio.create_task(register())
    try:
        yield
    finally:
        registering.cancel()
