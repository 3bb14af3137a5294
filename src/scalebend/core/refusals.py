"""Decides what a caller is told whose request no replica takes."""

from __future__ import annotations

from scalebend.core.catalog import Catalog
from scalebend.core.placement import MAX_GROUP_REPLICAS, Placement
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.work import Refusal, RefusalReason, Request

_REFUSAL_KINDS = {
    RefusalReason.TOO_LARGE: ErrorKind.PROMPT_TOO_LONG,
    RefusalReason.TOO_LATE: ErrorKind.OVERLOADED,
    RefusalReason.DRAINING: ErrorKind.NO_UPSTREAM,
    RefusalReason.NOT_OWNER: ErrorKind.NO_UPSTREAM,
}


def explain_refusal(refusal: Refusal) -> RefusedError:
    """Build the error for an owner's refusal, should no other replica take the work."""
    return RefusedError(
        f"{refusal.upstream} refused the request: {refusal.reason.value}",
        kind=_REFUSAL_KINDS[refusal.reason],
        retry_after=max(1.0, refusal.retry_after),
    )


def explain_unroutable(
    request: Request, catalog: Catalog, placement: Placement, now: float
) -> RefusedError:
    """Build the error for a request that was tried nowhere and cannot be placed."""
    serving = catalog.list_candidates(request, set())
    backoff = placement.compute_backoff(request, now)
    if backoff > 0.0:
        return RefusedError(
            "all upstreams that serve this request are in backoff",
            kind=ErrorKind.OVERLOADED,
            retry_after=backoff,
        )
    if serving and request.model is not None:
        return RefusedError(
            f"{request.memory_tokens} tokens do not fit into "
            f"{MAX_GROUP_REPLICAS} engines",
            kind=ErrorKind.PROMPT_TOO_LONG,
        )
    return RefusedError(
        "no upstream serves this request now",
        kind=ErrorKind.NO_UPSTREAM,
        retry_after=1.0,
    )
