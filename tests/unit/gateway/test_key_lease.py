from hypothesis import given, strategies as st

from scalebend.core.gateway.key_lease import LEASE_MARGIN, KeyLease

BOUND = 5.0


def test_nothing_is_admitted_before_the_first_answer():
    assert not KeyLease(BOUND).is_valid(0.0)


def test_answer_with_a_newer_document_does_not_lengthen_the_lease():
    lease = KeyLease(BOUND)
    assert not lease.confirm(1.0, newest=7, held=6)
    assert not lease.is_valid(1.0)
    assert lease.confirm(1.0, newest=7, held=7)
    assert lease.is_valid(1.0)


def test_lease_counts_from_the_question():
    lease = KeyLease(BOUND)
    lease.confirm(10.0, newest=1, held=1)
    assert lease.is_valid(10.0 + BOUND - LEASE_MARGIN - 0.01)
    assert not lease.is_valid(10.0 + BOUND - LEASE_MARGIN)


def test_late_answer_to_an_older_question_changes_nothing():
    lease = KeyLease(BOUND)
    lease.confirm(10.0, newest=1, held=1)
    lease.confirm(4.0, newest=1, held=1)
    assert lease.is_valid(14.0)


@given(
    asked=st.lists(st.floats(0, 50), min_size=1, max_size=20),
    revoked_at=st.floats(0, 60),
    now=st.floats(0, 120),
)
def test_revoked_key_is_not_admitted_after_the_bound(asked, revoked_at, now):
    # The leader answers with the old version only before the revocation.
    lease = KeyLease(BOUND)
    for at in asked:
        lease.confirm(at, newest=2 if at >= revoked_at else 1, held=1)
    if now > revoked_at + BOUND:
        assert not lease.is_valid(now)


def test_answer_that_overtook_its_document_counts_once_that_has_come():
    lease = KeyLease(BOUND)
    lease.confirm(1.0, newest=7, held=0)
    lease.note_held(6)
    assert not lease.is_valid(1.5)
    lease.note_held(7)
    assert lease.is_valid(1.5)
    # From the question on, as always.
    assert not lease.is_valid(1.0 + BOUND - LEASE_MARGIN)


def test_document_of_an_earlier_answer_does_not_count_for_a_later_one():
    lease = KeyLease(BOUND)
    lease.confirm(1.0, newest=7, held=0)
    lease.confirm(2.0, newest=8, held=0)
    lease.note_held(7)
    assert not lease.is_valid(2.5)
    lease.note_held(8)
    assert lease.is_valid(2.0 + BOUND - LEASE_MARGIN - 0.01)
