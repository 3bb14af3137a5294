"""Admission of a request: the customer's limits over the whole fleet.

An instance enforces an equal part of a customer's rates (the platform's balancer
spreads callers evenly), and of its concurrency what the other instances have not
reported as used.
"""

from __future__ import annotations

import msgspec

from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.configuration import CustomerLimits
from scalebend.models.ids import CustomerId, RequestId

BURST = 2.0
"""Seconds of a rate limit that may be used at once."""


class _Bucket(msgspec.Struct):
    """Token bucket that may go into debt by one request."""

    level: float
    at: float

    def refill(self, rate: float, now: float) -> None:
        """Add what accrued since the last call."""
        elapsed = max(0.0, now - self.at)
        self.level = min(rate * BURST, self.level + elapsed * rate)
        self.at = max(self.at, now)


class _CustomerState(msgspec.Struct):
    open: dict[RequestId, int]
    requests: _Bucket | None = None
    tokens: _Bucket | None = None
    fleet_open: int = 0


class AdmissionControl:
    """Rate, token and concurrency limits of all customers at one instance.

    ``instances`` is how many instances admit requests now: each enforces its part.
    """

    def __init__(self) -> None:
        self.instances = 1
        self._limits: dict[CustomerId, CustomerLimits] = {}
        self._states: dict[CustomerId, _CustomerState] = {}

    def set_limits(self, limits: dict[CustomerId, CustomerLimits]) -> None:
        """Replace all limits; open requests stay counted."""
        self._limits = limits
        for customer in [c for c in self._states if c not in limits]:
            if not self._states[customer].open:
                del self._states[customer]

    def set_fleet_open(self, customer: CustomerId, others: int) -> None:
        """Open requests of the customer at other instances, as last reported."""
        self._get_state(customer).fleet_open = others

    def count_open(self, customer: CustomerId) -> int:
        """Open requests of the customer at this instance."""
        state = self._states.get(customer)
        return len(state.open) if state else 0

    def read_open(self) -> dict[CustomerId, int]:
        """Open requests of every customer that has any here."""
        return {
            customer: len(state.open)
            for customer, state in self._states.items()
            if state.open
        }

    def admit(
        self, request: RequestId, customer: CustomerId, tokens: int, now: float
    ) -> None:
        """Count the request in; raise :class:`RefusedError` over a limit."""
        limits = self._limits.get(customer, CustomerLimits())
        state = self._get_state(customer)
        self._check_concurrency(limits, state)
        requests = self._refill(state.requests, limits.requests_per_second, now)
        used = self._refill(state.tokens, limits.tokens_per_second, now)
        self._check_bucket(requests, limits.requests_per_second, "requests a second")
        self._check_bucket(used, limits.tokens_per_second, "tokens a second")
        if requests is not None:
            requests.level -= 1.0
        if used is not None:
            used.level -= tokens
        state.requests = requests
        state.tokens = used
        state.open[request] = tokens

    def finish(self, request: RequestId, customer: CustomerId) -> None:
        """Count the request out; doing so twice changes nothing."""
        state = self._states.get(customer)
        if state is not None:
            state.open.pop(request, None)

    def _get_state(self, customer: CustomerId) -> _CustomerState:
        state = self._states.get(customer)
        if state is None:
            state = self._states[customer] = _CustomerState(open={})
        return state

    def _check_concurrency(self, limits: CustomerLimits, state: _CustomerState) -> None:
        if limits.concurrency is None:
            return
        if len(state.open) + state.fleet_open >= limits.concurrency:
            raise RefusedError(
                f"{limits.concurrency} requests of this customer are open",
                kind=ErrorKind.CUSTOMER_LIMIT,
                retry_after=1.0,
            )

    def _refill(
        self, bucket: _Bucket | None, rate: float | None, now: float
    ) -> _Bucket | None:
        if rate is None:
            return None
        part = rate / self.instances
        if bucket is None:
            return _Bucket(level=part * BURST, at=now)
        bucket.refill(part, now)
        return bucket

    def _check_bucket(
        self, bucket: _Bucket | None, rate: float | None, unit: str
    ) -> None:
        if bucket is None or rate is None or bucket.level > 0.0:
            return
        retry_after = (1.0 - bucket.level) / (rate / self.instances)
        raise RefusedError(
            f"the limit of {rate:g} {unit} is reached",
            kind=ErrorKind.CUSTOMER_LIMIT,
            retry_after=retry_after,
        )
