"""The control group under lost, late and duplicated messages and crashes."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from scalebend.core.control_state import Accepted, ApplyConfiguration, Barrier, Conflict
from scalebend.models.configuration import Configuration, ConfigurationChange, Model
from tests.lib.control_group import ControlGroup

NAMES = ("a", "b", "c")


def build_change(base, change, model="m"):
    configuration = Configuration(models=[Model(model)])
    return ApplyConfiguration(ConfigurationChange(base, change, configuration, "op"))


def build_group(names=NAMES, **options):
    group = ControlGroup(names, **options)
    group.settle()
    assert group.find_leader()
    return group


def commit(group, proposal, command):
    """Propose at the leader and retry until there is a result."""
    for _ in range(60):
        leader = group.find_leader()
        if leader is not None:
            group.propose(leader, proposal, command)
        group.advance(0.1)
        group.deliver_all()
        if proposal in group.results:
            return group.results[proposal]
    raise AssertionError("no result")


def test_group_forms_once_and_elects_one_leader():
    group = build_group()
    leaders = [n for n, m in group.members.items() if m.replica.is_leader]
    assert len(leaders) == 1
    assert len({m.replica.members for m in group.members.values()}) == 1


def test_group_is_not_formed_while_a_control_instance_is_missing():
    group = ControlGroup(NAMES)
    group.crash("c")
    for _ in range(40):
        group.advance(0.1)
        group.deliver_all()
    assert all(m.replica.members is None for m in group.members.values())


def test_resent_change_gets_the_result_of_the_first():
    group = build_group()
    assert commit(group, "p1", build_change(0, "x")) == Accepted(1)
    assert commit(group, "p2", build_change(1, "y")) == Accepted(2)
    assert commit(group, "p3", build_change(0, "x")) == Accepted(1)
    assert group.members["a"].state.configuration.version == 2


def test_second_change_on_one_base_gets_a_conflict():
    group = build_group()
    commit(group, "p1", build_change(0, "x", "first"))
    result = commit(group, "p2", build_change(0, "y", "second"))
    assert isinstance(result, Conflict)
    assert (result.winner.change, result.winner.operator) == ("x", "op")


def test_isolated_leader_steps_down_and_commits_nothing():
    group = build_group()
    deposed = group.find_leader()
    group.isolated.add(deposed)
    group.propose(deposed, "lost", build_change(0, "lost"))
    for _ in range(30):
        group.advance(0.1)
        group.deliver_all()
    assert not group.members[deposed].replica.is_leader
    assert "lost" not in group.results
    assert commit(group, "won", build_change(0, "won")) == Accepted(1)
    group.settle()
    versions = {m.state.configuration.change for m in group.members.values()}
    assert versions == {"won"}


def test_member_with_a_new_disk_becomes_a_voter_and_survives_another_loss():
    group = build_group()
    for number in range(30):
        commit(group, f"p{number}", build_change(number, f"c{number}"))
    victim = next(n for n in NAMES if n != group.find_leader())
    group.replace_disk(victim)
    group.settle()
    member = group.members[victim]
    assert member.replica.is_voter
    assert len(member.replica.members.voters) == 3
    second = next(n for n in NAMES if n != victim)
    group.crash(second)
    group.names.remove(second)
    group.settle()
    assert commit(group, "after", build_change(30, "after")) == Accepted(31)
    group.settle(1.0)
    assert member.state.configuration.version == 31


def test_empty_disk_does_not_form_a_second_group():
    group = build_group()
    commit(group, "p", build_change(0, "x"))
    for name in NAMES[1:]:
        group.crash(name)
    group.replace_disk("a")
    for _ in range(30):
        group.advance(0.1)
        group.deliver_all()
    assert group.members["a"].replica.members is None


def test_lagging_member_catches_up_by_snapshot():
    group = build_group()
    victim = next(n for n in NAMES if n != group.find_leader())
    group.crash(victim)
    for number in range(40):
        commit(group, f"p{number}", build_change(number, f"c{number}"))
    group.settle()
    member = group.members[victim]
    assert member.state.configuration.version == 40
    assert member.replica.log.base_index > 1


def test_planned_stop_transfers_leadership_without_a_timeout():
    group = build_group()
    deposed = group.find_leader()
    group.members[deposed].stop_leading(group.now)
    group.pump(deposed)
    group.deliver_all()
    assert group.find_leader() not in (None, deposed)


def test_many_changes_survive_restarts():
    group = build_group(snapshot_entries=64)
    for number in range(3_000):
        leader = group.find_leader()
        proposal = f"p{number}"
        group.propose(leader, proposal, build_change(number, f"c{number}"))
        group.advance(0.001)
        group.deliver_all()
        if proposal not in group.results:
            assert commit(group, proposal, build_change(number, f"c{number}"))
        if number % 500 == 250:
            name = NAMES[number // 500 % 3]
            group.crash(name)
            group.start(name)
            group.settle(1.5)
    group.settle(1.0)
    versions = {m.state.configuration.version for m in group.members.values()}
    assert versions == {3_000}


class ControlGroupMachine(RuleBasedStateMachine):
    """Messages are lost, delayed or duplicated; members crash between any two writes.

    Checked: one entry for each index and one leader for each term (in the group),
    versions never decrease, and no acknowledged change is undone.
    """

    @initialize()
    def start_group(self):
        self.group = build_group()
        self.count = 0
        self.versions = {}
        self.accepted = {}

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0]))
    def pass_time(self, seconds):
        self.group.advance(seconds)

    @rule(position=st.integers(0, 60), keep=st.booleans())
    def deliver(self, position, keep):
        if self.group.in_flight:
            self.group.deliver(position % len(self.group.in_flight), keep=keep)

    @rule()
    def deliver_many(self):
        self.group.deliver_all(40)

    @rule(position=st.integers(0, 60))
    def lose_message(self, position):
        if self.group.in_flight:
            del self.group.in_flight[position % len(self.group.in_flight)]

    @rule(name=st.sampled_from(NAMES))
    def propose(self, name):
        self.count += 1
        base = max((m.state.configuration.version for m in self.members()), default=0)
        command = build_change(base, f"change-{self.count}")
        self.group.propose(name, f"p{self.count}", command)

    @rule(name=st.sampled_from(NAMES), point=st.sampled_from([0, 1]))
    def crash_while_writing(self, name, point):
        if name in self.group.members:
            self.group.members[name].advance(self.group.now + 0.2)
            self.group.propose(name, "noise", Barrier())
            if name in self.group.members:
                self.group.pump(name, crash_after=point)
            self.group.crash(name)
            self.versions.pop(name, None)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        if name not in self.group.members:
            self.group.start(name)

    @rule(name=st.sampled_from(NAMES))
    def isolate(self, name):
        self.group.isolated = {name}

    @rule()
    def reconnect(self):
        self.group.isolated = set()

    @precondition(lambda self: self.group.find_leader())
    @rule()
    def record_accepted(self):
        for proposal, result in self.group.results.items():
            if isinstance(result, Accepted):
                self.accepted[proposal] = result.version

    @invariant()
    def versions_never_fall(self):
        for name, member in self.group.members.items():
            version = member.state.configuration.version
            assert version >= self.versions.get(name, 0)
            self.versions[name] = version

    def members(self):
        return self.group.members.values()

    def teardown(self):
        if not hasattr(self, "group"):
            return
        self.group.settle()
        acknowledged = {
            proposal: result.version
            for proposal, result in self.group.results.items()
            if isinstance(result, Accepted)
        }
        acknowledged.update(self.accepted)
        assert self.group.find_leader()
        newest = {m.state.configuration.version for m in self.members()}
        assert len(newest) == 1
        changes = self.list_accepted_changes()
        for proposal, version in acknowledged.items():
            assert changes[version - 1] == f"change-{proposal[1:]}"
        assert newest == {len(changes)}

    def list_accepted_changes(self):
        """Return the accepted changes, derived from the order of the log alone."""
        accepted_changes = []
        for command in self.group.list_commands():
            if (
                isinstance(command, ApplyConfiguration)
                and command.change.change not in accepted_changes
            ):
                if command.change.base == len(accepted_changes):
                    accepted_changes.append(command.change.change)
        return accepted_changes


TestControlGroupMachine = ControlGroupMachine.TestCase
