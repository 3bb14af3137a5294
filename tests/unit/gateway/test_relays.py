"""Relays: discovery and founding of the control group.

Also covers the links of two processes on one host.
"""

import asyncio
import json

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from scalebend.core.control_state import PutRouting, RoutingResult
from scalebend.core.gateway.link_history import MAX_STARTS, WINDOW_S, LinkHistory
from scalebend.core.gateway.messages import ControlStatus, Introduce, KnownInstances
from scalebend.core.gateway.relay_instance import RelayInstance
from scalebend.core.gateway.routing_store import pack_routing
from scalebend.core.messages import Hello
from scalebend.edges.gateway.links import Dialer, LinkServer
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.placement import build_job_id, is_job_of
from scalebend.platform.settings import read_gateway_settings
from scalebend.standins.ports import find_free_ports
from tests.lib.control_group import ControlGroup, Disk
from tests.lib.gateway_builders import build_routing, build_settings
from tests.unit.gateway.test_platform import SETTINGS
from tests.unit.test_control_group import commit

MEMBERS = ("a", "b", "c")
RELAYS = ("r", "s", "t")


class RelayedGroup(ControlGroup):
    """Members with disks, and relays; both may be seeds."""

    def __init__(self, seeds, relays=RELAYS, members=MEMBERS):
        self.relays = {}
        self.seeds = seeds
        self.is_first_start = True
        for name in relays:
            self.start_relay(name)
        super().__init__(members, seeds=seeds, voters_wanted=3)

    def start_relay(self, name):
        relay = RelayInstance(name, self.seeds, is_first_start=self.is_first_start)
        self.relays[name] = relay

    def start(self, name):
        super().start(name)
        self.members[name]._may_be_sole_founder = self.is_first_start

    def deliver(self, position, *, keep=False):
        sender, to, message = self.in_flight[position]
        if to not in self.relays:
            super().deliver(position, keep=keep)
            return
        if not keep:
            del self.in_flight[position]
        if isinstance(message, Hello) and not {sender, to} & self.isolated:
            reply = self.relays[to].reply_to_hello(sender, message)
            self.in_flight.append((to, sender, reply))

    def introduce_relays(self):
        """Exchange the known members between the relays, as over their links."""
        for name, relay in self.relays.items():
            for other, other_relay in self.relays.items():
                if other != name:
                    relay.handle(other, KnownInstances(other_relay.list_members()))

    def list_groups(self):
        """Return the distinct voter sets that members hold."""
        held = [m.replica.members for m in self.members.values()]
        return {one.voters for one in held if one is not None}


def put(group, version):
    stored = pack_routing(build_routing(version), f"{version}".encode())
    assert commit(group, f"put-{version}", PutRouting(stored)) == RoutingResult(version)


@pytest.mark.parametrize(
    "seeds",
    [("r", "s", "t"), ("a", "r", "s"), ("a", "b", "r"), ("a", "b", "c"), ("r", "b")],
)
def test_members_find_each_other_with_any_seeds(seeds):
    group = RelayedGroup(seeds)
    group.introduce_relays()
    group.settle(12.0)
    leader = group.find_leader()
    voters = {m.instance for m in group.members[leader].replica.members.voters}
    assert voters == set(MEMBERS)
    put(group, 1)


def test_no_founder_is_chosen_before_all_seeds_are_known_to_be_relays():
    group = RelayedGroup(("r", "s", "t"))
    group.settle(3.0)
    assert group.find_leader() is None
    group.introduce_relays()
    group.settle(12.0)
    put(group, 1)


def test_relay_chooses_no_founder_if_a_seed_has_a_disk():
    group = RelayedGroup(("r", "a", "s"))
    group.crash("a")
    group.introduce_relays()
    for _ in range(30):
        group.advance(0.1)
        group.deliver_all()
    assert not group.list_groups()


def test_restarted_relay_chooses_no_second_founder():
    group = RelayedGroup(("r", "s", "t"))
    group.introduce_relays()
    group.settle(12.0)
    put(group, 1)
    group.is_first_start = False
    for name in MEMBERS:
        group.crash(name)
        group.disks[name] = Disk(f"{name}-disk-new")
    for name in RELAYS:
        group.start_relay(name)
    group.introduce_relays()
    group.settle(6.0)
    assert group.find_leader() is None


