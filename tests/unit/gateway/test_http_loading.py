"""Loading modules leaves the event loop its turns."""

import asyncio
import sys

import pytest

from scalebend.edges.gateway.http_loading import load_in_turns


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
    loaded = await load_in_turns(modules[:-1], modules[-1])
    task.cancel()
    assert loaded.__name__ == modules[-1]
    assert {1, 2, 3} <= set(turns)


async def test_missing_module_is_an_error(modules):
    with pytest.raises(ModuleNotFoundError):
        await load_in_turns([], "no_such_module_anywhere")
