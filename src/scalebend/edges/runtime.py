"""Runs an instance's core: executes its actions and passes it inputs and timers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Coroutine, Iterator, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import structlog
from reactivex.subject import Subject

from scalebend.core.catalog import UpstreamRecord
from scalebend.core.claims import (
    Claim,
    ClaimConflict,
    ClaimKnown,
    ClaimTaken,
    Settle,
    StoredResponse,
    Withdraw,
)
from scalebend.core.consensus.messages import Ready, Recovered
from scalebend.core.control_client import ProposalOutcome
from scalebend.core.control_member import ToInstance
from scalebend.core.control_state import Command, Result
from scalebend.core.flow import (
    AbortAttempt,
    AttemptResult,
    ClaimKey,
    Conclude,
    ResumeAttempt,
    StartAttempt,
)
from scalebend.core.instance import Instance, InstanceAction
from scalebend.core.membership import Outbound
from scalebend.core.messages import Datagram, PeerMessage
from scalebend.core.orders import ORDER_TIMEOUT_S
from scalebend.core.owner import CancelOnEngine
from scalebend.edges.control_log import ControlLog
from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.exchange import AttemptReporter, Exchange
from scalebend.edges.gateway.upstream_client import StrictConnector
from scalebend.edges.gossip import GossipSocket, open_gossip
from scalebend.edges.instance_dialing import InstanceDialing
from scalebend.edges.metrics import Metrics, build_metrics
from scalebend.edges.peer_tunnels import TUNNEL_METHOD, TunnelCarrier, TunnelOpener
from scalebend.edges.peers import SERVICE, PeerTransport, build_channel, serve_peers
from scalebend.edges.stalls import StallGuard
from scalebend.edges.tls import build_client_context
from scalebend.edges.upstream_dialer import UpstreamDialer
from scalebend.exceptions import (
    ClaimError,
    ErrorKind,
    Ran,
    RefusedError,
    ScalebendError,
    TimeLimitError,
)
from scalebend.models.ids import AttemptId, InstanceId, RequestId, UpstreamId
from scalebend.models.orders import Order, SendOrder
from scalebend.models.settings import Settings
from scalebend.models.upstream import Announcement
from scalebend.storage.journal import Journal, open_journal

logger = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.05
"""Time between two runs of the core's timers."""

TICK_FAILURE_TIMEOUT_S = 1.0
"""Time for which each run of the core's timers may fail: without them nothing times
out, and other instances take this one for alive."""

PEERS_INTERVAL_S = 1.0
"""Time between two updates of the instances that open tunnels for this one."""

IDLE_TIMEOUT_S = 15.0
"""Time after which an idle connection to an upstream is closed."""

GAUGE_INTERVAL_S = 5.0
CONNECT_TIMEOUT_S = 3.0
CLAIM_TIMEOUT_S = 2.0
SETTLE_TIMEOUT_S = 60.0
CANCEL_TIMEOUT_S = 2.0


class ClaimedResponseError(ClaimError):
    """The idempotency key has a stored response, which is sent to the caller."""

    def __init__(self, response: StoredResponse) -> None:
        super().__init__("a request with this key has already run", ran=Ran.YES)
        self.stored = response


