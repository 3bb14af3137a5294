"""Orders to engines: pacing, fencing, last replica of an availability zone."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalebend.core.catalog import Catalog
from scalebend.core.orders import LEADER_LEASE_S, ORDER_TIMEOUT_S, OrderPlanner
from scalebend.models.configuration import Configuration, Model, UpstreamKind
from scalebend.models.upstream import LoadedModel
from tests.lib.builders import build_announcement

NEW_LEADER_DELAY_S = LEADER_LEASE_S + ORDER_TIMEOUT_S


def build_configuration(*models, loads=6_000.0, checks=True):
    kinds = [UpstreamKind("k", checks)]
    return Configuration(
        models=list(models), upstream_kinds=kinds, weight_store_loads_per_minute=loads
    )


class Fleet:
    def __init__(self, models, zones=("a", "b"), kinds=None):
        self.kinds = kinds or {}
        self.catalog = Catalog(1e9)
        self.models = {}
        for number, loaded in enumerate(models):
            self.models[f"e{number}"] = list(loaded)
        self.zones = {
            name: zones[number % len(zones)] for number, name in enumerate(self.models)
        }
        self.fencing = dict.fromkeys(self.models, 0)
        self.sequence = 0
        self.report()

    def report(self):
        self.sequence += 1
        for name, loaded in self.models.items():
            announcement = build_announcement(
                name,
                kind=self.kinds.get(name, "k"),
                sequence=self.sequence,
                availability_zone=self.zones[name],
                models=list(loaded),
                fencing_number=self.fencing[name],
            )
            self.catalog.apply_announcement(announcement, 0.0)

    def execute(self, sent, checks=True):
        order = sent.order
        if checks and order.fencing_number < self.fencing[sent.upstream]:
            return False
        self.fencing[sent.upstream] = max(
            self.fencing[sent.upstream], order.fencing_number
        )
        gone = {m.model for m in order.load} | set(order.unload)
        kept = [m for m in self.models[sent.upstream] if m.model not in gone]
        self.models[sent.upstream] = kept + order.load
        return True

    def plan(self, planner, configuration, now, term=1):
        self.report()
        return planner.advance(configuration, list(self.catalog), term, now)


def run(fleet, planner, configuration, seconds, start=0.0, term=1):
    now = start
    orders = []
    while now < start + seconds:
        now += 0.5
        for sent in fleet.plan(planner, configuration, now, term):
            orders.append((now, sent))
            fleet.execute(sent)
    return orders


M1 = LoadedModel("m1")
M2 = LoadedModel("m2")


def test_empty_engines_are_loaded_across_availability_zones():
    fleet = Fleet([[], [], [], []])
    run(fleet, OrderPlanner(), build_configuration(Model("m1", replicas=2)), 20.0)
    serving = [name for name, loaded in fleet.models.items() if loaded]
    assert {fleet.zones[name] for name in serving} == {"a", "b"}
    assert len(serving) == 2


def test_loads_are_paced_over_the_fleet():
    fleet = Fleet([[] for _ in range(12)])
    configuration = build_configuration(Model("m1", replicas=12), loads=6.0)
    orders = run(fleet, OrderPlanner(), configuration, 65.0)
    assert 5 <= len(orders) <= 6


def test_last_replica_of_a_zone_is_kept_if_there_is_an_alternative():
    fleet = Fleet([[M1], [M1], [M1], []], zones=("a", "b", "b", "b"))
    configuration = build_configuration(
        Model("m1", replicas=2), Model("m2", replicas=1)
    )
    run(fleet, OrderPlanner(), configuration, 20.0)
    assert fleet.models["e0"] == [M1]
    assert fleet.models["e3"] == [M2]


def test_new_version_is_rolled_out_one_replica_of_a_zone_at_a_time():
    fleet = Fleet([[M1] for _ in range(4)])
    new = LoadedModel("m1", "2")
    configuration = build_configuration(Model("m1", "2", replicas=4))
    planner = OrderPlanner()
    now = 0.0
    for _ in range(200):
        now += 0.5
        for sent in fleet.plan(planner, configuration, now):
            zone = fleet.zones[sent.upstream]
            fleet.models[sent.upstream] = []
            others = [n for n, z in fleet.zones.items() if z == zone]
            assert any(fleet.models[n] for n in others), (
                "an availability zone serves nothing"
            )
            fleet.models[sent.upstream] = [new]
    assert all(loaded == [new] for loaded in fleet.models.values())


def test_new_leader_waits_for_engines_that_ignore_fencing():
    configuration = build_configuration(Model("m1", replicas=1), checks=False)
    orders = run(Fleet([[]]), OrderPlanner(), configuration, 20.0)
    assert orders[0][0] >= NEW_LEADER_DELAY_S
    checked = build_configuration(Model("m1", replicas=1))
    assert run(Fleet([[]]), OrderPlanner(), checked, 20.0)[0][0] < NEW_LEADER_DELAY_S


def test_engine_with_a_higher_fencing_number_gets_no_order():
    fleet = Fleet([[]])
    fleet.fencing["e0"] = 9
    configuration = build_configuration(Model("m1", replicas=1))
    assert run(fleet, OrderPlanner(), configuration, 20.0, term=3) == []


def test_only_the_leader_sends_orders():
    fleet = Fleet([[]])
    configuration = build_configuration(Model("m1", replicas=1))
    assert run(fleet, OrderPlanner(), configuration, 20.0, term=None) == []


def test_last_replica_is_kept_until_an_empty_engine_may_be_ordered():
    fleet = Fleet([[M1], []], zones=("a",), kinds={"e1": "ignores"})
    configuration = build_configuration(Model("m1", "2", replicas=1))
    orders = run(fleet, OrderPlanner(), configuration, 20.0)
    assert [sent.upstream for _, sent in orders] == ["e1"]
    assert fleet.models["e0"] == [M1]


def test_surplus_last_replica_is_unloaded_without_an_alternative():
    fleet = Fleet([[M1], [M1]])
    configuration = build_configuration(
        Model("m1", replicas=1), Model("m2", replicas=1)
    )
    run(fleet, OrderPlanner(), configuration, 20.0)
    assert sorted(m[0].model for m in fleet.models.values()) == ["m1", "m2"]


class OrderMachine(RuleBasedStateMachine):
    """Successive leaders, with orders lost, duplicated, reordered or late.

    Checked: an engine that checks fencing never executes an order of an older leader
    after one of a newer leader, loads in any minute stay within the weight store's
    limit, and without faults every model finally has its replicas.
    """

    LOADS = 60.0

    @initialize()
    def begin(self):
        self.now = 0.0
        self.fleet = Fleet([[M1], [M1], [], [M2], [], []])
        self.planner = OrderPlanner()
        self.term = 1
        self.in_flight = []
        self.sent = []
        self.configuration = build_configuration(
            Model("m1", replicas=2), Model("m2", replicas=2), loads=self.LOADS
        )

    @rule()
    def change_leader(self):
        self.term += 1
        self.planner = OrderPlanner()

    @rule(version=st.sampled_from(["1", "2"]), replicas=st.integers(1, 3))
    def change_configuration(self, version, replicas):
        self.configuration = build_configuration(
            Model("m1", version, replicas=replicas),
            Model("m2", replicas=2),
            loads=self.LOADS,
        )

    @rule(seconds=st.sampled_from([0.5, 2.0, 10.0]))
    def pass_time(self, seconds):
        self.now += seconds
        for sent in self.fleet.plan(
            self.planner, self.configuration, self.now, self.term
        ):
            assert sent.order.fencing_number == self.term
            self.in_flight.append(sent)
            self.sent.append(self.now)

    @rule(position=st.integers(0, 9), keep=st.booleans(), lose=st.booleans())
    def deliver(self, position, keep, lose):
        if self.in_flight:
            position %= len(self.in_flight)
            sent = self.in_flight[position]
            if not keep:
                del self.in_flight[position]
            if not lose:
                before = self.fleet.fencing[sent.upstream]
                if self.fleet.execute(sent):
                    assert sent.order.fencing_number >= before

    @invariant()
    def loads_are_paced(self):
        recent = [at for at in self.sent if at > self.now - 60.0]
        terms = self.term
        assert len(recent) <= self.LOADS + terms + 1

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.in_flight.clear()
        self.term += 1
        run(
            self.fleet,
            OrderPlanner(),
            self.configuration,
            120.0,
            start=self.now,
            term=self.term,
        )
        for model in self.configuration.models:
            serving = [
                name
                for name, loaded in self.fleet.models.items()
                if LoadedModel(model.model, model.version) in loaded
            ]
            assert len(serving) >= model.replicas


TestOrderMachine = OrderMachine.TestCase
