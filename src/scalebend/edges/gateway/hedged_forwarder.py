"""Forwards a request; starts a second attempt beside one that is late or silent.

Both attempts have a forwarder of their own, so that a stream never joins bytes of two
runs. The first with the next event goes on, and the other one is cancelled.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import structlog
from aiohttp import web

from scalebend.core.gateway.attempts import FREE_UNSENT, MIN_REMAINING_S
from scalebend.core.gateway.event_cursor import EventCursor
from scalebend.core.gateway.hedging import Refusal
from scalebend.edges.gateway.attempt_race import EndedAttempt, Race
from scalebend.edges.gateway.attempt_result import AttemptResult
from scalebend.edges.gateway.crash_evidence import CrashEvidence
from scalebend.edges.gateway.forwarder import Forwarder
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.response_reading import wait_for_task
from scalebend.edges.gateway.upstream_choice import Target, UpstreamChoice
from scalebend.models.calls import Call, Outcome
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import RateLimit

logger = structlog.get_logger(__name__)


CANCELLED = "cancelled"
"""Outcome in the metrics of an attempt that another one was faster than."""


REPORT_WAIT_S = 0.03
"""Time to wait for the report of a replica whose first token is late: some round trips,
and little of the target of a quick prompt."""


_UNSENT = (Outcome.NOT_SENT, Outcome.WITHDRAWN)
"""Outcomes of attempts that used nothing of the retry budget."""


class _Overdue(msgspec.Struct, frozen=True):
    """An attempt whose first token was overdue ``delay`` seconds after its start."""

    target: Target
    delay: float


class HedgedForwarder(Forwarder):
    """Forwards one request, with up to two attempts at once."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        request: web.BaseRequest,
        body: bytes,
        evidence: CrashEvidence,
    ) -> None:
        super().__init__(runtime, call, request, body, evidence)
        self._hedging = runtime.instance.hedging
        self._race: Race | None = None
        self._sent_at: float | None = None
        self._is_timed = False
        """Whether the time to the first token is compared with the predicted one."""

        self._overdue: _Overdue | None = None
        """The first attempt, if its first token was overdue when this one started."""

        self._has_budget = False
        """Whether the retry budget was spent on this attempt by one before it."""

    async def _attempt(self, target: Target) -> AttemptResult:
        if not self._attempts.allows_another_run:
            return await super()._attempt(target)
        race = self._race = Race(self)
        self._is_timed = self._may_hedge(target)
        first = asyncio.create_task(self._run_first(target))
        race.add(self, first)
        try:
            if self._is_timed:
                await self._watch_first_token(race, target)
            return await self._wait_for_result(race, target)
        finally:
            await race.close()
            self._race = None
            for second in race.seconds:
                self._finish_second(race, target, second)

    async def _watch_first_token(self, race: Race, target: Target) -> None:
        """Start a second attempt if the first token is overdue."""
        now = self._runtime.now()
        self._hedging.record_request(now)
        assert target.predicted is not None
        delay = self._hedging.compute_delay(target.predicted, now)
        if await self._is_overdue(race, target, delay):
            self._start_second(race, target, delay)

    def _may_hedge(self, target: Target) -> bool:
        """Whether a second attempt is thinkable: one replica, and no event so far."""
        routing = self._runtime.instance.table.routing
        return (
            not self.stream.is_open
            and target.unavailable is None
            and target.predicted is not None
            and not target.helpers
            and self._hedging.is_called_for(self._call, routing)
        )

    async def _run_first(self, target: Target) -> AttemptResult | None:
        # What it holds is released with it: another attempt may go on for long.
        async with self._chosen:
            result = await super()._attempt(target)
            if result.outcome is Outcome.ANSWERED:
                self._claim_response()
            self._choice.is_complete = result.outcome is Outcome.ANSWERED
            return result

    def _claim_response(self) -> None:
        if self._race is not None:
            self._race.claim(self)

    def _allows_another_run(self) -> bool:
        if self._race is None:
            return super()._allows_another_run()
        runs = self._attempts.runs + self._race.runs
        return runs < self._call.route.max_attempts

    def _record_sent(self, target: Target) -> RateLimit:
        self._sent_at = self._runtime.now()
        if self._race is not None:
            self._race.upstreams.add(target.upstream)
        return super()._record_sent(target)

    def _record_first_token(self, target: Target) -> None:
        if self._is_timed:
            now = self._runtime.now()
            if target.predicted is not None and self._sent_at is not None:
                observed = now - self._sent_at
                self._hedging.record_first_token(target.predicted, observed, now)
        if self._overdue is not None:
            self._end_first(self._overdue)
        if self._silent is not None and self._silent.job is not None:
            self._runtime.record_job_end(self._silent.job)
        super()._record_first_token(target)

    def _end_first(self, overdue: _Overdue) -> None:
        """End the job of the first attempt, which has just been cancelled."""
        runtime, target = self._runtime, overdue.target
        if target.job is not None:
            runtime.record_job_end(target.job)
        if target.predicted is not None:
            # How late it would have been is unknown. Left out, cancelled attempts would
            # make the limit ever shorter.
            self._hedging.record_first_token(
                target.predicted, overdue.delay, runtime.now()
            )

    # The second attempt

    async def _is_overdue(self, race: Race, target: Target, delay: float) -> bool:
        """Wait for the first token; return whether it is overdue.

        A replica whose first token is late is asked for its report, which may explain
        it by queued requests. Data that waits in the sockets after a stall of this
        process is read meanwhile.
        """
        if await wait_for_task(race.decided, delay):
            return False
        if target.placement is None:
            return True
        fetching = self._runtime.spawn(self._runtime.fetch_report(target.placement))
        either: set[asyncio.Future[Any]] = {fetching, race.decided}
        await asyncio.wait(
            either, timeout=REPORT_WAIT_S, return_when=asyncio.FIRST_COMPLETED
        )
        return not race.decided.done()

    def _start_second(self, race: Race, target: Target, delay: float) -> None:
        """Report the overdue replica; start a second attempt if it is allowed."""
        runtime, call = self._runtime, self._call
        is_queueing = runtime.is_queueing(target.upstream)
        has_report = runtime.has_report(target.upstream)
        if self._sent_at is not None and has_report and not is_queueing:
            runtime.record_overdue(target.upstream)
        refusal = self._hedging.check(
            call,
            self._attempts.runs + race.runs - 1,
            runtime.now(),
            is_suspect=self._evidence.is_suspect(),
            is_queueing=is_queueing,
        )
        self._log_overdue(target, delay, refusal)
        if refusal is None:
            second = self._build_second(race, target)
            second._is_timed = True
            second._overdue = _Overdue(target, delay)
            race.add(second, asyncio.create_task(second._run_overdue_second()))

    def _build_second(self, race: Race, target: Target) -> HedgedForwarder:
        """Build the forwarder of an attempt beside the one at ``target``."""
        runtime, call = self._runtime, self._call
        second = HedgedForwarder(
            runtime, call, self._request, self._body, self._evidence
        )
        second._attempts = self._attempts
        # Only the winner of the race forwards to it.
        second.stream = self.stream
        excluded = {*self._attempts.excluded, *race.upstreams, target.upstream}
        second._choice = UpstreamChoice(runtime, call, self._evidence, excluded)
        second._race = race
        second._held = self._held
        race.seconds.append(second)
        return second

    async def _run_overdue_second(self) -> AttemptResult | None:
        """Run the second attempt; return ``None`` if it was not sent."""
        runtime = self._runtime
        async with self._choice.choose_second() as target:
            if target is None:
                runtime.metrics.count_overdue_first_token(Refusal.NO_ROOM.value)
                return None
            refusal = self._hedging.spend(
                self._call.service, runtime.instance.retries, runtime.now()
            )
            if refusal is not None:
                runtime.metrics.count_overdue_first_token(refusal.value)
                self._log_unsent(refusal, target)
                return None
            runtime.metrics.count_overdue_first_token("second attempt")
            return await self._run_second(target)

    async def _run_second(self, target: Target) -> AttemptResult:
        result = await super()._attempt(target)
        if result.outcome is Outcome.ANSWERED:
            self._claim_response()
        self._choice.is_complete = result.outcome is Outcome.ANSWERED
        return msgspec.structs.replace(result, target=target)

    # A second attempt beside a silent one

    def _start_beside(
        self, target: Target, *, has_budget: bool = False
    ) -> Refusal | None:
        """Start an attempt that goes on after the last event, or return why not."""
        race, call = self._race, self._call
        if race is None or not self._allows_another_run():
            return Refusal.NO_ATTEMPTS
        if call.deadline - self._runtime.now() <= MIN_REMAINING_S:
            return Refusal.NO_TIME
        second = self._build_second(race, target)
        second._silent = target
        second._has_budget = has_budget
        second._cursor = EventCursor(self._cursor.last_event)
        race.reopen()
        race.add(second, asyncio.create_task(second._run_beside()))
        return None

    async def _run_beside(self) -> AttemptResult | None:
        """Run an attempt beside a silent one; return ``None`` if it was not sent.

        Where there is no room, or no budget, try again as late as callers are told to.
        """
        call, now = self._call, self._runtime.now
        while True:
            if not self._may_spend():
                # The leader is not asked for a place that can't be used.
                self._log_unsent(Refusal.NO_BUDGET, None)
            else:
                async with self._choice.choose() as target:
                    if target is not None and self._spend():
                        return await self._run_second(target)
                    refusal = Refusal.NO_ROOM if target is None else Refusal.NO_BUDGET
                    self._log_unsent(refusal, target)
            left = call.deadline - now() - MIN_REMAINING_S
            if left <= self._choice.retry_after:
                return None
            await asyncio.sleep(self._choice.retry_after)

    def _may_spend(self) -> bool:
        """Whether the retry budget has room for this attempt."""
        retries, service = self._runtime.instance.retries, self._call.service
        return self._has_budget or retries.allows(service, self._runtime.now())

    def _spend(self) -> bool:
        """Spend retry budget on this attempt; others may have used it up meanwhile."""
        retries, service = self._runtime.instance.retries, self._call.service
        return self._has_budget or retries.spend(service, self._runtime.now())

    def _replace(self, race: Race, outcome: Outcome) -> None:
        """Start another attempt if this one, beside a silent one, did not run."""
        if self._silent is None or len(race.seconds) >= FREE_UNSENT:
            return
        if outcome in _UNSENT or outcome is Outcome.REJECTED:
            self._start_beside(self._silent, has_budget=outcome in _UNSENT)

    def _log_unsent(self, refusal: Refusal, target: Target | None) -> None:
        logger.info(
            "second attempt not sent",
            request=self._call.headers.request,
            job=target.job if target is not None else None,
            upstream=target.upstream if target is not None else None,
            refusal=refusal.value,
        )

    def _log_overdue(
        self, target: Target, delay: float, refusal: Refusal | None
    ) -> None:
        """Log an overdue first token, and count it if nothing follows."""
        if refusal is not None:
            self._runtime.metrics.count_overdue_first_token(refusal.value)
        logger.info(
            "first token overdue",
            request=self._call.headers.request,
            job=target.job,
            upstream=target.upstream,
            predicted=round(target.predicted or 0.0, 3),
            overdue_after=round(delay, 3),
            runs=self._attempts.runs,
            refusal=refusal.value if refusal is not None else None,
        )

    # The result

    async def _wait_for_result(self, race: Race, target: Target) -> AttemptResult:
        """Return the result of the attempt that is forwarded, or of the last one."""
        while (ended := await race.wait_for_next()) is not None:
            runner = ended.runner
            if race.has_other_winner(runner):
                continue
            result = self._get_result(ended, race)
            if result is None:
                continue
            if race.winner is runner or not race.has_sent:
                # The caller of this method records its failure, if any.
                race.failed.add(runner)
                return result
            # The other one goes on, as after a retry.
            faulty = self._record_failure(result.target or target, result)
            self._attempts.record_lost(result.outcome, faulty)
            self._runtime.metrics.count_attempt(result.outcome.value)
            race.failed.add(runner)
            if isinstance(runner, HedgedForwarder):
                runner._replace(race, result.outcome)
        logger.error("no attempt has a result", request=self._call.headers.request)
        return AttemptResult(Outcome.INTERRUPTED, detail="all attempts were cancelled")

    def _get_result(self, ended: EndedAttempt, race: Race) -> AttemptResult | None:
        """Return the result of an attempt that ended; ``None`` if there is none.

        A fault of the second attempt is only logged while the first goes on.
        """
        task = ended.task
        if task.cancelled():
            return None
        error = task.exception()
        is_decisive = ended.runner in (self, race.winner) or not race.has_sent
        if error is None or is_decisive:
            return task.result()
        logger.error(
            "second attempt failed unexpectedly",
            request=self._call.headers.request,
            exc_info=error,
        )
        return None

    def _finish_second(
        self, race: Race, target: Target, second: HedgedForwarder
    ) -> None:
        """Take over the state of a second attempt that was sent."""
        if not second.send_count or second.upstream is None:
            return
        self.send_count += second.send_count
        forwarded = "none"
        if race.forwarded is second:
            forwarded = "second"
            self._adopt(second)
            if self not in race.failed:
                self._record_outlived(target.upstream, second._silent)
        elif race.forwarded is not None:
            forwarded = "first" if race.forwarded is self else "another"
            if second not in race.failed:
                self._record_outlived(second.upstream, None)
        self._runtime.metrics.count_second_attempt(forwarded)
        logger.info(
            "second attempt ended",
            request=self._call.headers.request,
            first=target.upstream,
            second=second.upstream,
            forwarded=forwarded,
            silent=second._silent is not None,
        )

    def _adopt(self, second: HedgedForwarder) -> None:
        """Go on from where the second attempt got to."""
        self._cursor = second._cursor
        self.upstream = second.upstream
        self.peer = second.peer

    def _record_outlived(self, upstream: UpstreamId, silent: Target | None) -> None:
        """Record an attempt that was cancelled because another one was faster.

        ``silent`` is its target if it had fallen silent: should its replica turn out to
        have crashed, the request is a suspect.
        """
        self._attempts.record_lost(None, upstream)
        outcome = CANCELLED
        if silent is not None:
            outcome = Outcome.UNRESPONSIVE.value
            self._evidence.record_unanswered(upstream, self._progress)
        self._runtime.metrics.count_attempt(outcome)
