"""A short soak with a fixed seed, and the seeds that ever failed."""

import pytest

from scalebend.soak.layout import build_layout
from scalebend.soak.runner import SoakOptions, run_soak

SECONDS = 12.0


@pytest.mark.parametrize("seed", [1])
async def test_promises_are_kept(seed, tmp_path):
    options = SoakOptions(seed, SECONDS, build_layout(3, 2, 6), 8, tmp_path)
    report = await run_soak(options)
    assert report.violations == []
    assert report.served > 100
