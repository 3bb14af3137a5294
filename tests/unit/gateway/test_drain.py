"""Times of a planned stop."""

import msgspec
import pytest

from scalebend.core.gateway.drain import (
    LAST_ADMISSION_S,
    UNKNOWN_DURATION_S,
    Drain,
    estimate_duration,
)
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.replica_load import Job
from scalebend.models.calls import PromptSize
from scalebend.utils.stop_signal import STOP_MARGIN_S
from tests.lib.gateway_builders import PROFILE, build_call, build_endpoint, build_work


def build_prompt_call(prompt, expected):
    call = build_call()
    size = PromptSize(prompt, 4 * expected, expected)
    headers = msgspec.structs.replace(call.headers, prompt=size)
    return msgspec.structs.replace(call, headers=headers)


def describe_fleet(replicas=1):
    endpoints = [build_endpoint(number) for number in range(1, replicas + 1)]
    return EngineScheduler().describe_fleet(endpoints, PROFILE)


@pytest.mark.parametrize("grace", [1.0, 3.0, 8.0, 30.0])
def test_work_goes_on_until_the_last_sixth_of_the_grace(grace):
    drain = Drain(100.0, grace)
    assert 100.0 + grace * 5.0 / 6.0 < drain.end < 100.0 + grace
    assert drain.end >= 100.0 + grace - STOP_MARGIN_S


def test_time_for_admissions_and_for_work():
    drain = Drain(100.0, 8.0)
    assert drain.may_admit(100.0 + LAST_ADMISSION_S - 0.01)
    assert not drain.may_admit(100.0 + LAST_ADMISSION_S + 0.01)
    assert drain.has_time(2.0, drain.end - 2.01)
    assert not drain.has_time(2.0, drain.end - 1.99)


def test_plain_request_has_no_known_duration():
    assert estimate_duration(build_call(), None, 0.0) == UNKNOWN_DURATION_S


def test_duration_grows_with_the_prompt_and_the_response():
    fleet = describe_fleet()
    estimates = [
        estimate_duration(build_prompt_call(prompt, expected), fleet, 0.0)
        for prompt, expected in [(1_000, 100), (200_000, 100), (200_000, 5_000)]
    ]
    assert estimates == sorted(estimates)
    assert estimates[0] < 0.5 < 2.0 < estimates[1] < estimates[2] - 2.0


def test_duration_of_decoding_is_learned():
    """Callers often expect far too many tokens."""
    fleet = describe_fleet()
    call = build_prompt_call(1_000, 10_000)
    before = estimate_duration(call, fleet, 0.0)
    for number in range(500):
        work = build_work(number, 1_000, expected_tokens=10_000)
        fleet.decode_times.record(Job(work, [], 0.0), 1.0)
    assert estimate_duration(call, fleet, 0.0) < 1.2 < before
