"""Loading modules leaves the event loop its turns."""

import asyncio
import sys

import pytest

from scalebend.edges.gateway import http_loading
from scalebend.edges.gateway.http_loading import import_in_steps, load_http


@pytest.fixture
def modules(tmp_path, monkeypatch):
    monkeypatch.syspath_prepend(tmp_path)
    names = [f"slow_module_{number}" for number in range(4)]
    for name in names:
        (tmp_path / f"{name}.py").write_text("import time\ntime.sleep(0.03)\n")
    yield names
    for name in names:
        sys.modules.pop(name, None)


async def test_others_run_between_two_modules(modules):
    turns = []

    async def count():
        while True:
            turns.append(len([name for name in modules if name in sys.modules]))
            await asyncio.sleep(0)

    task = asyncio.create_task(count())
    await import_in_steps(modules)
    task.cancel()
    assert {1, 2, 3, 4} <= set(turns)


async def test_large_libraries_wait_a_little_for_the_links(modules, monkeypatch):
    monkeypatch.setattr(http_loading, "SMALL_LIBRARIES", modules[:1])
    monkeypatch.setattr(http_loading, "LARGE_LIBRARIES", modules[1:3])
    seen = []

    def is_settled():
        seen.append(modules[1] in sys.modules)
        return len(seen) == 3

    loaded = await load_http(modules[3], is_settled)
    assert loaded.__name__ == modules[3]
    assert seen == [False, False, False]


async def test_links_that_do_not_come_up_hold_nothing_up(modules, monkeypatch):
    monkeypatch.setattr(http_loading, "SMALL_LIBRARIES", [])
    monkeypatch.setattr(http_loading, "LARGE_LIBRARIES", [])
    async with asyncio.timeout(1.0):
        assert await load_http(modules[0], lambda: False)


async def test_missing_module_is_an_error():
    with pytest.raises(ModuleNotFoundError):
        await import_in_steps(["no_such_module_anywhere"])
