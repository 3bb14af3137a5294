"""Which requests are held back since upstreams ended under them."""

import hypothesis.strategies as st
from hypothesis import given

from scalebend.core.crash_ledger import (
    CRASHES_UNTIL_QUARANTINE,
    FIRST_QUARANTINE_S,
    MAX_RECORDS,
    MAX_SUCCESSES,
    MAX_UPSTREAMS_PER_RECORD,
    RECORD_RETENTION_S,
    SUCCESS_RETENTION_S,
    CrashLedger,
)
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId

CAUSE = Fingerprint("cause")


def name(number):
    return UpstreamId(f"i-{number}")


def end_upstreams(ledger, count, now=0.0, first=0):
    for number in range(first, first + count):
        ledger.record_crash(CAUSE, name(number), now)


def test_request_is_held_back_from_the_third_upstream_on():
    ledger = CrashLedger()
    end_upstreams(ledger, CRASHES_UNTIL_QUARANTINE - 1)
    assert ledger.is_suspect(CAUSE)
    assert ledger.compute_quarantine(CAUSE, 1.0) == 0.0
    end_upstreams(ledger, 1, first=CRASHES_UNTIL_QUARANTINE)
    assert ledger.compute_quarantine(CAUSE, 1.0) == FIRST_QUARANTINE_S - 1.0


def test_one_upstream_counts_once_however_many_tell():
    ledger = CrashLedger()
    for _ in range(5):
        ledger.record_crash(CAUSE, name(1), 0.0)
        ledger.merge([CrashRecord(CAUSE, (name(1),))], 0.0)
    assert ledger.compute_quarantine(CAUSE, 0.0) == 0.0


def test_each_further_upstream_doubles_the_hold():
    ledger = CrashLedger()
    now = 0.0
    end_upstreams(ledger, CRASHES_UNTIL_QUARANTINE, now)
    for round_number in range(1, 4):
        now += ledger.compute_quarantine(CAUSE, now)
        assert ledger.compute_quarantine(CAUSE, now) == 0.0
        end_upstreams(ledger, 1, now, first=CRASHES_UNTIL_QUARANTINE + round_number)
        assert (
            ledger.compute_quarantine(CAUSE, now)
            == FIRST_QUARANTINE_S * 2.0**round_number
        )
    # Three more within the first hour and ten minutes.
    assert now <= 70 * 60.0


def test_whole_answer_clears_a_request():
    ledger = CrashLedger()
    end_upstreams(ledger, CRASHES_UNTIL_QUARANTINE - 1)
    assert ledger.record_response(CAUSE, 1.0)
    assert not ledger.is_suspect(CAUSE)
    assert not ledger.record_response(CAUSE, 1.0)


def test_request_that_is_asked_all_the_time_is_not_blamed_when_its_service_fails():
    ledger = CrashLedger()
    ledger.record_response(CAUSE, 0.0)
    end_upstreams(ledger, 10, 1.0)
    assert ledger.compute_quarantine(CAUSE, 1.0) == 0.0
    # A minute later nothing speaks for it any more.
    end_upstreams(ledger, CRASHES_UNTIL_QUARANTINE, SUCCESS_RETENTION_S + 1.0)
    assert ledger.compute_quarantine(CAUSE, SUCCESS_RETENTION_S + 1.0) > 0.0


def test_requests_lost_by_chance_are_forgotten():
    ledger = CrashLedger()
    end_upstreams(ledger, 1)
    ledger.expire(RECORD_RETENTION_S - 1.0)
    assert ledger.is_suspect(CAUSE)
    ledger.expire(RECORD_RETENTION_S)
    assert not ledger.is_suspect(CAUSE)


def test_callers_cannot_fill_a_process_nor_wash_out_what_is_held():
    ledger = CrashLedger()
    end_upstreams(ledger, CRASHES_UNTIL_QUARANTINE)
    for number in range(10_000):
        other = Fingerprint(f"other-{number}")
        ledger.record_crash(other, name(number), 0.0)
        ledger.record_response(Fingerprint(f"answered-{number}"), 0.0)
    end_upstreams(ledger, 10 * MAX_UPSTREAMS_PER_RECORD)
    assert len(ledger.list_records()) == MAX_RECORDS
    assert len(ledger._succeeded_at) == MAX_SUCCESSES
    assert ledger.compute_quarantine(CAUSE, 0.0) > 0.0
    assert all(
        len(one.ended) <= MAX_UPSTREAMS_PER_RECORD for one in ledger.list_records()
    )


def test_a_new_leader_is_told_what_was_seen_here_and_all_that_is_held():
    ledger = CrashLedger()
    ledger.record_crash(Fingerprint("own"), name(1), 0.0)
    ledger.merge([CrashRecord(Fingerprint("others"), (name(1),))], 0.0)
    held = tuple(name(number) for number in range(CRASHES_UNTIL_QUARANTINE))
    ledger.merge([CrashRecord(CAUSE, held)], 0.0)
    told = {one.fingerprint for one in ledger.list_to_publish(1.0)}
    assert told == {Fingerprint("own"), CAUSE}


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 5)).map(
            lambda one: CrashRecord(Fingerprint(one[0]), (name(one[1]),))
        ),
        max_size=20,
    ),
    st.randoms(use_true_random=False),
)
def test_records_merge_alike_in_any_order_and_number(records, chance):
    one, other = CrashLedger(), CrashLedger()
    one.merge(records, 0.0)
    again = records + records
    chance.shuffle(again)
    for record in again:
        other.merge([record], 0.0)
    for ledger in (one, other):
        ledger.merge(one.list_records() + other.list_records(), 0.0)
    for fingerprint in "abc":
        assert one.compute_quarantine(
            Fingerprint(fingerprint), 0.0
        ) == other.compute_quarantine(Fingerprint(fingerprint), 0.0)
