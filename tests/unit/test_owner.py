"""Owner of a replica: memory, leases, queue and shares of customers."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalebend.core.owner import (
    GRANT_LIFETIME_S,
    RESERVATION_LEASE_S,
    UNCLAIMED_GRACE_S,
    CancelOnEngine,
    ReplicaOwner,
    ToEntry,
)
from scalebend.core.queueing import STRATEGIES
from scalebend.core.shares import ShareLedger
from scalebend.models.upstream import UpstreamState
from scalebend.models.work import (
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
    Release,
    Renew,
    Reserve,
    Started,
)
from scalebend.standins.engine_model import EngineModel, EngineParameters
from tests.lib.builders import UPSTREAM, build_announcement, build_view, build_work

FAIR = STRATEGIES["fair"].queue


def build_owner(policy=FAIR, weights=None, **view):
    return ReplicaOwner(
        build_view(**view), policy, ShareLedger(weights or {}), incarnation=1
    )


def list_granted(actions):
    return [
        action.message.attempt
        for action in actions
        if isinstance(action, ToEntry) and isinstance(action.message, Grant)
    ]


def list_refused(actions):
    return {
        action.message.attempt: action.message.reason
        for action in actions
        if isinstance(action, ToEntry) and isinstance(action.message, Refusal)
    }


def list_cancelled(actions):
    return [a.attempt for a in actions if isinstance(a, CancelOnEngine)]


def send_reserve(owner, attempt, now=0.0, **changes):
    return owner.handle(Reserve(build_work(attempt, **changes)), now)


def send_release(owner, attempt, outcome, now=0.0):
    return owner.handle(Release(attempt, UPSTREAM, outcome, 100), now)


def test_grants_never_exceed_the_memory():
    owner = build_owner()
    granted = []
    for number in range(20):
        granted += list_granted(send_reserve(owner, f"r{number}"))
        for attempt in granted:
            owner.handle(Started(attempt, UPSTREAM), 0.0)
    assert len(granted) <= 10
    assert owner.ledger.used <= 10_000


def test_repeated_reservation_gets_its_grant_again():
    owner = build_owner()
    assert list_granted(send_reserve(owner, "r1")) == ["r1"]
    assert list_granted(send_reserve(owner, "r1")) == ["r1"]
    assert owner.ledger.used == 1_000


def test_abandoned_memory_is_owed_until_the_engine_confirms():
    owner = build_owner()
    send_reserve(owner, "r1")
    actions = send_release(owner, "r1", Outcome.ABANDONED)
    assert list_cancelled(actions) == ["r1"]
    assert owner.ledger.used == 1_000
    assert list_cancelled(owner.advance(0.4)) == []
    assert list_cancelled(owner.advance(0.6)) == ["r1"]
    owner.confirm_cancelled("r1", 0.7)
    assert owner.ledger.used == 0
    assert list_cancelled(owner.advance(5.0)) == []


def test_attempt_with_an_unconfirmed_cancellation_is_not_granted():
    owner = build_owner()
    send_reserve(owner, "r1")
    send_release(owner, "r1", Outcome.ABANDONED)
    refused = list_refused(send_reserve(owner, "r1"))
    assert refused == {"r1": RefusalReason.NOT_OWNER}


def test_grant_that_nobody_used_expires_and_is_cancelled():
    owner = build_owner()
    send_reserve(owner, "r1")
    assert list_cancelled(owner.advance(GRANT_LIFETIME_S - 0.1)) == []
    assert list_cancelled(owner.advance(GRANT_LIFETIME_S)) == ["r1"]


# Guards against work that is cancelled at a sound engine because its entry paused.
def test_attempt_that_its_engine_runs_outlasts_a_silence_of_its_entry():
    owner = build_owner()
    send_reserve(owner, "r1")
    owner.apply_announcement(build_announcement(running=["r1"]), 0.5)
    assert list_cancelled(owner.advance(GRANT_LIFETIME_S + 1.0)) == []
    announcement = build_announcement(running=["r1"])
    actions = owner.apply_announcement(announcement, RESERVATION_LEASE_S - 0.1)
    assert list_cancelled(actions) == []
    assert list_cancelled(owner.advance(RESERVATION_LEASE_S)) == ["r1"]


def test_reservation_of_a_crashed_entry_expires():
    owner = build_owner()
    send_reserve(owner, "r1")
    owner.handle(Renew(UPSTREAM, [build_work("r1")]), 1.0)
    assert list_cancelled(owner.advance(RESERVATION_LEASE_S)) == []
    assert list_cancelled(owner.advance(1.0 + RESERVATION_LEASE_S)) == ["r1"]


def test_restarted_engine_has_no_reservations():
    owner = build_owner()
    send_reserve(owner, "r1")
    owner.apply_announcement(build_announcement(incarnation=2), 1.0)
    assert owner.ledger.used == 0
    owner.apply_announcement(build_announcement(running=["r1"]), 1.1)
    assert owner.ledger.used == 0


def test_attempt_that_no_entry_claims_is_cancelled_after_a_grace():
    owner = build_owner()
    owner.apply_announcement(build_announcement(running=["ghost"]), 0.0)
    owner.apply_announcement(
        build_announcement(running=["ghost"]), UNCLAIMED_GRACE_S - 1
    )
    assert list_cancelled(owner.advance(UNCLAIMED_GRACE_S - 0.5)) == []
    actions = owner.apply_announcement(
        build_announcement(running=["ghost"]), UNCLAIMED_GRACE_S
    )
    assert list_cancelled(actions) == ["ghost"]


def test_leaving_engine_refuses_what_waits_and_what_comes():
    owner = build_owner()
    send_reserve(owner, "r1", memory_tokens=9_000, prefill_tokens=8_000)
    send_reserve(owner, "r2", memory_tokens=9_000, prefill_tokens=8_000)
    leaving = build_announcement(state=UpstreamState.DRAINING)
    refused = list_refused(owner.apply_announcement(leaving, 1.0))
    assert refused == {"r2": RefusalReason.DRAINING}
    assert list_refused(send_reserve(owner, "r3")) == {"r3": RefusalReason.DRAINING}
    assert owner.ledger.has_reservation("r1")


def test_wait_that_cannot_end_in_time_is_refused_when_that_is_known():
    owner = build_owner()
    send_reserve(owner, "r1", prefill_tokens=9_000, memory_tokens=9_500)
    send_reserve(owner, "r2", prefill_tokens=9_000, memory_tokens=9_500, timeout_s=5.0)
    refused = list_refused(
        send_reserve(
            owner, "r3", prefill_tokens=9_000, memory_tokens=9_500, timeout_s=0.5
        )
    )
    assert refused == {"r3": RefusalReason.TOO_LATE}
    assert list_refused(owner.advance(4.9)) == {}
    assert list_refused(owner.advance(5.0)) == {"r2": RefusalReason.TOO_LATE}


def test_new_owner_collects_renewals_before_it_grants():
    owner = ReplicaOwner(
        build_view(), FAIR, ShareLedger(), incarnation=1, grants_from=1.5
    )
    assert list_granted(send_reserve(owner, "new", memory_tokens=5_000)) == []
    works = [build_work(f"old{number}") for number in range(8)]
    owner.handle(Renew(UPSTREAM, works), 1.0)
    assert list_granted(owner.advance(1.5)) == []
    assert owner.ledger.used == 8_000


def test_small_prompt_overtakes_a_large_one():
    owner = build_owner(memory_tokens=1_000_000)
    large = {"prefill_tokens": 90_000, "memory_tokens": 90_100}
    assert list_granted(send_reserve(owner, "large", **large)) == ["large"]
    assert list_granted(send_reserve(owner, "more", **large)) == []
    assert list_granted(send_reserve(owner, "small")) == ["small"]


def test_large_prompt_does_not_starve():
    owner = build_owner(memory_tokens=100_000, concurrency=100)
    fill = {"prefill_tokens": 5_000, "memory_tokens": 30_000}
    for number in range(3):
        send_reserve(owner, f"fill{number}", **fill)
        owner.handle(Started(f"fill{number}", UPSTREAM), 0.0)
    send_reserve(owner, "large", prefill_tokens=80_000, memory_tokens=80_000)
    now = 0.0
    for number in range(3, 60):
        now += 0.5
        send_reserve(owner, f"fill{number}", now=now, **fill)
        held = owner.ledger.list_reserved()
        if "large" in held:
            return
        owner.handle(Renew(UPSTREAM, [build_work(a) for a in held]), now)
        owner.handle(Started(held[0], UPSTREAM), now)
        send_release(owner, held[0], Outcome.FINISHED, now)
    raise AssertionError("the large prompt never started")


@pytest.mark.parametrize("weights", [(1, 1), (1, 2), (1, 4)])
def test_backlogged_customers_get_their_shares(weights):
    owner = build_owner(
        memory_tokens=10_000_000,
        concurrency=1,
        weights=dict(zip("ab", weights, strict=True)),
    )
    used = {"a": 0, "b": 0}
    now = 0.0
    for number in range(400):
        for customer in "ab":
            send_reserve(
                owner,
                f"{customer}{number}",
                now=now,
                customer=customer,
                timeout_s=1e9,
                prefill_tokens=2_000,
                memory_tokens=2_100,
            )
    for _ in range(300):
        now += 0.2
        (held,) = owner.ledger.list_reserved()
        used[held[0]] += 1
        owner.handle(Renew(UPSTREAM, [build_work(held)]), now)
        owner.handle(Started(held, UPSTREAM), now)
        send_release(owner, held, Outcome.FINISHED, now)
    entitled = weights[0] / sum(weights)
    assert used["a"] / 300 == pytest.approx(entitled, abs=0.03)


class OwnerMachine(RuleBasedStateMachine):
    """One owner and one engine model, with crashing entries and lost messages.

    The engine model is the oracle: no granted attempt may exceed its memory, and all
    memory must be free some time after the last renewal.
    """

    @initialize()
    def initialize_owner(self):
        self.now = 0.0
        self.engine = EngineModel(EngineParameters(memory_tokens=10_000))
        self.incarnation = 1
        self.owner = build_owner()
        self.count = 0
        self.granted = {}
        self.running = {}
        self.cancellations = []

    def build_sized_work(self, attempt, size):
        return build_work(attempt, memory_tokens=size, prefill_tokens=size // 2)

    def execute(self, actions):
        for action in actions:
            match action:
                case ToEntry(_, Grant(attempt)):
                    self.granted[attempt] = self.now
                case CancelOnEngine(_, attempt):
                    self.cancellations.append(attempt)

    @rule(size=st.sampled_from([200, 1_000, 4_500, 9_000]), twice=st.booleans())
    def reserve(self, size, twice):
        self.count += 1
        work = self.build_sized_work(f"w{self.count}", size)
        for _ in range(1 + twice):
            self.execute(self.owner.handle(Reserve(work), self.now))

    @rule()
    def start_granted(self):
        for attempt, at in list(self.granted.items()):
            del self.granted[attempt]
            if self.now - at >= GRANT_LIFETIME_S:
                # The grant expired: the owner has cancelled the attempt or will.
                continue
            held = self.owner.ledger._reserved.get(attempt, 0)
            refused = self.engine.memory_rejections
            if held and self.engine.reserve_memory(attempt, held):
                self.running[attempt] = held
            assert self.engine.memory_rejections == refused, (
                "the attempt does not fit into the engine's memory"
            )

    @rule(lose=st.booleans())
    def renew(self, lose):
        works = [self.build_sized_work(a, size) for a, size in self.running.items()]
        if not lose:
            self.execute(self.owner.handle(Renew(UPSTREAM, works), self.now))

    @rule(position=st.integers(0, 9), lose=st.booleans())
    def finish(self, position, lose):
        if self.running:
            attempt = list(self.running)[position % len(self.running)]
            del self.running[attempt]
            self.engine.cancel(attempt, self.now)
            if not lose:
                message = Release(attempt, UPSTREAM, Outcome.FINISHED, 10)
                self.execute(self.owner.handle(message, self.now))

    @rule(position=st.integers(0, 9), lose=st.booleans())
    def abandon(self, position, lose):
        if self.running:
            attempt = list(self.running)[position % len(self.running)]
            del self.running[attempt]
            if not lose:
                message = Release(attempt, UPSTREAM, Outcome.ABANDONED)
                self.execute(self.owner.handle(message, self.now))

    @rule(lose=st.booleans(), lose_confirmation=st.booleans())
    def cancel(self, lose, lose_confirmation):
        if self.cancellations:
            attempt = self.cancellations.pop(0)
            if lose:
                return
            self.engine.cancel(attempt, self.now)
            self.running.pop(attempt, None)
            if not lose_confirmation:
                self.execute(self.owner.confirm_cancelled(attempt, self.now))

    @rule(seconds=st.sampled_from([0.05, 0.6, 3.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.execute(self.owner.advance(self.now))

    @rule()
    def restart_engine(self):
        self.engine = EngineModel(EngineParameters(memory_tokens=10_000))
        self.incarnation += 1
        self.running.clear()
        self.announce()

    @rule()
    def announce(self):
        announcement = build_announcement(
            incarnation=self.incarnation, running=list(self.engine.list_running())
        )
        self.execute(self.owner.apply_announcement(announcement, self.now))

    @rule()
    def replace_owner(self):
        self.owner = ReplicaOwner(
            build_view(),
            FAIR,
            ShareLedger(),
            incarnation=self.incarnation,
            grants_from=self.now + 1.5,
        )
        self.granted.clear()
        works = [self.build_sized_work(a, size) for a, size in self.running.items()]
        self.execute(self.owner.handle(Renew(UPSTREAM, works), self.now))

    @invariant()
    def ledger_covers_running_attempts(self):
        held = sum(self.running.values())
        assert held <= self.owner.ledger.used or not self.running

    def teardown(self):
        """All memory is freed once no entry sends renewals."""
        if not hasattr(self, "engine"):
            return
        self.granted.clear()
        for _ in range(150):
            self.pass_time(0.6)
            self.announce()
            self.granted.clear()
            while self.cancellations:
                self.cancel(False, False)
        assert self.engine.used_tokens == 0
        assert self.owner.ledger.used == 0


TestOwnerMachine = OwnerMachine.TestCase
