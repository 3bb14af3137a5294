"""The event loop keeps running while the HTTP libraries load."""

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


async def test_event_loop_runs_between_two_imports(modules):
    import_counts = []

    async def count_imports():
        while True:
            import_counts.append(len([name for name in modules if name in sys.modules]))
            await asyncio.sleep(0)

    task = asyncio.create_task(count_imports())
    await import_in_steps(modules)
    task.cancel()
    assert {1, 2, 3, 4} <= set(import_counts)


async def test_large_libraries_load_after_the_links_settle(modules, monkeypatch):
    monkeypatch.setattr(http_loading, "SMALL_LIBRARIES", modules[:1])
    monkeypatch.setattr(http_loading, "LARGE_LIBRARIES", modules[1:3])
    seen = []

    def is_settled():
        seen.append(modules[1] in sys.modules)
        return len(seen) == 3

    loaded = await load_http(modules[3], is_settled)
    assert loaded.__name__ == modules[3]
    assert seen == [False, False, False]


async def test_wait_for_links_is_limited(modules, monkeypatch):
    monkeypatch.setattr(http_loading, "SMALL_LIBRARIES", [])
    monkeypatch.setattr(http_loading, "LARGE_LIBRARIES", [])
    async with asyncio.timeout(1.0):
        assert await load_http(modules[0], lambda: False)


async def test_missing_module_is_an_error():
    with pytest.raises(ModuleNotFoundError):
        await import_in_steps(["no_such_module_anywhere"])
