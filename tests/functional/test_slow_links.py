"""Processes whose links to the control instances are slow from the start."""

import asyncio
import contextlib

import aiohttp
import pytest

from scalebend.soak.deployment import run_deployment
from scalebend.soak.layout import build_layout
from scalebend.soak.observations import Observations
from scalebend.soak.operator import CALL_TIMEOUT_S, Operator
from scalebend.soak.runner import START_TIMEOUT_S
from scalebend.standins.proxy import Rule


@contextlib.asynccontextmanager
async def run_group(folder):
    """Run three control instances and a front; yield what a test uses of them."""
    layout = build_layout(3, 1, 0)
    observations = Observations()
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with (
        run_deployment(folder, layout, observations) as deployment,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        addresses = {c: deployment.get_call_address(c) for c in layout.controls}
        operator = Operator(addresses, observations, seed=500)
        yield deployment, operator, session
    assert observations.exits == []


@contextlib.contextmanager
def delay_links(deployment, delay):
    """Delay the bytes of all links, in both directions, until the block ends."""
    with contextlib.ExitStack() as stack:
        for proxy in deployment.link_proxies.values():
            stack.enter_context(proxy.apply(Rule(None, delay=delay)))
        yield


# Guards against elections whose votes always arrive after the candidate gave up.
@pytest.mark.parametrize("delay", [0.1, 0.3])
async def test_first_document_is_acknowledged(delay, tmp_path):
    async with run_group(tmp_path) as (deployment, operator, session):
        with delay_links(deployment, delay):
            async with asyncio.timeout(START_TIMEOUT_S):
                await operator.change(session)
