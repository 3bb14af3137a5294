"""Admission control: fleet-wide limits of each customer.

Each instance enforces an equal share of a customer's rate limits, since the platform's
load balancer spreads callers evenly. The concurrency limit also counts the open
requests that other instances reported.
"""

from __future__ import annotations

import msgspec

from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.configuration import CustomerLimits
from scalebend.models.ids import CustomerId, RequestId

BURST_S = 2.0
"""Burst size: a rate limit's amount for this time may be used at once."""


class _Bucket(msgspec.Struct):
    """Token bucket; its level may become negative by one request."""

    level: float
    updated_at: float

    def refill(self, rate: float, now: float) -> None:
        """Add the amount accrued since the last call, at ``rate`` per second."""
        elapsed = max(0.0, now - self.updated_at)
        self.level = min(rate * BURST_S, self.level + elapsed * rate)
        self.updated_at = max(self.updated_at, now)


class _CustomerState(msgspec.Struct):
    open: dict[RequestId, int]
    requests: _Bucket | None = None
    tokens: _Bucket | None = None
    open_elsewhere: int = 0


class AdmissionControl:
    """Request rate, token rate and concurrency limits at one instance.

    ``instance_count`` is the number of instances among which rate limits are divided.
    """

    def __init__(self) -> None:
        self.instance_count = 1
        self._limits: dict[CustomerId, CustomerLimits] = {}
        self._states: dict[CustomerId, _CustomerState] = {}

    def set_limits(self, limits: dict[CustomerId, CustomerLimits]) -> None:
        """Replace the limits of all customers; open requests remain counted."""
        self._limits = limits
        for customer in [c for c in self._states if c not in limits]:
            if not self._states[customer].open:
                del self._states[customer]

    def set_open_elsewhere(self, customer: CustomerId, others: int) -> None:
        """Set the customer's open requests at other instances, as last reported."""
        self._get_state(customer).open_elsewhere = others

    def count_open(self, customer: CustomerId) -> int:
        """Return the number of the customer's open requests at this instance."""
        state = self._states.get(customer)
        return len(state.open) if state else 0

    def count_open_by_customer(self) -> dict[CustomerId, int]:
        """Return the open requests at this instance by customer, without zeros."""
        return {
            customer: len(state.open)
            for customer, state in self._states.items()
            if state.open
        }

    def admit(
        self, request: RequestId, customer: CustomerId, tokens: int, now: float
    ) -> None:
        """Admit and count the request; raises :class:`RefusedError` over a limit."""
        limits = self._limits.get(customer, CustomerLimits())
        state = self._get_state(customer)
        self._check_concurrency(limits, state)
        requests = self._refill(state.requests, limits.requests_per_second, now)
        tokens_bucket = self._refill(state.tokens, limits.tokens_per_second, now)
        self._check_bucket(requests, limits.requests_per_second, "requests a second")
        self._check_bucket(tokens_bucket, limits.tokens_per_second, "tokens a second")
        if requests is not None:
            requests.level -= 1.0
        if tokens_bucket is not None:
            tokens_bucket.level -= tokens
        state.requests = requests
        state.tokens = tokens_bucket
        state.open[request] = tokens

    def finish(self, request: RequestId, customer: CustomerId) -> None:
        """Stop counting the request; a repeated call does nothing."""
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
        if len(state.open) + state.open_elsewhere >= limits.concurrency:
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
        share = rate / self.instance_count
        if bucket is None:
            return _Bucket(level=share * BURST_S, updated_at=now)
        bucket.refill(share, now)
        return bucket

    def _check_bucket(
        self, bucket: _Bucket | None, rate: float | None, unit: str
    ) -> None:
        if bucket is None or rate is None or bucket.level > 0.0:
            return
        retry_after = (1.0 - bucket.level) / (rate / self.instance_count)
        raise RefusedError(
            f"the limit of {rate:g} {unit} is reached",
            kind=ErrorKind.CUSTOMER_LIMIT,
            retry_after=retry_after,
        )
