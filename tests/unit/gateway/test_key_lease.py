from hypothesis import given, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.key_lease import LEASE_MARGIN_S, KeyLease
from scalebend.core.gateway.route_table import RouteTable
from scalebend.models.gateway_settings import Bounds
from tests.lib.gateway_builders import build_routing, build_settings

BOUND = 5.0


def test_nothing_is_admitted_before_the_first_confirmation():
    assert not KeyLease(BOUND).is_valid(0.0)


def test_reply_with_a_newer_version_does_not_extend_the_lease():
    lease = KeyLease(BOUND)
    assert not lease.confirm(1.0, newest=7, held=6)
    assert not lease.is_valid(1.0)
    assert lease.confirm(1.0, newest=7, held=7)
    assert lease.is_valid(1.0)


def test_lease_starts_at_the_request():
    lease = KeyLease(BOUND)
    lease.confirm(10.0, newest=1, held=1)
    assert lease.is_valid(10.0 + BOUND - LEASE_MARGIN_S - 0.01)
    assert not lease.is_valid(10.0 + BOUND - LEASE_MARGIN_S)


def test_late_reply_to_an_older_request_changes_nothing():
    lease = KeyLease(BOUND)
    lease.confirm(10.0, newest=1, held=1)
    lease.confirm(4.0, newest=1, held=1)
    assert lease.is_valid(14.0)


@given(
    request_times=st.lists(st.floats(0, 50), min_size=1, max_size=20),
    revoked_at=st.floats(0, 60),
    now=st.floats(0, 120),
)
def test_revoked_key_is_not_admitted_after_the_bound(request_times, revoked_at, now):
    # The leader's reply has the old version only before the revocation.
    lease = KeyLease(BOUND)
    for sent_at in request_times:
        lease.confirm(sent_at, newest=2 if sent_at >= revoked_at else 1, held=1)
    if now > revoked_at + BOUND:
        assert not lease.is_valid(now)


def test_early_reply_counts_once_its_document_arrives():
    lease = KeyLease(BOUND)
    lease.confirm(1.0, newest=7, held=0)
    lease.record_document(6)
    assert not lease.is_valid(1.5)
    lease.record_document(7)
    assert lease.is_valid(1.5)
    # The lease still starts at the request.
    assert not lease.is_valid(1.0 + BOUND - LEASE_MARGIN_S)


def test_document_of_an_earlier_reply_does_not_confirm_a_later_one():
    lease = KeyLease(BOUND)
    lease.confirm(1.0, newest=7, held=0)
    lease.confirm(2.0, newest=8, held=0)
    lease.record_document(7)
    assert not lease.is_valid(2.5)
    lease.record_document(8)
    assert lease.is_valid(2.0 + BOUND - LEASE_MARGIN_S - 0.01)


class CutOffFront(RuleBasedStateMachine):
    """Leases of a front that is linked to control or cut off, strict and not.

    A strict lease ends at the bound after the last moment at which the front was known
    to have the newest document; the other one lasts from the first confirmation on.
    Neither is valid before the first confirmation after a start.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.restart()

    @rule()
    def restart(self):
        self.strict = KeyLease(BOUND)
        self.lenient = KeyLease(BOUND, is_strict=False)
        self.confirmed_at = None
        self.held = 1
        self.requests = []

    @rule(seconds=st.floats(0.01, 7.0))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def send_request(self):
        self.requests.append(self.now)

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), is_newest=st.booleans(), is_kept=st.booleans())
    def reply(self, data, is_newest, is_kept):
        position = data.draw(st.integers(0, len(self.requests) - 1))
        asked_at = self.requests[position]
        if not is_kept:
            del self.requests[position]
        newest = self.held if is_newest else self.held + 1
        for lease in (self.strict, self.lenient):
            assert lease.confirm(asked_at, newest, self.held) is is_newest
        if is_newest:
            self.confirmed_at = max(asked_at, self.confirmed_at or 0.0)

    @invariant()
    def lease_matches_the_model(self):
        if self.confirmed_at is None:
            assert not self.strict.is_valid(self.now)
            assert not self.lenient.is_valid(self.now)
            return
        age = self.now - self.confirmed_at
        assert self.lenient.is_valid(self.now)
        assert self.strict.is_valid(self.now) is (age < BOUND - LEASE_MARGIN_S)


TestCutOffFront = CutOffFront.TestCase


def test_front_that_is_cut_off_follows_the_setting():
    for is_strict in (True, False):
        bounds = Bounds(key_revocation=BOUND, is_revocation_strict=is_strict)
        front = FrontInstance(build_settings(bounds=bounds), now=0.0)
        front.table = RouteTable(build_routing(1))
        assert not front.may_admit(1.0)
        front.lease.confirm(1.0, newest=1, held=1)
        assert front.may_admit(2.0)
        assert front.may_admit(60.0) is not is_strict
        # Not ready in either mode, so that callers connect to linked fronts.
        assert not front.is_ready(60.0)
