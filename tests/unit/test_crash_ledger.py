"""Which requests are held back since upstreams ended under them."""

import hypothesis.strategies as st
from hypothesis import given

from scalebend.core.crash_ledger import (
    ANSWERED_MEMORY,
    FIRST_HOLD,
    MOST_ANSWERED,
    MOST_ENDED,
    MOST_NAMED,
    MOST_RECORDS,
    REMEMBERED,
    CrashLedger,
)
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId

CAUSE = Fingerprint("cause")


def name(number):
    return UpstreamId(f"i-{number}")


def end_upstreams(ledger, count, now=0.0, first=0):
    for number in range(first, first + count):
        ledger.note_lost(CAUSE, name(number), now)


def test_request_is_held_back_from_the_third_upstream_on():
    ledger = CrashLedger()
    end_upstreams(ledger, MOST_ENDED - 1)
    assert ledger.is_suspect(CAUSE)
    assert ledger.compute_hold(CAUSE, 1.0) == 0.0
    end_upstreams(ledger, 1, first=MOST_ENDED)
    assert ledger.compute_hold(CAUSE, 1.0) == FIRST_HOLD - 1.0


def test_one_upstream_counts_once_however_many_tell():
    ledger = CrashLedger()
    for _ in range(5):
        ledger.note_lost(CAUSE, name(1), 0.0)
        ledger.merge([CrashRecord(CAUSE, (name(1),))], 0.0)
    assert ledger.compute_hold(CAUSE, 0.0) == 0.0


def test_each_further_upstream_doubles_the_hold():
    ledger = CrashLedger()
    now = 0.0
    end_upstreams(ledger, MOST_ENDED, now)
    for round_number in range(1, 4):
        now += ledger.compute_hold(CAUSE, now)
        assert ledger.compute_hold(CAUSE, now) == 0.0
        end_upstreams(ledger, 1, now, first=MOST_ENDED + round_number)
        assert ledger.compute_hold(CAUSE, now) == FIRST_HOLD * 2.0**round_number
    # Three more within the first hour and ten minutes.
    assert now <= 70 * 60.0


def test_whole_answer_clears_a_request():
    ledger = CrashLedger()
    end_upstreams(ledger, MOST_ENDED - 1)
    assert ledger.note_answered(CAUSE, 1.0)
    assert not ledger.is_suspect(CAUSE)
    assert not ledger.note_answered(CAUSE, 1.0)


def test_request_that_is_asked_all_the_time_is_not_blamed_when_its_service_fails():
    ledger = CrashLedger()
    ledger.note_answered(CAUSE, 0.0)
    end_upstreams(ledger, 10, 1.0)
    assert ledger.compute_hold(CAUSE, 1.0) == 0.0
    # A minute later nothing speaks for it any more.
    end_upstreams(ledger, MOST_ENDED, ANSWERED_MEMORY + 1.0)
    assert ledger.compute_hold(CAUSE, ANSWERED_MEMORY + 1.0) > 0.0


def test_requests_lost_by_chance_are_forgotten():
    ledger = CrashLedger()
    end_upstreams(ledger, 1)
    ledger.expire(REMEMBERED - 1.0)
    assert ledger.is_suspect(CAUSE)
    ledger.expire(REMEMBERED)
    assert not ledger.is_suspect(CAUSE)


def test_callers_cannot_fill_a_process_nor_wash_out_what_is_held():
    ledger = CrashLedger()
    end_upstreams(ledger, MOST_ENDED)
    for number in range(10_000):
        other = Fingerprint(f"other-{number}")
        ledger.note_lost(other, name(number), 0.0)
        ledger.note_answered(Fingerprint(f"answered-{number}"), 0.0)
    end_upstreams(ledger, 10 * MOST_NAMED)
    assert len(ledger.list_records()) == MOST_RECORDS
    assert len(ledger._answered) == MOST_ANSWERED
    assert ledger.compute_hold(CAUSE, 0.0) > 0.0
    assert all(len(one.ended) <= MOST_NAMED for one in ledger.list_records())


def test_a_new_leader_is_told_what_was_seen_here_and_all_that_is_held():
    ledger = CrashLedger()
    ledger.note_lost(Fingerprint("own"), name(1), 0.0)
    ledger.merge([CrashRecord(Fingerprint("others"), (name(1),))], 0.0)
    held = tuple(name(number) for number in range(MOST_ENDED))
    ledger.merge([CrashRecord(CAUSE, held)], 0.0)
    told = {one.fingerprint for one in ledger.list_to_tell(1.0)}
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
        assert one.compute_hold(Fingerprint(fingerprint), 0.0) == other.compute_hold(
            Fingerprint(fingerprint), 0.0
        )
