"""Counters and latency histograms in the Prometheus text format.

``prometheus_client`` rather than ``statsd``: the users scrape metrics over HTTP and run
no collector for datagrams.
"""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from scalebend.models.tunnels import TunnelReply

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0)
"""Bounds in seconds; they include the latency targets of the deployments."""


class GatewayMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        registry = self._registry
        self._requests = Counter(
            "scalebend_requests",
            "Answered requests by route kind and status",
            ["kind", "status"],
            registry=registry,
        )
        self._attempts = Counter(
            "scalebend_attempts",
            "Attempts at upstreams by outcome",
            ["outcome"],
            registry=registry,
        )
        self._placements = Counter(
            "scalebend_placements",
            "Placements on engines by who decided",
            ["decider"],
            registry=registry,
        )
        self._queued_requests = Counter(
            "scalebend_queued_requests",
            "Requests that waited at the leader, by how the wait ended",
            ["outcome"],
            registry=registry,
        )
        self._waiting_requests = Gauge(
            "scalebend_waiting_requests",
            "Requests that wait at this process while it leads",
            registry=registry,
        )
        self._first_event = Histogram(
            "scalebend_first_event_seconds",
            "Time to the first event of a stream, by prompt size",
            ["size"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._duration = Histogram(
            "scalebend_request_seconds",
            "Time to the end of the answer, by route kind",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._silences = Counter(
            "scalebend_upstream_silences",
            "Suspicious silences of upstreams, by whether they accept connections",
            ["reachability", "follow_up"],
            registry=registry,
        )
        self._unanswered_requests = Counter(
            "scalebend_unanswered_requests",
            "Requests without a response, by who ended them",
            ["ended_by"],
            registry=registry,
        )
        self._stopped_requests = Counter(
            "scalebend_stopped_requests",
            "Requests that this front ended because it stopped, by their outcome",
            ["outcome"],
            registry=registry,
        )
        self._lost_requests = Counter(
            "scalebend_lost_requests",
            "Attempts that an upstream cut off, or that ended with it",
            registry=registry,
        )
        self._quarantined_requests = Counter(
            "scalebend_held_requests",
            "Arrivals refused since upstreams ended under the same request",
            registry=registry,
        )
        self._rate_limited_upstreams = Gauge(
            "scalebend_limited_upstreams",
            "Upstreams that take only so many requests a second, as known here",
            registry=registry,
        )
        self._rate_limited_attempts = Counter(
            "scalebend_limited_attempts",
            "Attempts at such upstreams, by whether the request was sent before",
            ["attempt"],
            registry=registry,
        )
        self._rate_limit_rejections = Counter(
            "scalebend_limit_refusals",
            "Requests refused since limited upstreams alone were left, without room",
            registry=registry,
        )
        self._cold_upstreams = Gauge(
            "scalebend_cold_upstreams",
            "Upstreams of services with slow start that are cold, as known here",
            registry=registry,
        )
        self._cold_attempts = Counter(
            "scalebend_cold_attempts",
            "Attempts at such upstreams while they were known to be cold",
            registry=registry,
        )
        self._permit_renewals = Counter(
            "scalebend_permit_renewals",
            "Send permits asked anew for prompts sent later than planned, by outcome",
            ["outcome"],
            registry=registry,
        )
        self._backoffs = Counter(
            "scalebend_backoffs",
            "Answers with which upstreams asked for a pause",
            registry=registry,
        )
        self._backoff_rejections = Counter(
            "scalebend_backoff_refusals",
            "Requests refused since all upstreams had asked for a pause",
            registry=registry,
        )
        self._unknown_headers = Counter(
            "scalebend_unknown_words",
            "Answers with a header by which an upstream says what nothing here reads",
            ["name"],
            registry=registry,
        )
        self._stalls = Counter(
            "scalebend_event_loop_stalls",
            "Stalls of the event loop, after which timers waited for unread data",
            registry=registry,
        )
        self._link_starts = Counter(
            "scalebend_link_starts",
            "Links to or from other processes that came up",
            registry=registry,
        )
        self._unstable_links = Counter(
            "scalebend_unstable_links",
            "Times that one peer's links came up more often than is usual",
            registry=registry,
        )
        self._prompts_without_room = Counter(
            "scalebend_prompts_without_room",
            "Prompts without room at the leader, by what became of them",
            ["outcome"],
            registry=registry,
        )
        self._path_losses = Counter(
            "scalebend_path_losses",
            "Pieces of data on connections to upstreams that were lost first",
            registry=registry,
        )
        self._degraded_paths = Gauge(
            "scalebend_degraded_paths",
            "Paths between zones that are avoided or on trial, as known here",
            registry=registry,
        )
        self._isolated = Gauge(
            "scalebend_isolated",
            "Whether this front knows no direct way to any upstream",
            registry=registry,
        )
        self._tunnels_used = Counter(
            "scalebend_tunnels_used",
            "Tunnels that this front asked peers for, by their replies",
            ["reply"],
            registry=registry,
        )
        self._abandoned_connections = Counter(
            "scalebend_abandoned_connections",
            "Connections to upstreams given up because their path was lost",
            registry=registry,
        )
        self._tunnels_served = Counter(
            "scalebend_tunnels_served",
            "Tunnels that other fronts asked this one for, by its replies",
            ["reply"],
            registry=registry,
        )
        self._open_tunnels = Gauge(
            "scalebend_open_tunnels",
            "Connections of other fronts that want or have a tunnel here",
            registry=registry,
        )
        self._overdue_first_tokens = Counter(
            "scalebend_overdue_first_tokens",
            "First tokens that were overdue, by what followed",
            ["decision"],
            registry=registry,
        )
        self._second_attempts = Counter(
            "scalebend_second_attempts",
            "Second attempts that were sent, by the attempt that was forwarded",
            ["forwarded"],
            registry=registry,
        )
        self._engine_priorities = Counter(
            "scalebend_engine_priorities",
            "Attempts at engines by the priority sent to them, 0 first",
            ["priority"],
            registry=registry,
        )
        self._open_requests = Gauge(
            "scalebend_open_requests", "Requests not answered yet", registry=registry
        )

        self._evacuated_zones = Gauge(
            "scalebend_evacuated_zones",
            "Availability zones whose upstreams get nothing new from this process",
            registry=registry,
        )
        self._evacuation_revision = Gauge(
            "scalebend_evacuation_revision",
            "Number of the last change of these zones that this process applied",
            registry=registry,
        )
        self._evacuation_orders = Counter(
            "scalebend_evacuation_orders",
            "Orders of operators at the leader, by outcome",
            ["order", "outcome"],
            registry=registry,
        )
        self._evacuation_refusals = Counter(
            "scalebend_evacuation_refusals",
            "Requests refused since all upstreams are in evacuated zones",
            registry=registry,
        )

    def count_request(self, kind: str, status: int, duration: float) -> None:
        """Count a completed request that took ``duration`` seconds."""
        self._requests.labels(kind, str(status)).inc()
        self._duration.labels(kind).observe(duration)

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt at an upstream by its outcome."""
        self._attempts.labels(outcome).inc()

    def count_placement(self, decider: str) -> None:
        """Count a placement on engines by who decided."""
        self._placements.labels(decider).inc()

    def count_queued_request(self, outcome: str) -> None:
        """Count a request that waited at the leader without a planned start."""
        self._queued_requests.labels(outcome).inc()

    def set_waiting_requests(self, count: int) -> None:
        """Set the number of requests that wait here."""
        self._waiting_requests.set(count)

    def count_silence(self, reachability: str, follow_up: str) -> None:
        """Count a suspicious silence and what followed it."""
        self._silences.labels(reachability, follow_up).inc()

    def count_unanswered_request(self, *, has_caller_left: bool) -> None:
        """Count a request that ended without a response."""
        ended_by = "caller" if has_caller_left else "front"
        self._unanswered_requests.labels(ended_by).inc()

    def count_stopped_request(self, outcome: str) -> None:
        """Count a request that this front ended because it stopped."""
        self._stopped_requests.labels(outcome).inc()

    def count_lost_request(self) -> None:
        """Count an attempt whose upstream crashed or broke the connection."""
        self._lost_requests.inc()

    def count_quarantined_request(self) -> None:
        """Count a request that was refused because it is in quarantine."""
        self._quarantined_requests.inc()

    def set_rate_limited_upstreams(self, count: int) -> None:
        """Set the number of rate-limited upstreams."""
        self._rate_limited_upstreams.set(count)

    def count_rate_limited_attempt(self, *, is_first: bool) -> None:
        """Count an attempt at a rate-limited upstream."""
        self._rate_limited_attempts.labels("first" if is_first else "again").inc()

    def count_engine_priority(self, priority: int) -> None:
        """Count an attempt at engines by its priority there."""
        self._engine_priorities.labels(str(priority)).inc()

    def count_rate_limit_rejection(self) -> None:
        """Count a request for which only exhausted rate-limited upstreams were left."""
        self._rate_limit_rejections.inc()

    def set_cold_upstreams(self, count: int) -> None:
        """Set the number of upstreams that are known to be cold."""
        self._cold_upstreams.set(count)

    def count_cold_attempt(self) -> None:
        """Count an attempt at an upstream that is known to be cold."""
        self._cold_attempts.inc()

    def count_permit_renewal(self, *, is_granted: bool) -> None:
        """Count a request for another permit by its outcome."""
        self._permit_renewals.labels("granted" if is_granted else "refused").inc()

    def count_backoff(self) -> None:
        """Count a rejection with which an upstream requested backoff."""
        self._backoffs.inc()

    def count_backoff_rejection(self) -> None:
        """Count a request for which all upstreams were in backoff."""
        self._backoff_rejections.inc()

    def count_unknown_header(self, name: str) -> None:
        """Count a response with an unknown header of the upstreams' namespace."""
        self._unknown_headers.labels(name).inc()

    def count_stall(self) -> None:
        """Count a stall of the event loop."""
        self._stalls.inc()

    def count_link_start(self) -> None:
        """Count a link that came up."""
        self._link_starts.inc()

    def count_unstable_link(self) -> None:
        """Count a peer whose links repeatedly end and come back."""
        self._unstable_links.inc()

    def count_prompt_without_room(self, outcome: str) -> None:
        """Count a prompt that had no room when the leader was asked."""
        self._prompts_without_room.labels(outcome).inc()

    def set_evacuations(self, zones: int, revision: int) -> None:
        """Set the number of evacuated zones and the revision in force."""
        self._evacuated_zones.set(zones)
        self._evacuation_revision.set(revision)

    def count_evacuation_order(self, order: str, outcome: str) -> None:
        """Count an operator's order by its outcome."""
        self._evacuation_orders.labels(order, outcome).inc()

    def count_evacuation_refusal(self) -> None:
        """Count a request whose service has upstreams in evacuated zones alone."""
        self._evacuation_refusals.inc()

    def count_path_losses(self, count: int) -> None:
        """Count pieces of data that were lost and sent again."""
        self._path_losses.inc(count)

    def set_degraded_paths(self, count: int) -> None:
        """Set the number of paths between zones that are not healthy."""
        self._degraded_paths.set(count)

    def set_isolated(self, *, is_isolated: bool) -> None:
        """Set whether this front knows no direct way to any upstream."""
        self._isolated.set(is_isolated)

    def count_tunnel_used(self, reply: TunnelReply | None) -> None:
        """Count the reply of a peer; ``None`` if there was none."""
        self._tunnels_used.labels("none" if reply is None else reply.value).inc()

    def count_tunnel_served(self, reply: TunnelReply) -> None:
        """Count a reply to another front."""
        self._tunnels_served.labels(reply.value).inc()

    def count_abandoned(self, connections: int) -> None:
        """Count connections to upstreams that were given up with their path."""
        self._abandoned_connections.inc(connections)

    def set_open_tunnels(self, count: int) -> None:
        """Set the number of connections of other fronts."""
        self._open_tunnels.set(count)

    def observe_first_event(self, prompt_tokens: int, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_event.labels(_name_size(prompt_tokens)).observe(seconds)

    def count_overdue_first_token(self, decision: str) -> None:
        """Count an overdue first token by the decision on a second attempt."""
        self._overdue_first_tokens.labels(decision).inc()

    def count_second_attempt(self, forwarded: str) -> None:
        """Count a second attempt by the one that was forwarded."""
        self._second_attempts.labels(forwarded).inc()

    def set_open_requests(self, count: int) -> None:
        """Set the number of requests in progress."""
        self._open_requests.set(count)

    def render(self) -> bytes:
        """Return the metrics in the text format."""
        return generate_latest(self._registry)


def _name_size(tokens: int) -> str:
    for bound, name in ((10_000, "10k"), (100_000, "100k"), (300_000, "300k")):
        if tokens <= bound:
            return name
    return "more"
