"""Ledger of requests that were not served in time, by route, arrival time and reason.

It is built from the structured logs of fronts, from the events ``engines chosen``,
``engines declined``, ``all upstreams asked for a pause``, ``attempt ended``, ``caller
left`` and ``request answered``. A line may have a prefix, such as the name of a
process. Times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from enum import Enum
from typing import Any

import msgspec

LONG_WAIT_SHARE = 0.5
"""Share of the target from which a wait for the planned start is the reason."""

SLOW_FACTOR = 1.5
"""Multiple of the predicted time to first event that makes the replica the reason."""


class Reason(Enum):
    """Why a request was not served in time."""

    REJECTED = "refused: no place in time"
    REJECTED_BY_REPLICAS = "refused: replicas turned it away"
    ALL_IN_BACKOFF = "refused: all replicas asked for a pause"
    NOT_READY = "refused: no lease or stopping"
    CALLER_DISCONNECTED = "caller left or its connection was lost"
    ENDED_BY_FRONT = "front ended it without a response"
    REPLICA_FAILED = "replicas failed it"
    REPLICA_LOST = "placed again after an attempt was lost"
    TIMED_OUT = "time limit reached"
    QUEUED = "waited for its turn"
    NO_LEADER = "placed without the leader"
    REPLICA_SLOW = "replica slower than predicted"
    LATE = "late as predicted"
    STALLED = "pause between events"
    UNKNOWN = "no reason in the log"


class LoggedRequest(msgspec.Struct):
    """One request of a caller as the log describes it."""

    request: str
    at: float
    route: str | None = None
    status: int | None = None
    kind: str | None = None
    elapsed: float = 0.0
    target: float | None = None
    event_gap: float | None = None
    first_event: float | None = None
    longest_gap: float = 0.0
    predicted: float | None = None
    start_in: float = 0.0
    had_leader: bool = True
    was_declined: bool = False
    met_backoff: bool = False
    """Whether all remaining upstreams were in backoff."""

    has_disconnected: bool = False
    was_ended_by_front: bool = False
    outcomes: list[str] = msgspec.field(default_factory=list)


class LedgerRow(msgspec.Struct, frozen=True):
    """Number of requests of one route that were not served in time for one reason."""

    route: str
    reason: str
    count: int


class WindowRow(msgspec.Struct, frozen=True):
    """Requests that arrived in one window, and how many were not served in time."""

    start: float
    requests: int
    lost: int
    main_reason: str


class Ledger(msgspec.Struct, frozen=True):
    """All losses; the counts of ``rows`` and of ``windows`` each sum up to ``lost``."""

    requests: int
    lost: int
    rows: list[LedgerRow]
    windows: list[WindowRow]
    cut_short: int = 0
    """Requests that no other count includes.

    The time limit of their route ended them, and it is below the target of the route or
    ended all its requests. Routing documents have such routes to test time limits; an
    outage of a route appears here as well.
    """


def read_requests(lines: Iterable[str]) -> list[LoggedRequest]:
    """Return the requests in log lines, in the order of their first line."""
    requests: dict[str, LoggedRequest] = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"request"' not in line:
            continue
        try:
            event = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # A crash may truncate a line.
            continue
        _apply_event(requests, event)
    return list(requests.values())


def _apply_event(requests: dict[str, LoggedRequest], event: dict[str, Any]) -> None:
    name = event.get("request")
    if not name:
        return
    at = datetime.fromisoformat(event["timestamp"]).timestamp()
    seen = requests.setdefault(name, LoggedRequest(name, at))
    match event["event"]:
        case "engines chosen":
            seen.predicted = event["predicted"]
            seen.start_in = event["start_in"]
            seen.had_leader = event["leader"] is not None
        case "engines declined":
            seen.was_declined = True
        case "all upstreams asked for a pause":
            seen.met_backoff = True
        case "attempt ended":
            seen.outcomes.append(event["outcome"])
        case "second attempt ended" if event.get("silent"):
            if event["forwarded"] == "second":
                seen.outcomes.append("silent")
        case "request ended without a response":
            seen.was_ended_by_front = True
        case "caller left":
            seen.has_disconnected = True
        case "request answered":
            for field in ("route", "status", "kind", "elapsed", "target", "event_gap"):
                setattr(seen, field, event.get(field))
            seen.first_event = event.get("first_event")
            seen.longest_gap = event.get("longest_gap", 0.0)
            seen.at = at - (seen.elapsed or 0.0)


def find_reason(seen: LoggedRequest) -> Reason | None:
    """Return why a request was not served in time; ``None`` if it was."""
    if seen.was_ended_by_front:
        return Reason.ENDED_BY_FRONT
    if seen.has_disconnected or seen.status is None:
        return Reason.CALLER_DISCONNECTED
    if seen.status >= 400 or seen.status == 0:
        return _find_failure_reason(seen)
    first = seen.first_event if seen.first_event is not None else seen.elapsed
    if seen.target is not None and first > seen.target:
        return _find_delay_reason(seen, first)
    if seen.event_gap is not None and seen.longest_gap > seen.event_gap:
        return Reason.REPLICA_LOST if seen.outcomes else Reason.STALLED
    return None


def _find_failure_reason(seen: LoggedRequest) -> Reason:
    match seen.kind:
        case "not-ready":
            return Reason.NOT_READY
        case "overloaded" | "no-upstream":
            return _find_rejection_reason(seen)
        case "time-limit":
            return Reason.TIMED_OUT
    if seen.outcomes or seen.status == 0:
        return Reason.REPLICA_FAILED
    return Reason.UNKNOWN


def _find_rejection_reason(seen: LoggedRequest) -> Reason:
    if seen.met_backoff:
        return Reason.ALL_IN_BACKOFF
    if "rejected" in seen.outcomes and not seen.was_declined:
        return Reason.REJECTED_BY_REPLICAS
    return Reason.REJECTED


def _find_delay_reason(seen: LoggedRequest, first: float) -> Reason:
    if seen.outcomes:
        return Reason.REPLICA_LOST
    if seen.predicted is None or seen.target is None:
        return Reason.REPLICA_SLOW
    if not seen.had_leader:
        return Reason.NO_LEADER
    if first > SLOW_FACTOR * seen.predicted:
        return Reason.REPLICA_SLOW
    if seen.start_in > LONG_WAIT_SHARE * seen.target:
        return Reason.QUEUED
    return Reason.LATE


def _has_reached_time_limit(seen: LoggedRequest) -> bool:
    return seen.kind == "time-limit" and not seen.has_disconnected


def _is_cut_short(seen: LoggedRequest, ended_routes: set[str | None]) -> bool:
    if not _has_reached_time_limit(seen):
        return False
    is_below_target = seen.target is not None and seen.elapsed < seen.target
    return is_below_target or seen.route not in ended_routes


def build_ledger(requests: list[LoggedRequest], window: float) -> Ledger:
    """Count losses by route and reason, and by windows of ``window`` seconds."""
    # Unauthenticated requests and those to unknown routes do not count as lost.
    allowed = [one for one in requests if one.status not in (401, 404)]
    ended_routes = {one.route for one in allowed if not _has_reached_time_limit(one)}
    counted = [one for one in allowed if not _is_cut_short(one, ended_routes)]
    cut_short = len(allowed) - len(counted)
    if not counted:
        return Ledger(0, 0, [], [], cut_short)
    begin = min(one.at for one in counted)
    rows: Counter[tuple[str, Reason]] = Counter()
    windows: dict[int, Counter[Reason | None]] = {}
    for one in counted:
        reason = find_reason(one)
        windows.setdefault(int((one.at - begin) // window), Counter())[reason] += 1
        if reason is not None:
            rows[one.route or "-", reason] += 1
    return Ledger(
        requests=len(counted),
        lost=rows.total(),
        rows=[
            LedgerRow(route, reason.value, count)
            for (route, reason), count in rows.most_common()
        ],
        windows=[
            _build_window(number * window, counts)
            for number, counts in sorted(windows.items())
        ],
        cut_short=cut_short,
    )


def _build_window(start: float, counts: Counter[Reason | None]) -> WindowRow:
    served = counts.pop(None, 0)
    main = counts.most_common(1)
    return WindowRow(
        start=start,
        requests=served + counts.total(),
        lost=counts.total(),
        main_reason=main[0][0].value if main and main[0][0] is not None else "",
    )


def format_ledger(ledger: Ledger) -> str:
    """Format the ledger as text tables."""
    lines = [f"{ledger.requests} requests, {ledger.lost} not served in time"]
    if ledger.cut_short:
        lines.append(f"{ledger.cut_short} more cut short by their route's time limit")
    lines.append("")
    lines += [f"{row.count:>6}  {row.route:<12} {row.reason}" for row in ledger.rows]
    lines += ["", "from second  requests  lost  mostly"]
    lines += [
        f"{row.start:>11.0f}  {row.requests:>8}  {row.lost:>4}  {row.main_reason}"
        for row in ledger.windows
    ]
    return "\n".join(lines)
