"""Attempts of one request that run at the same time, until one of them is the first."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from scalebend.edges.gateway.attempt_result import AttemptResult
from scalebend.edges.gateway.forwarder import Forwarder
from scalebend.models.ids import UpstreamId

if TYPE_CHECKING:
    from scalebend.edges.gateway.hedged_forwarder import HedgedForwarder


class EndedAttempt(msgspec.Struct, frozen=True):
    """An attempt that has ended, and its task."""

    runner: Forwarder
    task: asyncio.Task[AttemptResult | None]


class Race:
    """Attempts that run at the same time, until one of them is the first."""

    def __init__(self, first: Forwarder) -> None:
        self.winner: Forwarder | None = None
        self.forwarded: Forwarder | None = None
        """The attempt of which something was forwarded last."""

        self.upstreams: set[UpstreamId] = set()
        """Where attempts were sent."""

        self.decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        """Done once there is a winner, or the first attempt ended without any event."""

        self.failed: set[Forwarder] = set()
        """The attempts that failed; they are counted elsewhere."""

        self.seconds: list[HedgedForwarder] = []
        """The attempts that were started beside the first."""

        self._first = first
        self._tasks: dict[Forwarder, asyncio.Task[AttemptResult | None]] = {}
        self._added = asyncio.Event()

    def add(self, runner: Forwarder, task: asyncio.Task[AttemptResult | None]) -> None:
        """Add an attempt that has just started."""
        self._tasks[runner] = task
        self._added.set()
        task.add_done_callback(lambda _: self._decide())

    def claim(self, runner: Forwarder) -> None:
        """Make ``runner`` the winner and cancel the others; raise if it is too late."""
        if self.winner is runner:
            return
        if self.has_other_winner(runner):
            raise asyncio.CancelledError
        self.winner = self.forwarded = runner
        self._decide()
        for other, task in self._tasks.items():
            if other is not runner:
                task.cancel()

    def reopen(self) -> None:
        """Let another attempt win after all, because the winner has fallen silent."""
        self.winner = None

    def has_other_winner(self, runner: Forwarder) -> bool:
        """Whether another attempt than ``runner`` is the winner."""
        return self.winner is not None and self.winner is not runner

    def _decide(self) -> None:
        if not self.decided.done():
            self.decided.set_result(None)

    async def wait_for_next(self) -> EndedAttempt | None:
        """Wait for an attempt to end and remove it; ``None`` if none is left."""
        while self._tasks:
            for runner, task in self._tasks.items():
                if task.done():
                    return EndedAttempt(runner, self._tasks.pop(runner))
            self._added.clear()
            adding = asyncio.ensure_future(self._added.wait())
            try:
                await asyncio.wait(
                    {*self._tasks.values(), adding},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                adding.cancel()
        return None

    @property
    def runs(self) -> int:
        """Number of attempts that were sent, or may still be, and have not failed."""
        sent = [one for one in self.seconds if one.send_count or one in self._tasks]
        return len({self._first, *sent} - self.failed)

    @property
    def has_sent(self) -> bool:
        """Whether an attempt still runs that has been sent."""
        return any(runner.send_count for runner in self._tasks)

    async def close(self) -> None:
        """Cancel all attempts that still run, and wait until they have let go."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
