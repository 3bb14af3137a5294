"""All parts of one instance and the routing of messages between them, without I/O.

The edges pass in requests, announcements, messages and datagrams with the current
time, and execute the returned actions. Messages that an instance addresses to itself
are handled within it.

``now`` is monotonic time in seconds, ``wall`` is wall-clock time in seconds.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Sequence

import msgspec
import structlog

from scalebend.core.admission import AdmissionControl
from scalebend.core.catalog import Catalog
from scalebend.core.consensus.messages import Ready, Recovered
from scalebend.core.control_client import ControlClient, ProposalOutcome, Submission
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.control_state import (
    EMPTY_LIST,
    Barrier,
    Command,
    Done,
    ListedInstance,
)
from scalebend.core.entry import Entry, EntryOptions
from scalebend.core.flow import (
    AbortAttempt,
    AttemptResult,
    ClaimKey,
    Conclude,
    EntryAction,
    ResumeAttempt,
    StartAttempt,
    ToOwner,
)
from scalebend.core.list_history import ListHistory, WholeList, apply_list_update
from scalebend.core.membership import MemberRank, Membership, Outbound
from scalebend.core.messages import (
    Announced,
    CatalogPage,
    Datagram,
    Fetch,
    FetchCatalog,
    Handover,
    PeerMessage,
    ProposalReply,
    Published,
    UsageReply,
    UsageReport,
)
from scalebend.core.orders import OrderPlanner
from scalebend.core.owner import CancelOnEngine, OwnerAction, ToEntry
from scalebend.core.ownership import ReplicaOwners
from scalebend.core.publication import build_published
from scalebend.core.queueing import PRIORITY_FACTOR, STRATEGIES
from scalebend.core.upstream_updates import UpstreamUpdates
from scalebend.core.usage_exchange import UsageExchange
from scalebend.exceptions import ErrorKind, RefusedError, ScalebendError
from scalebend.models.configuration import (
    EMPTY_CONFIGURATION,
    AcceptedConfiguration,
    Model,
    Service,
)
from scalebend.models.ids import (
    AttemptId,
    CustomerId,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from scalebend.models.orders import SendOrder
from scalebend.models.settings import Settings
from scalebend.models.upstream import Announcement
from scalebend.models.work import (
    Grant,
    Refusal,
    RefusalReason,
    Release,
    Renew,
    Request,
    Reserve,
    Started,
)

logger = structlog.get_logger(__name__)

RENEW_INTERVAL_S = 1.0
"""Time between two renewals of the reservations at replica owners."""

USAGE_INTERVAL_S = 1.0
"""Time between two usage reports."""

FETCH_INTERVAL_S = 0.25
"""Time between two requests for state while newer state is known to exist."""

REFRESH_INTERVAL_S = 2.0
"""Time between two requests for state while no newer state is known."""

ISOLATION_TIMEOUT_S = 6.0
"""Time without contact with any other instance before this one stops admitting."""

LIST_GRACE_S = 3.0
"""Time after its start in which a leader removes no instance from the list."""

CATALOG_GRACE_S = 3.0
"""Time after its start that an instance waits for another instance's catalog."""

COMPARE_INTERVAL_S = 5.0
"""Time between two catalog comparisons, each with the next live instance.

Rumors are sent a bounded number of times and may all be lost; the comparison finds
upstreams that were missed. At 390 instances it costs 80 small messages a second in the
whole cluster.
"""

BARRIER_TIMEOUT_S = 2.0
"""Timeout of the barrier that confirms that the configuration is up to date."""

InstanceAction = (
    ToInstance
    | Outbound
    | StartAttempt
    | ResumeAttempt
    | AbortAttempt
    | ClaimKey
    | Conclude
    | CancelOnEngine
    | SendOrder
    | ProposalOutcome
)


class Readiness(msgspec.Struct, frozen=True):
    """Whether requests are admitted; ``reason`` states why not."""

    is_ready: bool
    reason: str


