"""What ceilings apply to: replicas that are known, of services with slow start only."""

from scalebend.core.gateway.messages import SendPermitRequest
from scalebend.models.ids import UpstreamId
from tests.lib.slow_start_load import SlowStartLoad


def test_upstreams_that_are_not_registered_get_no_permit():
    load = SlowStartLoad(2, 2, rate=0.0)
    load.run(2.0)
    gone, kept = load.names
    leader = load.deployment.leader
    front = load.deployment.fronts[0]
    for directory in (leader.directory, front.directory):
        directory.remove(gone, load.now)
    for upstream, is_granted in (("i-99", False), (gone, False), (kept, True)):
        request = SendPermitRequest(1, [UpstreamId(upstream)], 0.0)
        granted = leader.limits.grant(request, load.now, may_grant=True)
        assert (granted.upstream is not None) == is_granted
        if not is_granted:
            assert front.limits.grant(request, load.now).upstream is None
            assert 0.0 < granted.wait < 1.0


def test_upstreams_that_are_not_registered_get_permits_without_slow_start():
    load = SlowStartLoad(2, 2, rate=0.0, slow_start=None)
    request = SendPermitRequest(1, [UpstreamId("i-99")], 0.0)
    limits = load.deployment.leader.limits
    assert limits.grant(request, load.now, may_grant=True).upstream == "i-99"
