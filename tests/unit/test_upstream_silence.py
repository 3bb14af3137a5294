"""A silent upstream ends no request that nobody else may run.

Guards against callers of a paused upstream getting an error while it goes on.
"""

import socket

import pytest

from scalebend.core.entry import MAX_ATTEMPTS
from scalebend.core.flow import AbortAttempt, Conclude, Interrupted
from scalebend.edges.gateway.upstream_client import (
    PROBE_AFTER_S,
    _build_probed_socket,
)
from scalebend.exceptions import Ran
from tests.lib.builders import build_request
from tests.unit.test_entry import (
    build_entry,
    find_action,
    grant_next,
    list_reserved,
    start_request,
)


def lose(entry, upstream, now):
    """Handle that the upstream announces nothing any more."""
    entry.catalog.remove(upstream)
    return entry.handle_upstream_gone(upstream, now)


def test_request_that_may_run_elsewhere_is_sent_again():
    entry = build_entry(2)
    work, _ = start_request(entry, build_request("r", content="cause"))
    actions = lose(entry, work.upstream, 3.0)
    assert find_action(actions, AbortAttempt)
    actions += entry.advance(4.0)
    (again,) = list_reserved(actions)
    assert again.upstream != work.upstream
    assert not entry.crashes.ledger.is_suspect("cause")


@pytest.mark.parametrize(
    ("engines", "is_idempotent", "has_delivered"),
    [(2, False, False), (2, True, True), (1, True, False)],
    ids=["runs once", "delivered", "no other"],
)
def test_other_requests_are_waited_for(engines, is_idempotent, has_delivered):
    entry = build_entry(engines)
    work, _ = start_request(entry, build_request("r", is_idempotent=is_idempotent))
    if not is_idempotent:
        entry.handle_claim("r", None, 0.0)
    if has_delivered:
        entry.handle_started(work.attempt, 0.1)
    assert lose(entry, work.upstream, 3.0) + entry.advance(5.0) == []
    # Its connection ends: then the upstream is lost, too.
    actions = entry.handle_result(work.attempt, Interrupted("lost"), 6.0)
    actions += entry.advance(7.0)
    assert find_action(actions, Conclude).error.ran is not Ran.NO


def test_last_attempt_is_waited_for():
    entry = build_entry(MAX_ATTEMPTS + 1)
    work, _ = start_request(entry, build_request("r"))
    for tries in range(1, MAX_ATTEMPTS):
        actions = lose(entry, work.upstream, float(tries))
        actions += entry.advance(tries + 0.9)
        work, _ = grant_next(entry, actions, tries + 0.9)
    assert lose(entry, work.upstream, 8.0) + entry.advance(9.0) == []


def test_silent_connections_to_upstreams_are_probed():
    """Guards against waiting until the deadline for a machine that lost power."""
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with _build_probed_socket(address) as sock:
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == PROBE_AFTER_S