class RelaysAndRestarts(RuleBasedStateMachine):
    """Members and relays restart at any time; only one group exists and keeps its data.

    The group itself checks that a term has one leader and an index one entry.
    """

    @initialize(seeds=st.sampled_from([RELAYS, ("a", "r", "s"), ("a", "b", "t")]))
    def found(self, seeds):
        self.group = RelayedGroup(seeds)
        self.group.introduce_relays()
        self.version = 0

    @rule(name=st.sampled_from(MEMBERS))
    def restart_member(self, name):
        self.group.crash(name)
        self.group.start(name)

    @rule(name=st.sampled_from(RELAYS))
    def restart_relay(self, name):
        self.group.is_first_start = False
        self.group.start_relay(name)
        self.group.introduce_relays()

    @rule(ticks=st.integers(1, 20))
    def run(self, ticks):
        for _ in range(ticks):
            self.group.advance(0.1)
            self.group.deliver_all()

    @rule()
    def change(self):
        if self.group.find_leader() is None:
            return
        self.group.settle(3.0)
        self.version += 1
        put(self.group, self.version)

    @invariant()
    def first_lists_agree(self):
        # Two separate groups would have founders without a common member.
        groups = list(self.group.list_groups())
        named = [{member.instance for member in group} for group in groups]
        assert all(one & other for one in named for other in named)


TestRelaysAndRestarts = RelaysAndRestarts.TestCase


def test_relay_forwards_calls_to_the_leader_or_any_member():
    relay = RelayInstance("r", ["s", "a"], is_first_start=False)
    assert relay.choose_target() is None
    for instance in ("s", "a", "b"):
        relay.add_link(instance)
    relay.handle("s", KnownInstances(["a"]))
    assert relay.choose_target() == "a"
    relay.handle("a", ControlStatus(["a", "b"], "b", 3, 2))
    assert relay.choose_target() == "b"
    assert relay.list_members() == ["a", "b"]
    relay.remove_link("b")
    assert relay.choose_target() == "a"
    # A member that was partitioned still names the leader of an earlier term.
    relay.handle("s", ControlStatus(["a", "b"], "b", 2, 2))
    assert relay.choose_target() == "a"


def test_control_process_without_a_disk_is_a_relay(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**SETTINGS, "DataDir": None}))
    assert read_gateway_settings(path).role is GatewayRole.RELAY


def build_shared_host_settings():
    """Build the settings of a front and of a control process on one host."""
    front = build_settings(link_address="127.0.0.1:7340")
    control = build_settings(
        link_address="127.0.0.1:7340", role=GatewayRole.CONTROL, name=front.name
    )
    return front, control


def test_processes_on_one_host_have_different_ids():
    front, control = build_shared_host_settings()
    assert front.instance != control.instance
    job = build_job_id(front.instance, 7, 1)
    assert is_job_of(front.instance, job)
    assert not is_job_of(control.instance, job)


async def test_links_of_two_processes_on_one_host_both_stay():
    up, down = [], []
    server = LinkServer(lambda *_: None, up.append, down.append, GatewayMetrics())
    (port,) = find_free_ports(1)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.build_link, "127.0.0.1", port)
    dialers = []
    for settings in build_shared_host_settings():
        introduction = Introduce(settings.instance, 1, settings.role)
        dialer = Dialer(
            introduction,
            lambda *_: None,
            lambda _: None,
            lambda _: None,
            GatewayMetrics(),
        )
        dialer.dial(f"127.0.0.1:{port}")
        dialers.append(dialer)
    async with asyncio.timeout(5.0):
        while len(up) < 2:
            await asyncio.sleep(0.01)
    # A replaced link would be dialled again immediately.
    await asyncio.sleep(0.3)
    assert len(up) == 2
    assert not down
    for dialer in dialers:
        await dialer.close()
    listener.close()
    server.close()


def test_link_that_comes_up_again_and_again_is_unstable():
    history = LinkHistory()
    starts = [history.record_start("a", float(n)) for n in range(MAX_STARTS + 1)]
    assert starts == [False] * MAX_STARTS + [True]
    # Reported once, then counted from zero.
    assert not history.record_start("a", MAX_STARTS + 1.0)
    rare = [history.record_start("b", n * WINDOW_S / 2) for n in range(40)]
    assert not any(rare)
