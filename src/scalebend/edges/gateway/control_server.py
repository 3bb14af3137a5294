"""A control instance of the gateway: its log on disk, links, and its HTTP listener."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import structlog
from aiohttp import web

from scalebend.core.consensus.messages import Ready, Recovered
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.gateway.control_instance import (
    ControlAction,
    ControlInstance,
    ProposalEnded,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.messages import (
    Heartbeat,
    Introduce,
    KnownInstances,
    LinkMessage,
)
from scalebend.core.gateway.route_table import check_routing
from scalebend.core.gateway.routing_store import pack_routing, unpack_document
from scalebend.core.messages import RelayReply
from scalebend.edges.control_pump import pump_control
from scalebend.edges.gateway.front_server import answer_metrics, listen
from scalebend.edges.gateway.inspection import Inspector
from scalebend.edges.gateway.links import (
    HEARTBEAT,
    Dialer,
    LinkServer,
    listen_for_links,
)
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.redirects import redirect_to
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.edges.gateway.sockets import Listeners
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.edges.problems import build_response
from scalebend.exceptions import (
    ErrorKind,
    RefusedError,
    RequestError,
    ScalebendError,
)
from scalebend.models.gateway_settings import GatewayRole, GatewaySettings
from scalebend.models.ids import InstanceId, RoutingVersion, UpstreamId
from scalebend.platform.registrations import (
    ACKNOWLEDGEMENT,
    CONFIGURATION_PATH,
    REGISTRATION_PREFIX,
    decode_registration,
)
from scalebend.platform.routing import decode_routing
from scalebend.storage.journal import Journal, open_journal

logger = structlog.get_logger(__name__)

TICK = 0.02
"""Seconds between two calls of the core's timers, a fifth of the log's heartbeat."""

QUORUM_TIMEOUT = 0.8
"""Seconds for a decision of the control group; callers try another instance after
one second without an answer."""

INSPECTION_PERIOD = 2.5
"""Seconds between two reports of each engine. Fronts ask at once when a first token is
late; this finds slow ones before, at a price that shows where probes are dear."""

REOPEN_DELAY = 0.3
"""Seconds before a log whose disk refused a write is read again."""


class ControlRuntime:
    """One running control instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        journal: Journal,
        recovered: Recovered,
        metrics: GatewayMetrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        me = settings.instance
        peers = [InstanceId(seed) for seed in settings.seeds if seed != me]
        member = ControlMember(
            me,
            peers,
            recovered,
            now=self.now(),
            seed=time.time_ns(),
            may_found=settings.is_first_start and me in settings.seeds,
            may_be_named=settings.is_first_start,
            voters_wanted=2 * settings.tolerated_losses + 1,
        )
        self.instance = ControlInstance(
            member, settings.heartbeat_interval, now=self.now()
        )
        introduction = Introduce(me, time.time_ns(), settings.role)
        self.dialer = Dialer(
            introduction, self._hear_relay, self._introduce, lambda _: None, metrics
        )
        self.server = LinkServer(self._receive, self._note_up, self._note_down, metrics)
        self.failure: asyncio.Future[None] = self._loop.create_future()
        self._proposals: dict[str, asyncio.Future[RoutingVersion | None]] = {}
        self._readers: dict[int, asyncio.Future[None]] = {}
        self._is_pumping = False
        self._heartbeat_at = 0.0

    def now(self) -> float:
        """Seconds of the clock that only runs forward."""
        return self._loop.time()

    async def inspect_engines(self) -> None:
        """While this member leads, ask the replicas how slow they are."""
        async with open_upstream_sessions() as sessions:
            inspector = Inspector(sessions.pooled)
            while True:
                await asyncio.sleep(INSPECTION_PERIOD)
                if not self.instance.is_leader:
                    continue
                engines = self.instance.list_engines()
                found = await inspector.inspect(engines, self.now())
                self.instance.note_inspection(found.paces, found.silent, self.now())

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self.execute(self.instance.advance(self.now()))
            self.dialer.close_silent(self.now())
            self.server.close_silent(self.now())
            self._send_heartbeats()
            self.schedule_pump()
            await asyncio.sleep(TICK)

    def _send_heartbeats(self) -> None:
        if self.now() >= self._heartbeat_at:
            self._heartbeat_at = self.now() + HEARTBEAT
            self.dialer.send_to_all(Heartbeat())
            self.server.send_to_all(Heartbeat())

    # Links

    def _receive(self, peer: Introduce, message: LinkMessage) -> None:
        if peer.role is GatewayRole.FRONT:
            actions = self.instance.handle_front(peer.instance, message, self.now())
            self.execute(actions)
        elif peer.role is GatewayRole.CONTROL:
            self._take_peer_message(peer.instance, message)

    def _hear_relay(self, instance: InstanceId, message: LinkMessage) -> None:
        """Over a link that this member dialled, only relays answer."""
        if isinstance(message, RelayReply | KnownInstances):
            self._take_peer_message(instance, message)

    def _take_peer_message(self, sender: InstanceId, message: LinkMessage) -> None:
        now = self.now()
        self.execute(self.instance.handle_peer(sender, message, now, time.time()))
        self.schedule_pump()

    def _introduce(self, instance: InstanceId) -> None:
        self.execute(self.instance.introduce(instance))

    def _note_up(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                self.execute(self.instance.add_front(peer.instance, self.now()))
            case GatewayRole.RELAY:
                self.execute(self.instance.add_relay(peer.instance, self.now()))
            case GatewayRole.CONTROL:
                # It runs, so it can be dialled without waiting any longer.
                self.dialer.dial_now(peer.instance)

    def _note_down(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                self.instance.remove_front(peer.instance)
            case GatewayRole.RELAY:
                self.instance.remove_relay(peer.instance)
            case GatewayRole.CONTROL:
                replica = self.instance.member.replica
                replica.note_link_lost(peer.instance, self.now())

    def execute(self, actions: Iterable[ControlAction]) -> None:
        """Carry out actions of the core."""
        for action in actions:
            match action:
                case ToInstance(instance, message):
                    self.dialer.send(instance, message)  # type: ignore[arg-type]
                case ToFront(front, message):
                    self.server.send(front, message)
                case ProposalEnded(proposal, held):
                    future = self._proposals.pop(proposal, None)
                    if future is not None and not future.done():
                        future.set_result(held)
                case ReadConfirmed(readers):
                    self._confirm(readers)

    def _confirm(self, readers: list[int]) -> None:
        for reader in readers:
            future = self._readers.pop(reader, None)
            if future is not None and not future.done():
                future.set_result(None)

    # The replicated log

    def schedule_pump(self) -> None:
        """Let the member write and send, once for all of this turn's work."""
        if not self._is_pumping and not self.failure.done():
            self._is_pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pumping = False
        if self.failure.done():
            return
        try:
            pump_control(self.instance.member, self._journal, self._finish, self.now())
        except OSError as error:
            # What was not written must not be answered for: start over from disk.
            logger.error("log not written", error=str(error))
            self.failure.set_result(None)

    def _finish(self, ready: Ready) -> None:
        self.execute(self.instance.finish(ready, self.now()))

    async def put_routing(self, data: bytes) -> RoutingVersion:
        """As leader, let the group take a document; return the version that holds."""
        routing = decode_routing(data)
        check_routing(routing)
        if routing.version <= self.instance.routing.version:
            return self.instance.routing.version
        stored = pack_routing(routing, data)
        name = self.instance.propose_routing(stored, self.now(), time.time())
        future: asyncio.Future[RoutingVersion | None] = self._loop.create_future()
        self._proposals[name] = future
        self.schedule_pump()
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT):
                held = await future
        except TimeoutError:
            held = None
        finally:
            self._proposals.pop(name, None)
        if held is None:
            raise _no_quorum()
        return held

    async def read_document(self) -> bytes:
        """As leader, return the newest document, confirmed by a quorum."""
        reader = self.instance.ask_fresh(self.now())
        future: asyncio.Future[None] = self._loop.create_future()
        self._readers[reader] = future
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT):
                await future
        except TimeoutError:
            raise _no_quorum() from None
        finally:
            self._readers.pop(reader, None)
        stored = self.instance.member.state.routing
        if stored is None:
            raise RefusedError("no document was accepted yet", kind=ErrorKind.NOT_READY)
        return unpack_document(stored)


