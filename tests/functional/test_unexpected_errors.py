"""Callers of an instance get an answer to errors that nobody foresaw."""

import pytest
import structlog

from scalebend.core.instance import Instance
from scalebend.edges.exchange import Exchange
from tests.functional.test_requests import read_problem
from tests.lib.fleet import run_fleet


def fail(*args, **kwargs):
    raise AssertionError("a bug")


# Guards against answers that no caller can read, and requests that stay open for good.
@pytest.mark.parametrize(
    ("owner", "name"), [(Instance, "admit"), (Exchange, "__init__")]
)
async def test_unexpected_error_is_answered_and_logged(monkeypatch, owner, name):
    async with run_fleet() as fleet:
        with structlog.testing.capture_logs() as logs:
            with monkeypatch.context() as patch:
                patch.setattr(owner, name, fail)
                async with fleet.complete("prompt") as response:
                    await read_problem(response, 500, "internal", ran="unknown")
        (line,) = [one for one in logs if one["event"] == "request failed unexpectedly"]
        assert line["log_level"] == "error"
        assert line["path"] == "/v1/completions"
        assert fleet.runtime.count_open() == 0
        async with fleet.complete("prompt") as response:
            assert response.status == 200
            await response.read()
