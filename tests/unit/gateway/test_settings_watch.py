"""A settings file that changes: its seeds are told, a broken one changes nothing."""

import asyncio

import msgspec
import pytest

from scalebend.edges.gateway import settings_watch
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.platform.settings import encode_gateway_settings, read_gateway_settings
from tests.lib.gateway_builders import build_settings


@pytest.fixture(autouse=True)
def look_often(monkeypatch):
    monkeypatch.setattr(settings_watch, "PERIOD", 0.02)


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


async def test_changed_file_is_read_without_a_signal(path):
    told = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(told.append):
        await asyncio.sleep(0.1)
        assert told == []
        write_seeds(path, "10.0.0.9:7340")
        await wait_for(lambda: told == [["10.0.0.9:7340"]])


async def test_signal_reads_the_file_at_once(path, monkeypatch):
    monkeypatch.setattr(settings_watch, "PERIOD", 60.0)
    told = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(told.append):
        write_seeds(path, "10.0.0.9:7340")
        watch.request_reload()
        await wait_for(lambda: told == [["10.0.0.9:7340"]])


async def test_broken_file_changes_nothing(path):
    told = []
    watch = SettingsWatch(path, read_gateway_settings(path))
    async with watch.watch_seeds(told.append):
        path.write_text("{")
        await asyncio.sleep(0.1)
        path.unlink()
        await asyncio.sleep(0.1)
        assert told == []
        write_seeds(path, "10.0.0.8:7340")
        await wait_for(lambda: told == [["10.0.0.8:7340"]])