def _no_quorum() -> RefusedError:
    return RefusedError("no quorum answered", kind=ErrorKind.NO_QUORUM)


class ControlHandler:
    """Calls of operators and upstreams."""

    def __init__(self, runtime: ControlRuntime) -> None:
        self._runtime = runtime

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        try:
            return await self._dispatch(request)
        except ScalebendError as error:
            logger.info(
                "call refused",
                method=request.method,
                path=request.path,
                kind=error.kind.value,
                detail=error.detail[:200],
            )
            return build_response(error)

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        match request.method:
            case "PUT" if path.startswith(REGISTRATION_PREFIX):
                return await self._register(request)
            case "DELETE" if path.startswith(REGISTRATION_PREFIX):
                return self._remove(request)
            case "PUT" if path == CONFIGURATION_PATH:
                return await self._put(request)
            case "GET" if path == CONFIGURATION_PATH:
                return await self._get(request)
            case "GET" if path == "/metrics":
                return await answer_metrics(self._runtime.metrics, request)
        raise RequestError(f"{request.method} {path}", kind=ErrorKind.NOT_FOUND)

    async def _register(self, request: web.BaseRequest) -> web.StreamResponse:
        runtime = self._runtime
        upstream = request.path.removeprefix(REGISTRATION_PREFIX)
        endpoint = decode_registration(upstream, await request.read())
        runtime.execute(runtime.instance.register(endpoint, runtime.now()))
        return self._acknowledge_registration()

    def _remove(self, request: web.BaseRequest) -> web.StreamResponse:
        runtime = self._runtime
        upstream = UpstreamId(request.path.removeprefix(REGISTRATION_PREFIX))
        runtime.execute(runtime.instance.remove(upstream, runtime.now()))
        return self._acknowledge_registration()

    def _acknowledge_registration(self) -> web.StreamResponse:
        # It is remembered in any case; but not every front may hear of it from here.
        if not self._runtime.instance.may_acknowledge():
            raise _no_quorum()
        return web.Response(body=ACKNOWLEDGEMENT, content_type="application/json")

    async def _put(self, request: web.BaseRequest) -> web.StreamResponse:
        if (redirect := self._redirect(request)) is not None:
            return redirect
        data = await request.read()
        held = await self._runtime.put_routing(data)
        logger.info("routing acknowledged", held=held, size=len(data))
        return web.Response(body=b"{}", content_type="application/json")

    async def _get(self, request: web.BaseRequest) -> web.StreamResponse:
        if (redirect := self._redirect(request)) is not None:
            return redirect
        document = await self._runtime.read_document()
        return web.Response(body=document, content_type="application/json")

    def _redirect(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Where another member leads, the call belongs there."""
        runtime = self._runtime
        if runtime.instance.is_leader:
            return None
        leader = runtime.instance.member.leader
        if leader is None:
            raise _no_quorum()
        return redirect_to(leader, runtime.settings, request)


async def serve_control(
    settings: GatewaySettings, stopped: asyncio.Event, watch: SettingsWatch
) -> None:
    """Run a control instance until ``stopped`` is set.

    A disk that refuses a write ends the member, not the process: it comes back from
    what the disk holds as soon as the disk takes writes again.
    """
    metrics = GatewayMetrics()
    while not stopped.is_set():
        try:
            await _serve_member(settings, metrics, stopped, watch)
        except OSError as error:
            logger.error("control member ended", error=str(error))
        if not stopped.is_set():
            await asyncio.sleep(REOPEN_DELAY)


async def _serve_member(
    settings: GatewaySettings,
    metrics: GatewayMetrics,
    stopped: asyncio.Event,
    watch: SettingsWatch,
) -> None:
    assert settings.data_folder is not None
    assert settings.control_address is not None
    folder = Path(settings.data_folder)
    with open_journal(folder) as (journal, recovered):
        runtime = ControlRuntime(settings, journal, recovered, metrics)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(_run_links(settings, runtime))
            note_seeds = runtime.instance.member.note_instances
            await stack.enter_async_context(watch.tell(note_seeds))
            handler = ControlHandler(runtime)
            await stack.enter_async_context(
                listen(Listeners().take(settings.control_address), handler.handle)
            )
            logger.info("control listens", instance=settings.name)
            stopping = asyncio.ensure_future(_wait_until_set(stopped))
            ends: set[asyncio.Future[None]] = {stopping, runtime.failure}
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            stopping.cancel()
            if not runtime.failure.done():
                await _hand_over(runtime)


async def _wait_until_set(event: asyncio.Event) -> None:
    await event.wait()


HAND_OVER = 0.5
"""Seconds for another member to take the lead before this process ends."""


async def _hand_over(runtime: ControlRuntime) -> None:
    if runtime.instance.is_leader:
        logger.info("leadership handed over")
        runtime.instance.member.stop_leading(runtime.now())
        runtime.schedule_pump()
        await asyncio.sleep(HAND_OVER)


@contextlib.asynccontextmanager
async def _run_links(
    settings: GatewaySettings, runtime: ControlRuntime
) -> AsyncIterator[None]:
    address = settings.link_listen or settings.link_address
    async with listen_for_links(address, runtime.server):
        tasks = [
            asyncio.create_task(runtime.run()),
            asyncio.create_task(runtime.inspect_engines()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await runtime.dialer.close()