class Instance:
    """One instance: admission, routing, owners, membership and control member."""

    def __init__(
        self,
        settings: Settings,
        recovered: Recovered | None,
        *,
        now: float,
        incarnation: int,
        seed: int = 0,
    ) -> None:
        self.settings = settings
        self.me = settings.instance
        self.incarnation = incarnation
        self.configuration: AcceptedConfiguration = EMPTY_CONFIGURATION
        self.instances = EMPTY_LIST
        self.admission = AdmissionControl()
        self.catalog = Catalog(settings.limits.announcement_timeout)
        strategy = STRATEGIES[settings.policy]
        options = EntryOptions(self.me, settings.availability_zone, strategy, seed)
        self.entry = Entry(options, self.catalog)
        self.owners = ReplicaOwners(self.me, self.catalog, strategy.queue)
        self.usage = UsageExchange(self.me, self.owners.shares, self.admission)
        self.is_draining = False
        self.is_fresh = False
        listed = ListedInstance(
            self.me,
            incarnation,
            settings.listen.peers,
            settings.listen.gossip,
            settings.region,
            settings.availability_zone,
        )
        seeds = [peer.gossip for peer in settings.peers]
        self.membership = Membership(listed, seeds, now=now, seed=seed)
        self.upstream_updates = UpstreamUpdates(
            self.catalog, self.owners, self.entry, self.membership
        )
        control = [peer.instance for peer in settings.peers if peer.control]
        self.control: ControlMember | None = None
        self._seed = seed
        if recovered is not None:
            self.start_control(recovered, now)
            control = [self.me, *control]
        self.client = ControlClient(self.me, control)
        self._control_names = control
        self._planner = OrderPlanner()
        self._started = now
        self._due_times: dict[str, float] = {}
        self._barrier: str | None = None
        self._required_versions = Done(EMPTY_CONFIGURATION.version, EMPTY_LIST.epoch)
        self._models: dict[ModelName, Model] = {}
        self._services: dict[ServiceName, Service] = {}
        self._list_history = ListHistory()
        # Instances that start together compare with different peers first.
        self._compare_index = zlib.crc32(self.me.encode())

    def start_control(self, recovered: Recovered, now: float) -> None:
        """Start the control member with what its disk holds."""
        peers = [peer.instance for peer in self.settings.peers if peer.control]
        self.control = ControlMember(
            self.me, peers, recovered, now=now, seed=self._seed
        )

    def stop_control(self) -> None:
        """Stop the control member without writing anything more."""
        self.control = None

    # State

    def read_readiness(self, now: float) -> Readiness:
        """Return whether this instance admits requests now."""
        if self.is_draining:
            return Readiness(False, "the instance is draining")
        if not self.is_fresh:
            return Readiness(False, "no quorum has confirmed the configuration yet")
        if not self._has_upstreams(now):
            return Readiness(False, "the upstreams are not known yet")
        if self._is_isolated(now):
            return Readiness(False, "no contact with any other instance")
        return Readiness(True, "")

    def get_model(self, name: ModelName) -> Model | None:
        """Return a model of the configuration in force."""
        return self._models.get(name)

    def get_service(self, name: ServiceName) -> Service | None:
        """Return a service of the configuration in force."""
        return self._services.get(name)

    def _has_upstreams(self, now: float) -> bool:
        # If no instance sends its catalog, announcements fill it within this time.
        if self.upstream_updates.has_catalog or not self.settings.peers:
            return True
        return now - self._started >= CATALOG_GRACE_S

    def _is_isolated(self, now: float) -> bool:
        if not self.settings.peers:
            return False
        return now - self.membership.last_contact >= ISOLATION_TIMEOUT_S

    # Requests

    def check_ready(self, now: float) -> None:
        """Raise :class:`RefusedError` if no requests are admitted now."""
        readiness = self.read_readiness(now)
        if not readiness.is_ready:
            raise RefusedError(
                readiness.reason, kind=ErrorKind.NOT_READY, retry_after=1.0
            )

    def admit(self, request: Request, now: float) -> list[InstanceAction]:
        """Admit and route a request; raise :class:`RefusedError` if it is rejected."""
        self.check_ready(now)
        self.admission.admit(
            request.request, request.customer, request.memory_tokens, now
        )
        return self._run(self.entry.admit(request, now), now)

    def handle_started(self, attempt: AttemptId, now: float) -> list[InstanceAction]:
        """Handle the first token of an attempt."""
        return self._run(self.entry.handle_started(attempt, now), now)

    def handle_result(
        self, attempt: AttemptId, result: AttemptResult, now: float
    ) -> list[InstanceAction]:
        """Handle the end of an attempt as seen on its connection."""
        return self._run(self.entry.handle_result(attempt, result, now), now)

    def handle_claim(
        self, request: RequestId, error: ScalebendError | None, now: float
    ) -> list[InstanceAction]:
        """Handle the reply to a claim; ``error`` is ``None`` if it was granted."""
        return self._run(self.entry.handle_claim(request, error, now), now)

    def cancel(self, request: RequestId, now: float) -> list[InstanceAction]:
        """Cancel a request whose caller disconnected."""
        return self._run(self.entry.cancel(request, now), now)

    def finish(self, request: RequestId, customer: CustomerId) -> None:
        """End the admission of a request whose response is complete."""
        self.admission.finish(request, customer)

    def confirm_cancelled(
        self, upstream: UpstreamId, attempt: AttemptId, now: float
    ) -> list[InstanceAction]:
        """Handle an engine's confirmation that it cancelled an attempt."""
        owner = self.owners.get(upstream)
        if owner is None:
            return []
        return self._run(owner.confirm_cancelled(attempt, now), now)

    def propose(
        self, command: Command, timeout: float, now: float, wall: float
    ) -> tuple[str, list[InstanceAction]]:
        """Propose a command to the control group; return its name and the actions.

        A :class:`ProposalOutcome` action follows. ``timeout`` is in seconds.
        """
        name, sent = self.client.submit(
            command, timeout, now, salt=str(self.incarnation)
        )
        return name, self._run(list(sent), now, wall)

    def drain(self, now: float, wall: float) -> list[InstanceAction]:
        """Start to drain: admit and own nothing more, finish open requests."""
        self.is_draining = True
        self.membership.leave(now)
        if self.control is not None:
            self.control.stop_leading(now)
        return self.advance(now, wall)

    # Upstreams

    def receive_announcement(
        self, announcement: Announcement, now: float
    ) -> list[InstanceAction]:
        """Forward an upstream's announcement to the owner of the upstream."""
        owner = self.owners.find_owner(announcement.upstream)
        if owner is None:
            return []
        return self._run([ToInstance(owner, Announced(announcement))], now)

    # Messages

    def handle_peer(
        self, sender: InstanceId, message: PeerMessage, now: float, wall: float
    ) -> list[InstanceAction]:
        """Handle a message of another instance."""
        return self._run(self._dispatch(sender, message, now, wall), now, wall)

    def handle_datagram(self, datagram: Datagram, now: float) -> list[InstanceAction]:
        """Handle a datagram of another instance."""
        steps: list[_Step] = []
        for rumor in self.membership.handle(datagram, now):
            steps += self.upstream_updates.apply_rumor(rumor, now)
        return self._run(steps, now)

    def _dispatch(
        self, sender: InstanceId, message: PeerMessage, now: float, wall: float
    ) -> list[_Step]:
        match message:
            case Reserve() | Started() | Release() | Renew():
                return self._dispatch_to_owner(message, now)
            case Grant():
                return list(self.entry.handle_grant(message, now))
            case Refusal():
                return list(self.entry.handle_refusal(message, now))
            case Announced(announcement):
                return list(self.upstream_updates.apply_announcement(announcement, now))
            case ProposalReply():
                ended, sent = self.client.handle(message, now)
                return self._handle_ended_proposals(ended) + list(sent)
            case Published():
                return self._apply_published(message, now)
            case Fetch() if self.control is None:
                return self._reply_to_fetch(sender, message)
            case UsageReport():
                return [self.usage.receive_report(sender, message, now)]
            case UsageReply():
                self.usage.receive_reply(message, now)
            case Handover(upstream, renew):
                owner = self.owners.get(upstream)
                if owner is not None:
                    return list(owner.apply_handover(renew.work, now))
            case FetchCatalog(checksum):
                if checksum == self.catalog.compute_checksum():
                    return []
                return [ToInstance(sender, self.upstream_updates.build_page())]
            case CatalogPage():
                return list(self.upstream_updates.apply_page(message, now))
            case _:
                if self.control is not None:
                    self.control.handle(sender, message, now, wall)
        return []

    def _dispatch_to_owner(
        self, message: Reserve | Started | Release | Renew, now: float
    ) -> list[_Step]:
        upstream = (
            message.work.upstream
            if isinstance(message, Reserve)
            else (message.upstream)
        )
        owner = self.owners.get(upstream)
        if owner is not None:
            return list(owner.handle(message, now))
        if isinstance(message, Reserve):
            work = message.work
            refusal = Refusal(work.attempt, upstream, RefusalReason.NOT_OWNER, 0.5)
            return [ToInstance(work.entry, refusal)]
        return []

    # Time

    def advance(self, now: float, wall: float) -> list[InstanceAction]:
        """Run all timers; to be called every few tens of milliseconds."""
        steps: list[_Step] = []
        steps += self.entry.advance(now)
        steps += self.upstream_updates.advance(now)
        steps += self.membership.advance(now)
        ended, sent = self.client.advance(now)
        steps += self._handle_ended_proposals(ended)
        steps += sent
        if self._is_due("renew", RENEW_INTERVAL_S, now):
            steps += self.entry.renew(now)
        if self._is_due("usage", USAGE_INTERVAL_S, now):
            steps += self.usage.build_reports(now)
        steps += self._request_updates(now)
        self._advance_control(now, wall)
        steps += self._plan_orders(now)
        return self._run(steps, now, wall)

    def _is_due(self, name: str, period: float, now: float) -> bool:
        if now < self._due_times.get(name, 0.0):
            return False
        self._due_times[name] = now + period
        return True

    # Control

    def finish_control(
        self, ready: Ready, now: float, wall: float
    ) -> list[InstanceAction]:
        """Apply and send ``ready`` after its writes became durable."""
        assert self.control is not None
        steps: list[_Step] = list(self.control.finish(ready, now))
        state = self.control.state
        published = Published(state.configuration, WholeList(state.instances))
        steps += self._apply_published(published, now)
        return self._run(steps, now, wall)

    def _advance_control(self, now: float, wall: float) -> None:
        if self.control is None:
            return
        self.control.advance(now)
        if not self.control.is_list_due(now):
            return
        live = self.membership.list_live()
        if self.settings.peers and now - self._started < LIST_GRACE_S:
            listed = {item.instance for item in live}
            kept = self.control.state.instances.instances
            live += [item for item in kept if item.instance not in listed]
        self.control.set_live_instances(live, now, wall)

    def _plan_orders(self, now: float) -> list[_Step]:
        if self.control is None:
            return []
        replica = self.control.replica
        term = replica.term if replica.is_leader else None
        configuration = self.control.state.configuration.configuration
        return list(self._planner.advance(configuration, self.catalog, term, now))

    def _request_updates(self, now: float) -> list[_Step]:
        steps: list[_Step] = []
        if not self.is_fresh and self._barrier is None:
            name, sent = self.client.submit(
                Barrier(), BARRIER_TIMEOUT_S, now, salt=str(self.incarnation)
            )
            self._barrier = name
            steps += sent
        own = (self.configuration.version, self.instances.epoch)
        newest = self.membership.newest_versions
        needs_more = newest[0] > own[0] or newest[1] > own[1] or not self.is_fresh
        if needs_more and self._is_due("fetch", FETCH_INTERVAL_S, now):
            steps += self._request_state(self.membership.newest_sender)
        elif self._is_due("refresh", REFRESH_INTERVAL_S, now):
            steps += self._request_state(None)
        if not self.upstream_updates.has_catalog and self._is_due(
            "catalog", FETCH_INTERVAL_S, now
        ):
            steps += self._request_catalog()
        elif self.upstream_updates.has_catalog and self._is_due(
            "compare", COMPARE_INTERVAL_S, now
        ):
            steps += self._request_catalog_comparison()
        return steps

    def _request_state(self, instance: InstanceId | None) -> list[_Step]:
        if self.control is not None:
            return []
        fetch = Fetch(self.configuration.version, self.instances.epoch)
        targets = set(self._control_names[: 1 + len(self._control_names) // 2])
        if instance is not None:
            targets.add(instance)
        self._control_names = self._control_names[1:] + self._control_names[:1]
        return [ToInstance(target, fetch) for target in sorted(targets)]

    def _request_catalog(self) -> list[_Step]:
        for known in self.membership.list_known():
            if known.rank is MemberRank.ALIVE:
                return [ToInstance(known.listed.instance, FetchCatalog())]
        return []

    def _request_catalog_comparison(self) -> list[_Step]:
        """Ask the next live instance for its catalog, if it differs from this one's."""
        live = self.membership.list_live()
        others = [one.instance for one in live if one.instance != self.me]
        if not others:
            return []
        self._compare_index += 1
        target = others[self._compare_index % len(others)]
        return [ToInstance(target, FetchCatalog(self.catalog.compute_checksum()))]

    def _reply_to_fetch(self, sender: InstanceId, fetch: Fetch) -> list[_Step]:
        published = build_published(
            fetch, self.configuration, self.instances, self._list_history
        )
        return [ToInstance(sender, published)] if published is not None else []

    def _handle_ended_proposals(self, ended: list[ProposalOutcome]) -> list[_Step]:
        steps: list[_Step] = []
        for outcome in ended:
            if outcome.proposal != self._barrier:
                steps.append(outcome)
                continue
            self._barrier = None
            if isinstance(outcome.result, Done):
                self._required_versions = outcome.result
                self._update_freshness()
        return steps

    def _apply_published(self, published: Published, now: float) -> list[_Step]:
        configuration = published.configuration
        if configuration and configuration.version > self.configuration.version:
            self._apply_configuration(configuration)
        steps: list[_Step] = []
        listed = None
        if published.instances is not None:
            listed = apply_list_update(published.instances, self.instances)
        if listed is not None:
            if not self.instances.instances:
                self.upstream_updates.spread_again()
            self.instances = listed
            self._list_history.put(listed)
            steps += self._apply_instance_list(now)
        self.membership.record_own_versions(
            self.configuration.version, self.instances.epoch
        )
        self._update_freshness()
        return steps

    def _apply_configuration(self, accepted: AcceptedConfiguration) -> None:
        self.configuration = accepted
        configuration = accepted.configuration
        self._models = {model.model: model for model in configuration.models}
        self._services = {item.service: item for item in configuration.services}
        self.admission.set_limits(
            {c.customer: c.limits for c in configuration.customers}
        )
        self.owners.shares.set_weights(
            {
                c.customer: c.weight * PRIORITY_FACTOR**c.priority
                for c in configuration.customers
            }
        )
        logger.info("configuration in force", version=accepted.version)

    def _apply_instance_list(self, now: float) -> list[_Step]:
        listed = self.instances
        self.admission.instance_count = max(1, len(listed.instances))
        self.catalog.set_local_availability_zones(
            {
                item.availability_zone
                for item in listed.instances
                if item.region == self.settings.region
            }
        )
        for item in listed.instances:
            self.membership.apply_member(item, MemberRank.ALIVE, now)
        self.usage.set_instances([item.instance for item in listed.instances])
        change = self.owners.set_instances(listed, now)
        steps: list[_Step] = [*change.handovers, *change.refusals]
        steps += self.entry.handle_owner_changed(change.upstreams, now)
        return steps

    def _update_freshness(self) -> None:
        if self.is_fresh or self._barrier is not None:
            return
        required = self._required_versions
        has_all = (
            self.configuration.version >= required.version
            and self.instances.epoch >= required.epoch
        )
        if has_all and self.instances.epoch > 0:
            self.is_fresh = True
            logger.info("configuration is fresh", version=self.configuration.version)

    # Running actions

    def _run(
        self, steps: Sequence[_Step], now: float, wall: float = 0.0
    ) -> list[InstanceAction]:
        """Handle the steps addressed to this instance; return the remaining actions."""
        remaining: list[InstanceAction] = []
        queue: deque[_Step] = deque(steps)
        while queue:
            step = queue.popleft()
            match step:
                case ToOwner(upstream, message):
                    owner = self.owners.find_owner(upstream)
                    if owner is not None:
                        queue.appendleft(ToInstance(owner, message))
                case ToEntry(entry, reply):
                    queue.appendleft(ToInstance(entry, reply))
                case Submission(to, proposal):
                    queue.appendleft(ToInstance(to, proposal))
                case ToInstance(instance, inner) if instance == self.me:
                    follow_ups = self._dispatch(self.me, inner, now, wall)
                    queue.extendleft(reversed(follow_ups))
                case _:
                    remaining.append(step)
        return remaining


_Step = InstanceAction | EntryAction | OwnerAction | Submission
