"""A changed settings file updates the seeds; an invalid one changes nothing."""

import asyncio

import msgspec
import pytest

from scalebend.edges.gateway import settings_watch
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.platform.settings import encode_gateway_settings, read_gateway_settings
from tests.lib.gateway_builders import build_settings


@pytest.fixture(autouse=True)
def check_often(monkeypatch):
    monkeypatch.setattr(settings_watch, "CHECK_INTERVAL_S", 0.02)


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "node.json"
    path.write_bytes(encode_gateway_settings(build_settings()))
    return path


def write_seeds(path, *seeds):
    changed = msgspec.structs.replace(build_settings(), seeds=list(seeds))
    path.write_bytes(encode_gateway_settings(changed))


async def wait_for(condition):
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_changed_file_is_reloaded_without_a_signal(path):
    seed_updates = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(seed_updates.append):
        await asyncio.sleep(0.1)
        assert seed_updates == []
        write_seeds(path, "10.0.0.9:7340")
        await wait_for(lambda: seed_updates == [["10.0.0.9:7340"]])


async def test_signal_reloads_the_file_at_once(path, monkeypatch):
    monkeypatch.setattr(settings_watch, "CHECK_INTERVAL_S", 60.0)
    seed_updates = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(seed_updates.append):
        write_seeds(path, "10.0.0.9:7340")
        watch.request_reload()
        await wait_for(lambda: seed_updates == [["10.0.0.9:7340"]])


async def test_invalid_file_is_ignored(path):
    seed_updates = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(seed_updates.append):
        path.write_text("{")
        await asyncio.sleep(0.1)
        path.unlink()
        await asyncio.sleep(0.1)
        assert seed_updates == []
        write_seeds(path, "10.0.0.8:7340")
        await wait_for(lambda: seed_updates == [["10.0.0.8:7340"]])
