"""Fair shares, limits, idempotency claims, retries, lanes, routing and prefixes."""

import random

import pytest
from hypothesis import given, strategies as st

from scalebend.core.admission import AdmissionControl
from scalebend.core.catalog import build_idle_digest
from scalebend.core.claims import (
    CLAIM_LIFETIME_S,
    Claim,
    ClaimConflict,
    ClaimKnown,
    ClaimState,
    ClaimTable,
    ClaimTaken,
    Settle,
    StoredResponse,
    Withdraw,
)
from scalebend.core.control_state import ControlState, encode_command
from scalebend.core.lanes import split_lanes
from scalebend.core.prefixes import PrefixIndex, compute_prefixes
from scalebend.core.rendezvous import find_responsible
from scalebend.core.retries import OutlierDetector, compute_delay
from scalebend.core.routing import (
    Candidate,
    Demand,
    PendingLoad,
    choose_group,
    choose_replica,
)
from scalebend.core.shares import HALF_LIFE_S, ShareLedger, Usage, UsageHome
from scalebend.exceptions import RefusedError
from scalebend.models.configuration import CustomerLimits
from scalebend.models.upstream import CacheEvent, EngineRole
from tests.lib.builders import ZONE, build_view

RESPONSE = StoredResponse(200, "text/plain", b"done")


def test_usage_of_several_instances_adds_up():
    home = UsageHome()
    ledgers = {name: ShareLedger({"a": 2.0}) for name in ("x", "y", "z")}
    for number, ledger in enumerate(ledgers.values()):
        ledger.charge("a", 10.0 * (number + 1), 0.0)
    for name, ledger in list(ledgers.items()) * 2:
        ledger.set_remote(home.report(name, ledger.read_local(1.0), 1.0), 1.0)
    usages = [ledger.compute_normalized("a", 1.0) for ledger in ledgers.values()]
    assert usages == pytest.approx([60.0 / 2 * 0.5 ** (1 / HALF_LIFE_S)] * 3)


def test_usage_of_a_lost_instance_decays():
    home = UsageHome()
    home.report("gone", [Usage("a", 8.0)], 0.0)
    (others_usage,) = home.report("here", [Usage("a", 1.0)], HALF_LIFE_S)
    assert others_usage.seconds == pytest.approx(4.0)
    home.drop_expired(HALF_LIFE_S * 20)
    assert home.report("here", [Usage("a", 1.0)], HALF_LIFE_S * 20)[0].seconds == 0.0


@given(st.lists(st.tuples(st.floats(-5, 50), st.floats(-10, 10)), max_size=30))
def test_usage_is_never_negative_after_clock_steps(charges):
    ledger = ShareLedger()
    now = 0.0
    for seconds, step in charges:
        now += step
        ledger.charge("a", seconds, now)
        assert ledger.compute_normalized("a", now) >= 0.0


def test_rate_limit_refusal_has_a_retry_time():
    admission = AdmissionControl()
    admission.set_limits({"a": CustomerLimits(requests_per_second=2.0)})
    for number in range(4):
        admission.admit(f"r{number}", "a", 10, 0.0)
    with pytest.raises(RefusedError) as caught:
        admission.admit("r9", "a", 10, 0.0)
    assert 0.0 < caught.value.retry_after <= 1.0
    admission.admit("r9", "a", 10, 1.0)


def test_token_limit_counts_tokens_and_concurrency_counts_the_fleet():
    admission = AdmissionControl()
    admission.set_limits(
        {
            "a": CustomerLimits(tokens_per_second=100.0),
            "b": CustomerLimits(None, None, 3),
        }
    )
    admission.admit("r1", "a", 1_000, 0.0)
    with pytest.raises(RefusedError):
        admission.admit("r2", "a", 1, 5.0)
    admission.admit("r3", "a", 1, 9.0)
    admission.set_open_elsewhere("b", 2)
    admission.admit("r4", "b", 1, 0.0)
    with pytest.raises(RefusedError):
        admission.admit("r5", "b", 1, 0.0)
    admission.finish("r4", "b")
    admission.admit("r5", "b", 1, 0.0)


