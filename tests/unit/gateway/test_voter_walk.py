"""Random replacements, stops and losses; acknowledged changes stay readable."""

import pytest

from scalebend.core.control_state import PutRouting, RoutingResult
from scalebend.core.gateway.routing_store import pack_routing
from tests.lib.gateway_builders import build_routing
from tests.lib.voter_walk import VoterWalk
from tests.unit.test_control_group import commit

ROUNDS = 6
EVENTS_PER_ROUND = 5


@pytest.mark.parametrize("controls", [3, 5])
@pytest.mark.parametrize("seed", range(25))
def test_tolerated_losses_leave_every_acknowledged_change(seed, controls):
    walk = VoterWalk(seed, controls=controls)
    for version in range(1, ROUNDS + 1):
        stored = pack_routing(build_routing(version), f"{version}".encode())
        result = commit(walk.group, f"put-{version}", PutRouting(stored))
        assert result == RoutingResult(version), walk.events
        walk.play(EVENTS_PER_ROUND)
    walk.finish()
    stored = pack_routing(build_routing(99), b"99")
    assert commit(walk.group, "put-99", PutRouting(stored)) == RoutingResult(99)
