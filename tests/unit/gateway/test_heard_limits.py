"""What a front learns of limits on requests a second from upstreams' answers."""

import pytest
from aiohttp import web

from scalebend.core.request_limits import ABSENT_RETENTION_S, RequestLimits
from scalebend.models.ids import UpstreamId
from scalebend.models.request_limits import UNLIMITED, HeardLimit
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_routing

UPSTREAM = UpstreamId("i-1")


def hear(limits, rate, revision):
    changed = limits.apply(HeardLimit(UPSTREAM, rate, revision))
    return changed.revision if changed is not None else None


def test_lower_limit_counts_from_any_answer():
    limits = RequestLimits()
    assert hear(limits, 4.0, revision=0) == 1
    assert hear(limits, 2.0, revision=0) == 2
    assert limits.get(UPSTREAM).rate == 2.0


@pytest.mark.parametrize("rate", [4.0, UNLIMITED])
def test_higher_limit_counts_only_from_who_was_asked_under_the_present_one(rate):
    limits = RequestLimits()
    hear(limits, 2.0, revision=0)
    # It was on its way before the upstream named its limit.
    assert hear(limits, rate, revision=0) is None
    assert limits.get(UPSTREAM).rate == 2.0
    assert hear(limits, rate, revision=1) == 2
    assert limits.get(UPSTREAM).rate == rate


def test_limit_that_ended_and_comes_again_is_another_one():
    limits = RequestLimits()
    hear(limits, 2.0, revision=0)
    hear(limits, UNLIMITED, revision=1)
    assert not limits.is_limited(UPSTREAM)
    hear(limits, 2.0, revision=2)
    assert hear(limits, UNLIMITED, revision=2) is None
    assert limits.is_limited(UPSTREAM)


def test_upstreams_that_are_gone_are_forgotten():
    limits = RequestLimits()
    hear(limits, 2.0, revision=0)
    limits.retain([UPSTREAM], 0.0)
    limits.retain([], 1.0)
    # It may only have lost its way to control.
    limits.retain([], ABSENT_RETENTION_S)
    assert limits.count_limited() == 1
    limits.retain([], 1.0 + ABSENT_RETENTION_S)
    assert limits.count_limited() == 0
    assert limits.get(UPSTREAM).revision == 0


class Replica:
    """Answers with a limit, a status and an echo that the test sets."""

    def __init__(self):
        self.limit = None
        self.status = 200
        self.echo = None

    async def answer(self, request):
        await request.read()
        echo = self.echo or request.headers["X-Request-Id"]
        headers = {"X-Request-Id": echo, "X-Server-Seal": "s"}
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
        if self.status == 503:
            headers["X-Not-Executed"] = "true"
        return web.Response(status=self.status, headers=headers, body=b"done")


async def test_front_learns_of_limits_from_answers():
    replica = Replica()
    async with run_front(build_routing()) as front, serve(replica.answer) as address:
        upstream = front.add(1, address).upstream
        limits = front.runtime.instance.limits

        async def call(**changes):
            replica.limit, replica.status, replica.echo = None, 200, None
            for name, value in changes.items():
                setattr(replica, name, value)
            answer = await front.call()
            return answer, limits.get(upstream).rate

        assert (await call())[1] == UNLIMITED
        answer, rate = await call(limit="50.5")
        assert rate == 50.5
        # Callers get it as it was sent.
        assert answer.headers["Server-Limit"] == "50.5"
        for silent in ({"echo": "of-another"}, {"status": 503}, {"limit": "x"}):
            assert (await call(**silent))[1] == 50.5
        assert (await call(limit="40", status=503))[1] == 40.0
        assert (await call(limit="60"))[1] == 60.0
        assert (await call())[1] == UNLIMITED