def test_claim_is_taken_once_and_returns_the_known_state():
    table = ClaimTable()
    assert table.apply(Claim("c", "k", "f", "r1"), 0.0) == ClaimTaken()
    assert table.apply(Claim("c", "k", "f", "r1"), 0.0) == ClaimTaken()
    known = table.apply(Claim("c", "k", "f", "r2"), 0.0)
    assert known == ClaimKnown(ClaimState.OPEN, None)
    assert table.apply(Claim("c", "k", "other", "r2"), 0.0) == ClaimConflict()
    assert table.apply(Claim("d", "k", "other", "r3"), 0.0) == ClaimTaken()
    table.apply(Settle("c", "k", "r1", RESPONSE), 1.0)
    known = table.apply(Claim("c", "k", "f", "r2"), 2.0)
    assert known == ClaimKnown(ClaimState.SETTLED, RESPONSE)


def test_claim_committed_after_its_withdrawal_is_not_taken():
    table = ClaimTable()
    table.apply(Withdraw("c", "k", "r1"), 0.0)
    assert table.apply(Claim("c", "k", "f", "r1"), 0.0) != ClaimTaken()
    assert table.apply(Claim("c", "k", "f", "r2"), 0.0) == ClaimTaken()
    table.apply(Withdraw("c", "k", "r1"), 0.0)
    assert table.apply(Claim("c", "k", "f", "r3"), 0.0) != ClaimTaken()


def test_claims_expire_only_after_their_lifetime():
    table = ClaimTable()
    table.apply(Claim("c", "k", "f", "r1"), 0.0)
    table.apply(Claim("c", "k2", "f", "r2"), CLAIM_LIFETIME_S - 1)
    assert len(table) == 2
    table.apply(Claim("c", "k3", "f", "r3"), CLAIM_LIFETIME_S)
    assert len(table) == 2


def test_clock_jump_of_the_leader_expires_no_claims():
    state = ControlState()
    state.apply(encode_command(Claim("c", "k", "f", "r1")), 1_000.0)
    state.apply(
        encode_command(Claim("c", "k2", "f", "r2")), 1_000.0 + 10 * CLAIM_LIFETIME_S
    )
    known = state.apply(encode_command(Claim("c", "k", "f", "r9")), 1_001.0)
    assert known == ClaimKnown(ClaimState.OPEN, None)
    copy = ControlState()
    copy.restore(state.export())
    assert copy.export() == state.export()


def test_outlier_is_ejected_and_probed_by_one_request():
    outliers = OutlierDetector()
    assert not outliers.record_failure("e", 0.0)
    assert not outliers.record_failure("e", 0.0)
    assert outliers.record_failure("e", 0.0)
    assert not outliers.is_usable("e", 1.9)
    assert outliers.is_usable("e", 2.0)
    outliers.record_chosen("e", 2.0)
    assert not outliers.is_usable("e", 2.0)
    assert outliers.record_failure("e", 2.1)
    assert not outliers.is_usable("e", 6.0)
    outliers.record_chosen("e", 6.2)
    outliers.record_success("e")
    assert outliers.is_usable("e", 6.3)


def test_retry_delays_grow_and_vary():
    chooser = random.Random(1)
    delays = [max(compute_delay(t, chooser) for _ in range(50)) for t in (1, 3, 9)]
    assert delays[0] < 0.05 < delays[1] < delays[2] <= 2.0


def build_candidate(name, role=EngineRole.BOTH, **view):
    view = build_view(upstream=name, **view)
    return Candidate(view, build_idle_digest(view), True, role)


