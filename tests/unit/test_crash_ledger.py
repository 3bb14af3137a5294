"""Quarantine of requests that crash upstreams."""

import hypothesis.strategies as st
from hypothesis import given

from scalebend.core.crash_ledger import (
    CRASHES_UNTIL_QUARANTINE,
    FIRST_QUARANTINE_S,
    MAX_UPSTREAMS_PER_RECORD,
    CrashLedger,
)
from scalebend.core.crash_retention import (
    MAX_RECORDS,
    MAX_SUCCESSES,
    RECORD_RETENTION_S,
    SUCCESS_RETENTION_S,
)
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId

CAUSE = Fingerprint("cause")


def name(number):
    return UpstreamId(f"i-{number}")


def record_crashes(ledger, count, now=0.0, first=0):
    for number in range(first, first + count):
        ledger.record_crash(CAUSE, name(number), now)


def test_request_is_quarantined_after_the_last_permitted_crash():
    ledger = CrashLedger()
    record_crashes(ledger, CRASHES_UNTIL_QUARANTINE - 1)
    assert ledger.is_suspect(CAUSE)
    assert ledger.compute_quarantine(CAUSE, 1.0) == 0.0
    record_crashes(ledger, 1, first=CRASHES_UNTIL_QUARANTINE)
    assert ledger.compute_quarantine(CAUSE, 1.0) == FIRST_QUARANTINE_S - 1.0


def test_crash_reported_several_times_counts_once():
    ledger = CrashLedger()
    for _ in range(5):
        ledger.record_crash(CAUSE, name(1), 0.0)
        ledger.merge([CrashRecord(CAUSE, (name(1),))], 0.0)
    assert ledger.compute_quarantine(CAUSE, 0.0) == 0.0


def test_each_further_crash_doubles_the_quarantine():
    ledger = CrashLedger()
    now = 0.0
    record_crashes(ledger, CRASHES_UNTIL_QUARANTINE, now)
    for round_number in range(1, 4):
        now += ledger.compute_quarantine(CAUSE, now)
        assert ledger.compute_quarantine(CAUSE, now) == 0.0
        record_crashes(ledger, 1, now, first=CRASHES_UNTIL_QUARANTINE + round_number)
        assert (
            ledger.compute_quarantine(CAUSE, now)
            == FIRST_QUARANTINE_S * 2.0**round_number
        )
    # Bounds the crashes that one request can cause: three more in 70 minutes.
    assert now <= 70 * 60.0


def test_complete_response_clears_a_request():
    ledger = CrashLedger()
    record_crashes(ledger, CRASHES_UNTIL_QUARANTINE - 1)
    assert ledger.record_completed(CAUSE, 1.0)
    assert not ledger.is_suspect(CAUSE)
    assert not ledger.record_completed(CAUSE, 1.0)


def test_request_with_recent_response_does_not_become_suspect():
    ledger = CrashLedger()
    ledger.record_completed(CAUSE, 0.0)
    record_crashes(ledger, 10, 1.0)
    assert ledger.compute_quarantine(CAUSE, 1.0) == 0.0
    # The response protects the request only for a limited time.
    record_crashes(ledger, CRASHES_UNTIL_QUARANTINE, SUCCESS_RETENTION_S + 1.0)
    assert ledger.compute_quarantine(CAUSE, SUCCESS_RETENTION_S + 1.0) > 0.0


def test_records_without_further_crashes_expire():
    ledger = CrashLedger()
    record_crashes(ledger, 1)
    ledger.expire(RECORD_RETENTION_S - 1.0)
    assert ledger.is_suspect(CAUSE)
    ledger.expire(RECORD_RETENTION_S)
    assert not ledger.is_suspect(CAUSE)


def test_callers_can_neither_exhaust_memory_nor_evict_quarantined_requests():
    ledger = CrashLedger()
    record_crashes(ledger, CRASHES_UNTIL_QUARANTINE)
    for number in range(10_000):
        other = Fingerprint(f"other-{number}")
        ledger.record_crash(other, name(number), 0.0)
        ledger.record_completed(Fingerprint(f"answered-{number}"), 0.0)
    record_crashes(ledger, 10 * MAX_UPSTREAMS_PER_RECORD)
    assert len(ledger.list_records()) == MAX_RECORDS
    assert len(ledger._succeeded_at) == MAX_SUCCESSES
    assert ledger.compute_quarantine(CAUSE, 0.0) > 0.0
    assert all(
        len(one.upstreams) <= MAX_UPSTREAMS_PER_RECORD for one in ledger.list_records()
    )


def test_new_leader_receives_local_crashes_and_all_quarantines():
    ledger = CrashLedger()
    ledger.record_crash(Fingerprint("own"), name(1), 0.0)
    ledger.merge([CrashRecord(Fingerprint("others"), (name(1),))], 0.0)
    held = tuple(name(number) for number in range(CRASHES_UNTIL_QUARANTINE))
    ledger.merge([CrashRecord(CAUSE, held)], 0.0)
    published = {one.fingerprint for one in ledger.list_to_publish(1.0)}
    assert published == {Fingerprint("own"), CAUSE}


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 5)).map(
            lambda one: CrashRecord(Fingerprint(one[0]), (name(one[1]),))
        ),
        max_size=20,
    ),
    st.randoms(use_true_random=False),
)
def test_records_merge_equally_in_any_order_and_number(records, random_source):
    one, other = CrashLedger(), CrashLedger()
    one.merge(records, 0.0)
    again = records + records
    random_source.shuffle(again)
    for record in again:
        other.merge([record], 0.0)
    for ledger in (one, other):
        ledger.merge(one.list_records() + other.list_records(), 0.0)
    for fingerprint in "abc":
        assert one.compute_quarantine(
            Fingerprint(fingerprint), 0.0
        ) == other.compute_quarantine(Fingerprint(fingerprint), 0.0)