class Runtime:
    """One running instance: its core with its connections, files and tasks."""

    def __init__(
        self,
        instance: Instance,
        journal: Journal | None,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.metrics = metrics
        self._upstream_context = build_client_context(instance.settings.upstream_tls)
        opener = TunnelOpener(
            f"/{SERVICE}/{TUNNEL_METHOD}",
            lambda address: build_channel(address, instance.settings.peer_tls),
            self._spawn,
            self._upstream_context,
        )
        self._opener = opener
        self.dialing = InstanceDialing(
            instance.membership.me, instance.catalog, opener, self._spawn, metrics
        )
        self._session: aiohttp.ClientSession | None = None
        self._control_log: ControlLog | None = None
        if journal is not None:
            self._control_log = ControlLog(
                instance, journal, self._finish_control, self.now, self._spawn
            )
        self.announcements: Subject[Announcement] = Subject()
        self.peers: PeerTransport | None = None
        self.gossip: GossipSocket | None = None
        self.stop_requested = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._exchanges: dict[RequestId, Exchange] = {}
        self._attempts: dict[AttemptId, Exchange] = {}
        self._proposals: dict[str, asyncio.Future[Result | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheme = "https" if instance.settings.upstream_tls else "http"
        self._is_pump_scheduled = False
        self._next_gauges_at = 0.0
        self._next_peers_at = 0.0
        self._failing_since: float | None = None
        self._stalls = StallGuard(TICK_INTERVAL_S, self.now(), self._count_stall)
        self._request_count = 0
        self.announcements.subscribe(on_next=self._receive_announcement)

    def now(self) -> float:
        """Return the seconds of the monotonic clock."""
        return self._loop.time()

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session to upstreams; set while the core runs."""
        assert self._session is not None
        return self._session

    @contextlib.asynccontextmanager
    async def open_session(self) -> AsyncIterator[None]:
        """Open the HTTP session to upstreams until the block ends."""
        connector = StrictConnector(
            UpstreamDialer(self.dialing),
            force_close=False,
            may_repeat=False,
            idle_timeout_s=IDLE_TIMEOUT_S,
            is_probed=True,
            context=self._upstream_context,
        )
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
            read_bufsize=2**16,
        ) as self._session:
            yield

    # Requests

    def build_request_id(self) -> RequestId:
        """Return a request id that is unique in the system."""
        self._request_count += 1
        incarnation = f"{self.instance.incarnation:x}"
        return RequestId(f"{self.instance.me}-{incarnation}-{self._request_count}")

    def admit(self, exchange: Exchange) -> None:
        """Submit the request of an exchange; raise if admission rejects it."""
        request = exchange.request
        self._exchanges[request.request] = exchange
        try:
            self.execute(self.instance.admit(request, self.now()))
        except Exception:
            del self._exchanges[request.request]
            raise

    def cancel(self, request: RequestId) -> None:
        """Cancel a request whose caller disconnected."""
        self.execute(self.instance.cancel(request, self.now()))

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        request = exchange.request
        self._exchanges.pop(request.request, None)
        self.instance.finish(request.request, request.customer)

    def count_open(self) -> int:
        """Return the number of requests in progress."""
        return len(self._exchanges)

    def end_open(self) -> None:
        """End each open request with an error, because the process is about to end."""
        for request in list(self._exchanges):
            actions = self.instance.cancel(request, self.now())
            self.execute([_replace_cause(action) for action in actions])

    def build_reporter(self) -> AttemptReporter:
        """Return the callbacks for an exchange."""
        return AttemptReporter(
            self._report_started,
            self._report_under_way,
            self._report_ended,
            self.cancel,
            self._report_backoff,
            self._find_upstream,
            self._scheme,
        )

    def _find_upstream(self, upstream: UpstreamId) -> UpstreamRecord | None:
        return self.instance.catalog.get(upstream)

    def _report_started(self, attempt: AttemptId) -> None:
        self.execute(self.instance.handle_started(attempt, self.now()))

    def _report_under_way(self, attempt: AttemptId) -> None:
        self.instance.entry.handle_under_way(attempt, self.now())

    def _report_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        self.execute(self.instance.handle_result(attempt, result, self.now()))

    def _report_backoff(self, upstream: UpstreamId, seconds: float) -> None:
        self.instance.entry.record_backoff(upstream, seconds, self.now())

    # Inputs

    def _receive_announcement(self, announcement: Announcement) -> None:
        self.execute(self.instance.receive_announcement(announcement, self.now()))

    def receive_message(self, sender: InstanceId, message: PeerMessage) -> None:
        """Handle a message of another instance."""
        actions = self.instance.handle_peer(sender, message, self.now(), time.time())
        self.execute(actions)
        self._schedule_pump()

    def receive_datagram(self, datagram: Datagram) -> None:
        """Handle a datagram of another instance."""
        self.execute(self.instance.handle_datagram(datagram, self.now()))

    def tick(self) -> None:
        """Run the core's timers."""
        if not self._stalls.may_run(self.now()):
            return
        try:
            self.execute(self.instance.advance(self.now(), time.time()))
            self._schedule_pump()
            self._update_peers()
            self._report_gauges()
            self._failing_since = None
        except Exception:
            # One failure costs less than the open requests of this process.
            logger.exception("tick failed")
            if self._failing_since is None:
                self._failing_since = self.now()
            if self.now() - self._failing_since > TICK_FAILURE_TIMEOUT_S:
                raise

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _count_stall(self) -> None:
        self.metrics.incr("event_loop.stalls")

    def _update_peers(self) -> None:
        now = self.now()
        if now >= self._next_peers_at:
            self._next_peers_at = now + PEERS_INTERVAL_S
            self.dialing.update_peers(self.instance.membership.list_live())
            self.dialing.reach.expire(now)

    def _report_gauges(self) -> None:
        now = self.now()
        if now < self._next_gauges_at:
            return
        self._next_gauges_at = now + GAUGE_INTERVAL_S
        self.metrics.gauge("requests.open", self.count_open())
        self.metrics.gauge("configuration.version", self.instance.configuration.version)

    def drain(self) -> None:
        """Begin draining."""
        logger.info("drain begins", open=self.count_open())
        self.execute(self.instance.drain(self.now(), time.time()))
        self._schedule_pump()

    async def propose(self, command: Command, timeout: float) -> Result | None:
        """Commit a command; ``None`` without a quorum within ``timeout`` seconds."""
        proposal, actions = self.instance.propose(
            command, timeout, self.now(), time.time()
        )
        future: asyncio.Future[Result | None] = self._loop.create_future()
        self._proposals[proposal] = future
        self.execute(actions)
        self._schedule_pump()
        return await future

    # Actions

    def execute(self, actions: Sequence[InstanceAction]) -> None:
        """Execute actions of the core."""
        for action in actions:
            self._execute_one(action)

    def _schedule_pump(self) -> None:
        """Schedule one run of the control member's output per event loop iteration."""
        if self.instance.control is not None and not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._loop.call_soon(self._pump_control)

    def _execute_one(self, action: InstanceAction) -> None:
        match action:
            case ToInstance(instance, message):
                self._send(instance, message)
            case Outbound(address, datagram):
                if self.gossip is not None:
                    self.gossip.send(address, datagram)
            case StartAttempt(attempt, request):
                exchange = self._exchanges.get(request)
                if exchange is not None:
                    self._attempts[attempt] = exchange
                    exchange.start(action)
            case ResumeAttempt(attempt):
                if attempt in self._attempts:
                    self._attempts[attempt].resume()
            case AbortAttempt(attempt):
                aborted = self._attempts.pop(attempt, None)
                if aborted is not None:
                    aborted.abort()
            case ClaimKey(request):
                self._spawn(self._claim(request))
            case Conclude(request, error):
                self._conclude(request, error)
            case CancelOnEngine(upstream, attempt):
                self._spawn(self._cancel_on_engine(upstream, attempt))
            case SendOrder(upstream, order):
                self._spawn(self._send_order(upstream, order))
            case ProposalOutcome(proposal, result):
                future = self._proposals.pop(proposal, None)
                if future is not None and not future.done():
                    future.set_result(result)

    def _send(self, instance: InstanceId, message: PeerMessage) -> None:
        address = self._find_address(instance)
        if address is not None and self.peers is not None:
            self.peers.send(instance, address, message)

    def _find_address(self, instance: InstanceId) -> str | None:
        listed = self.instance.membership.get_listed(instance)
        if listed is not None:
            return listed.peers
        for peer in self.instance.settings.peers:
            if peer.instance == instance:
                return peer.peers
        return None

    def _conclude(self, request: RequestId, error: ScalebendError | None) -> None:
        exchange = self._exchanges.get(request)
        if exchange is None:
            return
        exchange.conclude(error)
        is_claimed = exchange.request.idempotency_key is not None
        if is_claimed and not isinstance(error, ClaimError):
            self._spawn(self._settle(exchange, error))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim(self, request_id: RequestId) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is None:
            return
        request = exchange.request
        assert request.idempotency_key is not None
        command = Claim(
            request.customer, request.idempotency_key, request.fingerprint, request_id
        )
        timeout = min(CLAIM_TIMEOUT_S, max(0.0, request.deadline - self.now()))
        result = await self.propose(command, timeout)
        error = _build_claim_error(result)
        self.execute(self.instance.handle_claim(request_id, error, self.now()))

    async def _settle(self, exchange: Exchange, error: ScalebendError | None) -> None:
        request = exchange.request
        assert request.idempotency_key is not None
        command: Command
        if error is not None and error.ran is Ran.NO:
            command = Withdraw(
                request.customer, request.idempotency_key, request.request
            )
        elif error is None and (stored := exchange.build_stored_response()) is not None:
            command = Settle(
                request.customer, request.idempotency_key, request.request, stored
            )
        else:
            return
        await self.propose(command, SETTLE_TIMEOUT_S)

    async def _cancel_on_engine(self, upstream: UpstreamId, attempt: AttemptId) -> None:
        record = self.instance.catalog.get(upstream)
        if record is None:
            return
        url = f"{self._scheme}://{record.announcement.address}/v1/requests/{attempt}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.delete(url, timeout=timeout) as response:
                if response.status in (200, 202, 204, 404):
                    now = self.now()
                    self.execute(
                        self.instance.confirm_cancelled(upstream, attempt, now)
                    )

    async def _send_order(self, upstream: UpstreamId, order: Order) -> None:
        record = self.instance.catalog.get(upstream)
        if record is None:
            return
        url = f"{self._scheme}://{record.announcement.address}/v1/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        body = msgspec.json.encode(order)
        # The response does not matter: the engine announces the result.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.post(url, data=body, timeout=timeout) as response:
                logger.info("order sent", upstream=upstream, status=response.status)

    # Control

    def _pump_control(self) -> None:
        self._is_pump_scheduled = False
        if self._control_log is not None:
            self._control_log.pump()

    def _finish_control(self, ready: Ready) -> None:
        self.execute(self.instance.finish_control(ready, self.now(), time.time()))

    async def close(self) -> None:
        """Cancel background tasks and wait for their end."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._opener.close()


def _replace_cause(action: InstanceAction) -> InstanceAction:
    """Return ``action`` with the stop in place of the cancellation as its error."""
    match action:
        case Conclude(request, ScalebendError(ran=ran)):
            logger.info("request ended by the stop", request=request, ran=ran.value)
            return Conclude(request, _build_stop_error(ran))
    return action


def _build_stop_error(ran: Ran) -> ScalebendError:
    if ran is Ran.NO:
        return RefusedError(
            "the instance stops", kind=ErrorKind.NOT_READY, retry_after=1.0
        )
    return TimeLimitError(
        "the instance stopped before the response was complete", ran=ran
    )


def _build_claim_error(result: Result | None) -> ScalebendError | None:
    match result:
        case ClaimTaken():
            return None
        case ClaimKnown(_, response) if (
            response is not None and response.body is not None
        ):
            return ClaimedResponseError(response)
        case ClaimKnown(state, response):
            ran = Ran.YES if response is not None else Ran.UNKNOWN
            detail = f"the first request with this key is {state.value}"
            return ClaimError(detail, ran=ran)
        case ClaimConflict():
            return ClaimError(
                "the key was used for a request with other content",
                kind=ErrorKind.IDEMPOTENCY_CONFLICT,
            )
        case _:
            return ScalebendError(
                "the claim was not committed before the timeout",
                kind=ErrorKind.NO_QUORUM,
                retry_after=2.0,
            )


@contextlib.contextmanager
def _open_control_journal(
    settings: Settings,
) -> Iterator[tuple[Journal | None, Recovered | None]]:
    if not settings.is_control:
        yield None, None
        return
    assert settings.data_folder is not None
    with open_journal(Path(settings.data_folder) / "control") as opened:
        yield opened


@contextlib.asynccontextmanager
async def run_core(settings: Settings, *, seed: int = 0) -> AsyncIterator[Runtime]:
    """Run an instance's core with its connections, files and timers."""
    loop = asyncio.get_running_loop()
    key = None
    if settings.gossip_key_file is not None:
        key = Path(settings.gossip_key_file).read_bytes().strip()
    async with contextlib.AsyncExitStack() as stack:
        journal, recovered = stack.enter_context(_open_control_journal(settings))
        instance = Instance(
            settings,
            recovered,
            now=loop.time(),
            incarnation=int(time.time() * 1000),
            seed=seed,
        )
        runtime = Runtime(instance, journal, build_metrics(settings.statsd))
        await stack.enter_async_context(runtime.open_session())
        stack.push_async_callback(runtime.close)
        carrier = TunnelCarrier(
            runtime.dialing.reach, runtime.dialing.knows_address, runtime.now
        )
        runtime.peers = await stack.enter_async_context(
            serve_peers(
                settings.instance,
                settings.listen.peers,
                settings.peer_tls,
                runtime.receive_message,
                carrier,
            )
        )
        runtime.gossip = await stack.enter_async_context(
            open_gossip(settings.listen.gossip, runtime.receive_datagram, key)
        )
        timers = start_essential_task("timers", runtime.run())
        stack.callback(timers.cancel)
        yield runtime