def test_lanes_ignore_candidate_order_and_follow_the_load():
    candidates = [build_candidate(f"engine-{n}") for n in range(10)]
    lanes = split_lanes(candidates, 0.6)
    other = split_lanes(list(reversed(candidates)), 0.6)
    assert lanes.prefill == other.prefill and lanes.decode == other.decode
    assert (len(lanes.prefill), len(lanes.decode)) == (6, 4)
    for share, count in ((0.0, 1), (1.0, 9), (0.5, 5)):
        assert len(split_lanes(candidates, share).prefill) == count
    few = split_lanes(candidates[:3], 0.5)
    assert not few.is_split and few.prefill == few.decode


def test_engine_with_a_single_role_keeps_it():
    candidates = [build_candidate(f"e{n}") for n in range(4)]
    candidates.append(build_candidate("p", EngineRole.PREFILL))
    candidates.append(build_candidate("d", EngineRole.DECODE))
    for share in (0.0, 0.5, 1.0):
        lanes = split_lanes(candidates, share)
        assert "p" in {c.view.upstream for c in lanes.prefill}
        assert "d" in {c.view.upstream for c in lanes.decode}
        assert not {c.view.upstream for c in lanes.prefill} & {
            c.view.upstream for c in lanes.decode
        }


def choose(candidates, cached=None, tokens=1_000, pending=None):
    choice = choose_replica(
        Demand(tokens, tokens + 10),
        candidates,
        zone=ZONE,
        cached=cached or {},
        pending=pending or PendingLoad(),
    )
    return choice.upstream if choice else None


def test_routing_prefers_zone_and_cached_prefix_and_spreads_a_burst():
    candidates = [
        build_candidate("near"),
        build_candidate("far", availability_zone="x"),
    ]
    assert choose(candidates) == "near"
    assert choose(candidates, {"far": 900}) == "far"
    assert choose(candidates, {"far": 10}) == "near"
    assert choose(candidates, tokens=20_000) is None
    pending = PendingLoad()
    chosen = []
    for _ in range(4):
        upstream = choose(candidates, pending=pending)
        pending.add(upstream, 1_000)
        chosen.append(upstream)
    assert sorted(chosen) == ["far", "far", "near", "near"]


def test_group_is_the_smallest_that_fits_in_name_order():
    candidates = [build_candidate(f"e{n}") for n in (3, 1, 2)]
    assert len(choose_group(Demand(15_000, 15_000), candidates, 3)) == 2
    assert choose_group(Demand(25_000, 25_000), candidates, 3) == ["e1", "e2", "e3"]
    assert choose_group(Demand(35_000, 35_000), candidates, 3) == []


def test_prefixes_are_found_by_the_longest_match():
    index = PrefixIndex()
    prompt = b"x" * 5_000
    index.learn("e1", compute_prefixes(prompt))
    index.learn("e2", compute_prefixes(prompt[:2_500]))
    cached = index.count_cached(compute_prefixes(prompt + b"more"), 4.0)
    assert cached == {"e1": 1_024, "e2": 512}


def test_gap_in_cache_events_drops_the_replica():
    index = PrefixIndex()
    index.apply_event("e", CacheEvent(1, [11, 12]))
    index.apply_event("e", CacheEvent(1, [99]))
    index.apply_event("e", CacheEvent(2, [13], [11]))
    assert index.count_cached((12,), 4.0) == {"e": 256}
    assert index.count_cached((11,), 4.0) == {}
    index.apply_event("e", CacheEvent(4, [14]))
    assert index.count_cached((12,), 4.0) == {}
    assert index.count_cached((14,), 4.0) == {"e": 256}


def test_prefix_index_is_bounded():
    index = PrefixIndex(max_entries=10)
    index.learn("e", tuple(range(100)))
    assert len(index) == 10


def test_only_names_of_a_lost_instance_are_reassigned():
    names = [f"upstream-{n}" for n in range(300)]
    instances = [f"i{n}" for n in range(9)]
    before = {name: find_responsible(name, instances) for name in names}
    after = {name: find_responsible(name, instances[1:]) for name in names}
    moved = [name for name in names if before[name] != after[name]]
    assert all(before[name] == "i0" for name in moved)
    assert 15 < len(moved) < 60
