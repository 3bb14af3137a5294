"""Cold replicas: what they may get, and which ones are known.

Answers the load of warm replicas when some of them turn cold, without notice or after a
start: a cold replica fails at well above the rate that its service states. Each replica
of a service with slow start therefore has a ceiling at all times. Which replicas are
known to be cold only decides who is preferred, because that is known late.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.send_budget import MIN_RATE_PER_S
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import ServiceName, UpstreamId
from scalebend.models.routing import Routing
from scalebend.models.slow_start import SlowStart

CEILING_PERMIT_LIFETIME_S = 0.15
"""Time after its planned start within which a permitted request is sent, or needs
another permit: a front that was suspended would send all that it held at once. The
leader's reply takes some of it; each tenth of a second costs a tenth of the rate."""

CEILING_BURST_S = 0.15
"""Burst after an idle time, in seconds of the granted rate and at least one request. It
is shorter than that of named limits, since it is taken from the same bound."""

MIN_GRANTED_SHARE = 1.0
"""Least share of the stated rate that the leader grants: warm replicas handle more than
cold ones, and are not to get less. What remains of the bound is for fronts without a
reply of the leader."""

MAX_UNCOORDINATED_SHARE = 0.4
"""Largest share of the bound that is left to fronts without a reply of the leader."""

COLD_MARGIN_S = 1.2
"""Time beyond that of its service for which a stated cold time counts: a replica may
say it with a registration that is late by a heartbeat."""

COLD_LIST_S = 0.05
"""Time for which a list of cold replicas is used: after a power loss it names all, and
each placement asks for it."""


class Ceiling(msgspec.Struct, frozen=True):
    """What each replica of a service may get; rates are requests per second."""

    rate: float
    """Granted by the leader."""

    cold_rate: float
    """Granted by the leader while the replica is known to be cold."""

    uncoordinated_fronts: int
    """Fronts that may each send one request in :data:`UNCOORDINATED_INTERVAL_S` to it
    without the leader."""

    max_cold_s: float
    """Longest time in seconds for which a stated cold time counts."""


UNCOORDINATED_INTERVAL_S = 1.0 + CEILING_PERMIT_LIFETIME_S
"""Interval of uncoordinated sends of one front to one replica: sent as late as allowed,
two of them are still a second apart."""


def build_ceiling(slow_start: SlowStart, bounds: Bounds) -> Ceiling:
    """Divide the requests that may arrive in one second among leader and fronts."""
    allowed = math.floor(
        slow_start.rate * bounds.slow_start_excess + bounds.slow_start_slack
    )
    # Half of the fronts' part is for the moment at which their numbers change.
    most = math.floor(MAX_UNCOORDINATED_SHARE * allowed / 2.0)
    least_rate = MIN_GRANTED_SHARE * slow_start.rate
    uncoordinated = max(
        (n for n in range(most + 1) if _compute_rate(allowed - 2 * n) >= least_rate),
        default=min(1, most),
    )
    rate = max(MIN_RATE_PER_S, _compute_rate(allowed - 2 * uncoordinated))
    return Ceiling(
        rate,
        min(rate, slow_start.rate),
        uncoordinated,
        slow_start.cold_s + COLD_MARGIN_S,
    )


class SlowStarts:
    """Ceilings of the replicas of a routing document, as one process knows them."""

    def __init__(self, directory: EndpointDirectory, bounds: Bounds) -> None:
        self._directory = directory
        self._bounds = bounds
        self._ceilings: dict[ServiceName, Ceiling] = {}
        self._cold: tuple[UpstreamId, ...] = ()
        self._cold_listed_at = -math.inf
        self._longest_interval = 0.0

    def apply(self, routing: Routing) -> None:
        """Adopt the services of a routing document."""
        self._ceilings = {
            service.name: build_ceiling(service.slow_start, self._bounds)
            for service in routing.services
            if service.slow_start is not None
        }
        max_cold_s = {name: one.max_cold_s for name, one in self._ceilings.items()}
        self._directory.cold.set_services(max_cold_s)
        self._cold_listed_at = -math.inf
        self._longest_interval = max(
            (1.0 / one.cold_rate for one in self._ceilings.values()), default=0.0
        )

    def compute_longest_interval(self, service: ServiceName | None = None) -> float:
        """Longest interval in seconds of the leader's permits at one replica.

        That of a service; without one, the longest of all.
        """
        if service is None:
            return self._longest_interval
        ceiling = self._ceilings.get(service)
        return 1.0 / ceiling.cold_rate if ceiling is not None else 0.0

    @property
    def has_any(self) -> bool:
        """Whether any service has a slow start."""
        return bool(self._ceilings)

    def applies_to(self, service: ServiceName) -> bool:
        """Whether the replicas of a service have ceilings."""
        return service in self._ceilings

    def get(self, upstream: UpstreamId) -> Ceiling | None:
        """The ceiling of a replica; ``None`` without one."""
        if not self._ceilings:
            return None
        endpoint = self._directory.get(upstream)
        return self._ceilings.get(endpoint.service) if endpoint is not None else None

    def is_unknown(self, upstream: UpstreamId) -> bool:
        """Whether an upstream may have a ceiling that this process doesn't know."""
        return bool(self._ceilings) and self._directory.get(upstream) is None

    def is_cold(self, upstream: UpstreamId, now: float) -> bool:
        """Whether a replica is known to be cold."""
        ceiling = self.get(upstream)
        if ceiling is None:
            return False
        reports = self._directory.cold
        return reports.compute_remaining(upstream, now, ceiling.max_cold_s) > 0.0

    def list_cold(self, now: float) -> tuple[UpstreamId, ...]:
        """Replicas that are known to be cold, or were :data:`COLD_LIST_S` ago."""
        if not self._ceilings:
            return ()
        if now - self._cold_listed_at >= COLD_LIST_S:
            reported = self._directory.cold.list_reported()
            self._cold = tuple(one for one in reported if self.is_cold(one, now))
            self._cold_listed_at = now
        return self._cold


def _compute_rate(granted: int) -> float:
    """Rate at which no second gets more than ``granted`` requests.

    These are the permits of a second and of the lifetime of one, the burst, which is at
    least one request, and one more.
    """
    return min(
        (granted - 1) / (1.0 + CEILING_PERMIT_LIFETIME_S + CEILING_BURST_S),
        (granted - 2) / (1.0 + CEILING_PERMIT_LIFETIME_S),
    )


def build_no_slow_starts() -> SlowStarts:
    """Build ceilings of no replica at all."""
    return SlowStarts(EndpointDirectory(0.0), Bounds())
