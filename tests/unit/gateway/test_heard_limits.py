"""Rate limits that a front reads in the responses of upstreams."""

import pytest
from aiohttp import web

from scalebend.core.rate_limits import ABSENT_RETENTION_S, RateLimits
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_routing

UPSTREAM = UpstreamId("i-1")


def apply(limits, rate, revision):
    changed = limits.apply(ObservedLimit(UPSTREAM, rate, revision))
    return changed.revision if changed is not None else None


def test_lower_limit_applies_from_any_response():
    limits = RateLimits()
    assert apply(limits, 4.0, revision=0) == 1
    assert apply(limits, 2.0, revision=0) == 2
    assert limits.get(UPSTREAM).rate == 2.0


@pytest.mark.parametrize("rate", [4.0, UNLIMITED])
def test_higher_limit_applies_only_if_sent_under_the_current_revision(rate):
    limits = RateLimits()
    apply(limits, 2.0, revision=0)
    # The response to a request that was sent before the limit was known.
    assert apply(limits, rate, revision=0) is None
    assert limits.get(UPSTREAM).rate == 2.0
    assert apply(limits, rate, revision=1) == 2
    assert limits.get(UPSTREAM).rate == rate


def test_limit_named_again_after_its_end_has_a_new_revision():
    limits = RateLimits()
    apply(limits, 2.0, revision=0)
    apply(limits, UNLIMITED, revision=1)
    assert not limits.is_limited(UPSTREAM)
    apply(limits, 2.0, revision=2)
    assert apply(limits, UNLIMITED, revision=2) is None
    assert limits.is_limited(UPSTREAM)


def test_absent_upstreams_expire():
    limits = RateLimits()
    apply(limits, 2.0, revision=0)
    limits.retain([UPSTREAM], 0.0)
    limits.retain([], 1.0)
    # It may only have lost its connection to control.
    limits.retain([], ABSENT_RETENTION_S)
    assert limits.count_limited() == 1
    limits.retain([], 1.0 + ABSENT_RETENTION_S)
    assert limits.count_limited() == 0
    assert limits.get(UPSTREAM).revision == 0


class Replica:
    """Responds with a limit, a status and an echoed id that the test sets."""

    def __init__(self):
        self.limit = None
        self.status = 200
        self.echo = None

    async def respond(self, request):
        await request.read()
        echo = self.echo or request.headers["X-Request-Id"]
        headers = {"X-Request-Id": echo, "X-Server-Seal": "s"}
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
        if self.status == 503:
            headers["X-Not-Executed"] = "true"
        return web.Response(status=self.status, headers=headers, body=b"done")


async def test_front_reads_limits_in_responses():
    replica = Replica()
    async with run_front(build_routing()) as front, serve(replica.respond) as address:
        upstream = front.add(1, address).upstream
        limits = front.runtime.instance.limits

        async def call(**changes):
            replica.limit, replica.status, replica.echo = None, 200, None
            for name, value in changes.items():
                setattr(replica, name, value)
            response = await front.call()
            return response, limits.get(upstream).rate

        assert (await call())[1] == UNLIMITED
        response, rate = await call(limit="50.5")
        assert rate == 50.5
        # Callers receive the header unchanged.
        assert response.headers["Server-Limit"] == "50.5"
        for ignored in ({"echo": "of-another"}, {"status": 503}, {"limit": "x"}):
            assert (await call(**ignored))[1] == 50.5
        assert (await call(limit="40", status=503))[1] == 40.0
        assert (await call(limit="60"))[1] == 60.0
        assert (await call())[1] == UNLIMITED
