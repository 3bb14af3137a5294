"""Entry: retries, claims, KV cache transfers, time limits and crashes."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalebend.core.catalog import Catalog
from scalebend.core.entry import MAX_ATTEMPTS, MAX_RESUMES, Entry, EntryOptions
from scalebend.core.flow import (
    AbortAttempt,
    ClaimKey,
    Completed,
    Conclude,
    Interrupted,
    InvalidResponse,
    NeverStarted,
    Phase,
    Prefilled,
    ResumeAttempt,
    StartAttempt,
    ToOwner,
)
from scalebend.core.queueing import STRATEGIES
from scalebend.exceptions import ClaimError, ErrorKind, Ran
from scalebend.models.ids import InstanceId
from scalebend.models.work import (
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Release,
    Reserve,
    Started,
)
from tests.lib.builders import ENTRY, ZONE, build_announcement, build_request


def build_entry(engines=2, strategy="fair", **announced):
    catalog = Catalog(2.5)
    for number in range(engines):
        catalog.apply_announcement(
            build_announcement(f"engine-{number}", **announced), 0.0
        )
    return Entry(EntryOptions(InstanceId(ENTRY), ZONE, STRATEGIES[strategy]), catalog)


def list_reserved(actions):
    return [
        action.message.work
        for action in actions
        if isinstance(action, ToOwner) and isinstance(action.message, Reserve)
    ]


def list_released(actions):
    return {
        action.upstream: action.message.outcome
        for action in actions
        if isinstance(action, ToOwner) and isinstance(action.message, Release)
    }


def find_action(actions, kind):
    return next((action for action in actions if isinstance(action, kind)), None)


def start_request(entry, request, now=0.0):
    (work,) = list_reserved(entry.admit(request, now))
    actions = entry.handle_grant(Grant(work.attempt, work.upstream, 2.0), now)
    return work, actions


def grant_next(entry, actions, now=0.0):
    (work,) = list_reserved(actions)
    return work, entry.handle_grant(Grant(work.attempt, work.upstream, 2.0), now)


def test_unstarted_request_is_retried_elsewhere_and_reported_as_not_run():
    entry = build_entry()
    work, actions = start_request(entry, build_request("r", is_idempotent=False))
    assert find_action(actions, ClaimKey)
    actions = entry.handle_claim("r", None, 0.0)
    assert find_action(actions, StartAttempt).upstreams == (work.upstream,)
    actions = entry.handle_result(work.attempt, NeverStarted("refused"), 0.0)
    assert list_released(actions) == {work.upstream: Outcome.UNUSED}
    second, actions = grant_next(entry, entry.advance(1.0), 1.0)
    assert second.upstream != work.upstream
    assert find_action(actions, ClaimKey) is None
    actions = entry.handle_result(second.attempt, NeverStarted("refused"), 1.0)
    actions += entry.advance(5.0)
    assert find_action(actions, Conclude).error.ran is Ran.NO


def test_request_not_to_be_repeated_is_never_sent_twice():
    entry = build_entry()
    work, _ = start_request(entry, build_request("r", is_idempotent=False))
    entry.handle_claim("r", None, 0.0)
    actions = entry.handle_result(work.attempt, Interrupted("lost"), 0.0)
    assert find_action(actions, Conclude).error.ran is Ran.UNKNOWN
    assert list_reserved(actions) == []


def test_rejected_claim_starts_no_attempt():
    entry = build_entry()
    work, _ = start_request(entry, build_request("r", is_idempotent=False))
    actions = entry.handle_claim("r", ClaimError("taken"), 0.0)
    assert find_action(actions, StartAttempt) is None
    assert find_action(actions, Conclude).error.kind is ErrorKind.ALREADY_CLAIMED
    assert list_released(actions) == {work.upstream: Outcome.UNUSED}


def test_idempotent_request_is_retried_up_to_the_attempt_limit():
    entry = build_entry(engines=8)
    work, actions = start_request(entry, build_request("r"))
    for tries in range(MAX_ATTEMPTS - 1):
        actions = entry.handle_result(work.attempt, Interrupted("lost"), float(tries))
        assert find_action(actions, Conclude) is None
        actions += entry.advance(tries + 0.9)
        work, _ = grant_next(entry, actions, tries + 0.9)
    actions = entry.handle_result(work.attempt, Interrupted("lost"), 9.0)
    assert find_action(actions, Conclude).error.kind is ErrorKind.UPSTREAM_FAILED


def test_retries_stay_within_the_retry_budget():
    entry = build_entry(engines=3)
    concluded = 0
    for number in range(100):
        work, _ = start_request(entry, build_request(f"r{number}"))
        actions = entry.handle_result(work.attempt, Interrupted("lost"), 0.0)
        concluded += find_action(actions, Conclude) is not None
    assert concluded >= 100 - 10 - 20


def test_delivered_stream_is_resumed_not_restarted():
    entry = build_entry()
    work, _ = start_request(entry, build_request("r"))
    entry.handle_started(work.attempt, 0.1)
    for _ in range(3):
        actions = entry.handle_result(work.attempt, Interrupted("lost"), 0.2)
        assert find_action(actions, ResumeAttempt).attempt == work.attempt
    actions = entry.handle_result(work.attempt, Interrupted("lost"), 0.3)
    assert find_action(actions, Conclude).error.ran is Ran.YES
    assert list_released(actions) == {work.upstream: Outcome.ABANDONED}


@pytest.mark.parametrize("is_path_lost", [True, False])
def test_upstream_behind_a_lost_path_may_take_the_request_again(is_path_lost):
    """Guards against the only engine being left out for a fault of the network."""
    entry = build_entry(engines=1)
    work, _ = start_request(entry, build_request("r"))
    lost = Interrupted("lost", may_have_crashed=False, is_path_lost=is_path_lost)
    actions = entry.handle_result(work.attempt, lost, 0.0) + entry.advance(1.0)
    reserved = [one.upstream for one in list_reserved(actions)]
    assert reserved == ([work.upstream] if is_path_lost else [])


def test_time_limit_gives_back_what_was_held():
    entry = build_entry()
    work, _ = start_request(entry, build_request("r", deadline=5.0))
    assert entry.advance(4.9) == []
    actions = entry.advance(5.0)
    assert find_action(actions, AbortAttempt).attempt == work.attempt
    assert find_action(actions, Conclude).error.kind is ErrorKind.TIME_LIMIT
    assert list_released(actions) == {work.upstream: Outcome.ABANDONED}
    assert len(entry) == 0


def test_grant_for_a_cancelled_request_is_released():
    entry = build_entry()
    (work,) = list_reserved(entry.admit(build_request("r"), 0.0))
    entry.cancel("r", 0.0)
    actions = entry.handle_grant(Grant(work.attempt, work.upstream, 2.0), 0.1)
    assert list_released(actions) == {work.upstream: Outcome.UNUSED}


def test_reservation_without_a_reply_is_sent_again():
    entry = build_entry()
    (work,) = list_reserved(entry.admit(build_request("r"), 0.0))
    assert list_reserved(entry.renew(0.5)) == []
    assert list_reserved(entry.renew(1.0)) == [work]


def test_long_prompt_reserves_in_fixed_order_and_all_or_nothing():
    entry = build_entry(engines=3)
    request = build_request("r", prompt_tokens=25_000, output_tokens=200)
    actions = entry.admit(request, 0.0)
    (first,) = list_reserved(actions)
    second, actions = (
        None,
        entry.handle_grant(Grant(first.attempt, first.upstream, 2.0), 0.0),
    )
    (second,) = list_reserved(actions)
    assert first.upstream < second.upstream
    refusal = Refusal(second.attempt, second.upstream, RefusalReason.TOO_LATE, 1.0)
    actions = entry.handle_refusal(refusal, 0.5)
    assert list_released(actions)[first.upstream] is Outcome.UNUSED


def test_prompt_too_long_for_any_group_is_rejected_as_not_run():
    entry = build_entry(engines=5)
    actions = entry.admit(build_request("r", prompt_tokens=50_000), 0.0)
    error = find_action(actions, Conclude).error
    assert (error.kind, error.ran) == (ErrorKind.PROMPT_TOO_LONG, Ran.NO)


def run_prefill(entry, engines=5):
    work, actions = start_request(entry, build_request("r"))
    assert find_action(actions, StartAttempt).phase is Phase.PREFILL
    entry.handle_started(work.attempt, 0.1)
    (target,) = list_reserved(entry.handle_result(work.attempt, Prefilled(), 0.1))
    return work, target


def test_transfer_to_the_decode_engine_releases_the_prefill_engine():
    entry = build_entry(engines=5, strategy="split-fair")
    work, target = run_prefill(entry)
    actions = entry.handle_grant(Grant(target.attempt, target.upstream, 2.0), 0.2)
    started = find_action(actions, StartAttempt)
    assert (started.phase, started.source) == (Phase.DECODE, work.upstream)
    actions = entry.handle_started(work.attempt, 0.3)
    assert list_released(actions) == {work.upstream: Outcome.ABANDONED}
    assert any(isinstance(a.message, Started) for a in actions)
    actions = entry.handle_result(work.attempt, Completed(100), 1.0)
    assert list_released(actions) == {target.upstream: Outcome.FINISHED}
    assert find_action(actions, Conclude).error is None


def test_refused_transfer_goes_to_another_engine():
    entry = build_entry(engines=5, strategy="split-fair")
    work, target = run_prefill(entry)
    refusal = Refusal(target.attempt, target.upstream, RefusalReason.DRAINING, 1.0)
    actions = entry.handle_refusal(refusal, 0.2)
    (other,) = list_reserved(actions)
    assert other.upstream not in (work.upstream, target.upstream)
    actions = entry.handle_upstream_gone(other.upstream, 0.3)
    (third,) = list_reserved(actions)
    assert third.upstream not in (target.upstream, other.upstream)


def test_transfer_waits_while_the_decode_engines_owner_changes():
    entry = build_entry(engines=5, strategy="split-fair")
    _, target = run_prefill(entry)
    refusal = Refusal(target.attempt, target.upstream, RefusalReason.NOT_OWNER, 0.5)
    for now in (0.2, 0.3, 0.4):
        assert entry.handle_refusal(refusal, now) == []
    assert list_reserved(entry.handle_owner_changed({target.upstream}, 0.5)) == [target]
    assert list_reserved(entry.renew(2.0)) == [target]
    actions = entry.handle_grant(Grant(target.attempt, target.upstream, 2.0), 2.1)
    assert find_action(actions, StartAttempt).upstreams == (target.upstream,)


def test_time_limit_during_a_transfer_releases_both_engines():
    entry = build_entry(engines=5, strategy="split-fair")
    work, target = run_prefill(entry)
    released = list_released(entry.advance(60.0))
    assert released == {
        work.upstream: Outcome.ABANDONED,
        target.upstream: Outcome.ABANDONED,
    }


def test_owner_change_uses_no_attempt_and_excludes_no_replica():
    entry = build_entry(engines=1)
    now = 0.0
    (work,) = list_reserved(entry.admit(build_request("r"), now))
    for _ in range(3 * MAX_ATTEMPTS):
        refusal = Refusal(work.attempt, work.upstream, RefusalReason.NOT_OWNER, 0.0)
        actions = entry.handle_refusal(refusal, now)
        assert find_action(actions, Conclude) is None and list_reserved(actions) == []
        now += 0.2
        (work,) = list_reserved(entry.advance(now))
    actions = entry.handle_grant(Grant(work.attempt, work.upstream, 2.0), now)
    assert find_action(actions, StartAttempt)


RESULTS = [
    Completed(5),
    NeverStarted("refused"),
    Interrupted("lost"),
    InvalidResponse("garbage"),
    Prefilled(),
]


class EntryMachine(RuleBasedStateMachine):
    """One entry whose owners, engines and claims reply in any way and order.

    The oracle counts conclusions and executions of each request: exactly one conclusion
    within the time limit, at most one execution of a non-idempotent request, and none
    of a request that was reported as not run.
    """

    @initialize()
    def initialize_entry(self):
        self.now = 0.0
        self.entry = build_entry(engines=5, strategy="split-fair")
        self.count = 0
        self.requests = {}
        self.reserved = []
        self.running = {}
        self.claims = []
        self.executed = {}
        self.concluded = {}

    def execute(self, actions):
        for action in actions:
            match action:
                case ToOwner(_, Reserve(work)):
                    self.reserved.append(work)
                case StartAttempt():
                    self.running[action.attempt] = action
                    if action.phase is not Phase.DECODE:
                        done = self.executed.setdefault(action.request, [])
                        done.append(action.attempt)
                case AbortAttempt(attempt):
                    self.running.pop(attempt, None)
                case ClaimKey(request):
                    self.claims.append(request)
                case Conclude(request, error):
                    assert request not in self.concluded, "concluded twice"
                    self.concluded[request] = (self.now, error)

    @rule(is_idempotent=st.booleans(), streamed=st.booleans())
    def admit(self, is_idempotent, streamed):
        self.count += 1
        request = build_request(
            f"r{self.count}",
            deadline=self.now + 10.0,
            is_idempotent=is_idempotent,
            is_streamed=streamed,
        )
        self.requests[request.request] = request
        self.execute(self.entry.admit(request, self.now))

    @rule(position=st.integers(0, 9), twice=st.booleans())
    def grant(self, position, twice):
        if self.reserved:
            work = self.reserved.pop(position % len(self.reserved))
            for _ in range(1 + twice):
                message = Grant(work.attempt, work.upstream, 2.0)
                self.execute(self.entry.handle_grant(message, self.now))

    @rule(position=st.integers(0, 9), reason=st.sampled_from(list(RefusalReason)))
    def refuse(self, position, reason):
        if self.reserved:
            work = self.reserved.pop(position % len(self.reserved))
            message = Refusal(work.attempt, work.upstream, reason, 1.0)
            self.execute(self.entry.handle_refusal(message, self.now))

    @rule(succeeds=st.booleans())
    def reply_to_claim(self, succeeds):
        if self.claims:
            error = None if succeeds else ClaimError("taken")
            self.execute(self.entry.handle_claim(self.claims.pop(0), error, self.now))

    @rule(position=st.integers(0, 9))
    def start_stream(self, position):
        if self.running:
            attempt = list(self.running)[position % len(self.running)]
            self.execute(self.entry.handle_started(attempt, self.now))

    @rule(position=st.integers(0, 9), number=st.integers(0, len(RESULTS) - 1))
    def end_attempt(self, position, number):
        if not self.running:
            return
        attempt = list(self.running)[position % len(self.running)]
        action = self.running[attempt]
        result = RESULTS[number]
        if isinstance(result, Prefilled) and action.phase is not Phase.PREFILL:
            return
        if isinstance(result, NeverStarted) and action.phase is not Phase.DECODE:
            self.executed[action.request].remove(attempt)
        if not isinstance(result, Interrupted):
            del self.running[attempt]
        self.execute(self.entry.handle_result(attempt, result, self.now))

    @rule(seconds=st.sampled_from([0.05, 1.0, 4.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.execute(self.entry.advance(self.now))
        self.execute(self.entry.renew(self.now))

    @rule(number=st.integers(0, 4))
    def remove_upstream(self, number):
        name = f"engine-{number}"
        self.entry.catalog.remove(name)
        self.execute(self.entry.handle_upstream_gone(name, self.now))
        self.entry.catalog.apply_announcement(build_announcement(name), self.now)

    @invariant()
    def requests_are_handled_safely(self):
        for name, request in self.requests.items():
            if name not in self.concluded:
                assert self.now <= request.deadline
            runs = len(self.executed.get(name, []))
            assert request.is_idempotent or runs <= 1
            at, error = self.concluded.get(name, (None, None))
            if error is not None and error.ran is Ran.NO:
                assert runs == 0, "reported as not run, but it ran"

    def teardown(self):
        if hasattr(self, "entry"):
            self.now += 11.0
            self.execute(self.entry.advance(self.now))
            assert set(self.concluded) == set(self.requests)
            assert len(self.entry) == 0


TestEntryMachine = EntryMachine.TestCase


def test_crashes_of_several_incarnations_of_an_engine_count_separately():
    entry = build_entry(1)
    for incarnation in range(1, 4):
        announcement = build_announcement("engine-0", incarnation=incarnation)
        entry.catalog.apply_announcement(announcement, float(incarnation))
        request = build_request(f"r{incarnation}", is_idempotent=False, content="cause")
        work, _ = start_request(entry, request, float(incarnation))
        entry.handle_claim(request.request, None, float(incarnation))
        entry.handle_result(work.attempt, Interrupted("lost"), float(incarnation))
    actions = entry.admit(build_request("r9", content="cause"), 4.0)
    assert find_action(actions, Conclude).error.kind is ErrorKind.ENDS_UPSTREAMS
    assert find_action(actions, Conclude).error.ran is Ran.NO


def test_failure_reported_by_an_engine_is_no_crash():
    entry = build_entry(6)
    for number in range(4):
        request = build_request(f"r{number}", is_idempotent=False, content="cause")
        work, _ = start_request(entry, request)
        entry.handle_claim(request.request, None, 0.0)
        failed = Interrupted("it answered 500", may_have_crashed=False)
        entry.handle_result(work.attempt, failed, 0.0)
    assert not entry.crashes.ledger.is_suspect("cause")


def test_request_quarantined_before_its_grant_is_not_started():
    entry = build_entry(6)
    request = build_request("r", content="cause")
    (work,) = list_reserved(entry.admit(request, 0.0))
    for number in range(3):
        entry.crashes.record_crash(request, f"engine-{number}", 1, 0.0)
    actions = entry.handle_grant(Grant(work.attempt, work.upstream, 2.0), 0.0)
    assert find_action(actions, StartAttempt) is None
    assert find_action(actions, Conclude).error.ran is Ran.NO
    assert list_released(actions) == {work.upstream: Outcome.UNUSED}


def test_crash_after_the_start_of_a_response_does_not_count_against_its_parts():
    for is_under_way in (False, True):
        entry = build_entry(8)
        for number in range(5):
            request = build_request(
                f"r{number}",
                is_idempotent=False,
                content=f"content {number}",
                parts=("m/shared",),
            )
            work, _ = start_request(entry, request)
            entry.handle_claim(request.request, None, 0.0)
            if is_under_way:
                entry.handle_started(work.attempt, 0.0)
                entry.handle_under_way(work.attempt, 0.3)
            for _ in range(MAX_RESUMES + 1):
                entry.handle_result(work.attempt, Interrupted("lost"), 0.4)
        assert bool(entry.crashes.parts.causes) != is_under_way
