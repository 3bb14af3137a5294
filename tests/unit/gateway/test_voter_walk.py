"""Random replacements, stops and losses; acknowledged changes stay readable."""

import pytest

from scalebend.core.control_state import PutRouting, RoutingResult
from scalebend.core.gateway.routing_store import pack_routing
from tests.lib.control_group import TICK_S
from tests.lib.gateway_builders import build_routing
from tests.lib.voter_walk import VoterWalk

ROUNDS = 6
EVENTS_PER_ROUND = 5

RECOVERY_S = 12.0
"""Time after which the group decides again."""


def put(walk, version):
    """Propose at each leader until there is a result."""
    stored = pack_routing(build_routing(version), f"{version}".encode())
    name = f"put-{version}"
    began = walk.group.now
    while name not in walk.group.results:
        assert walk.group.now - began < RECOVERY_S, walk.events
        leader = walk.group.find_leader()
        if leader is not None:
            walk.group.propose(leader, name, PutRouting(stored))
        walk.run(TICK_S)
    assert walk.group.results[name] == RoutingResult(version)


@pytest.mark.parametrize("controls", [3, 5])
@pytest.mark.parametrize("seed", range(25))
def test_tolerated_losses_leave_every_acknowledged_change(seed, controls):
    walk = VoterWalk(seed, controls=controls)
    for version in range(1, ROUNDS + 1):
        put(walk, version)
        walk.play(EVENTS_PER_ROUND)
    walk.finish()
    put(walk, ROUNDS + 1)
    walk.group.settle(RECOVERY_S)
    versions = {m.state.routing.version for m in walk.group.members.values()}
    assert versions == {ROUNDS + 1}
