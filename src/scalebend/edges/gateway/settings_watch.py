"""Reloads the settings file when it changes or on a signal.

Only the addresses of control instances take effect in a running process; other changed
settings are logged and need a restart.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import structlog

from scalebend.edges.essential_tasks import start_essential_task
from scalebend.exceptions import DocumentError
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import InstanceId
from scalebend.platform.settings import read_gateway_settings

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 1.0
"""Seconds between two checks of the file, half the time limit of a change."""

OnSeeds = Callable[[list[InstanceId]], None]


class SettingsWatch:
    """Watches one settings file."""

    def __init__(self, path: Path, settings: GatewaySettings) -> None:
        self._path = path
        self._settings = settings
        self._reload_requested = asyncio.Event()
        self._modified_at_ns = _read_modified_at_ns(path)

    def request_reload(self) -> None:
        """Reload the file at once, even if unchanged."""
        self._reload_requested.set()

    @contextlib.asynccontextmanager
    async def watch_seeds(self, on_seeds: OnSeeds) -> AsyncIterator[None]:
        """Call ``on_seeds`` at each reload of the file until the block ends."""
        task = start_essential_task("settings watch", self._run(on_seeds))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self, on_seeds: OnSeeds) -> None:
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                if _read_modified_at_ns(self._path) == self._modified_at_ns:
                    continue
            self._reload_requested.clear()
            self._modified_at_ns = _read_modified_at_ns(self._path)
            self._reload(on_seeds)

    def _reload(self, on_seeds: OnSeeds) -> None:
        try:
            read = read_gateway_settings(self._path)
        except DocumentError as error:
            logger.warning("settings not read, the old ones stay", fault=error.detail)
            return
        differing = [
            name
            for name in GatewaySettings.__struct_fields__
            if name not in ("seeds", "link_listen", "is_first_start")
            and getattr(read, name) != getattr(self._settings, name)
        ]
        logger.info("settings reloaded", seeds=read.seeds, wait_for_start=differing)
        on_seeds([InstanceId(seed) for seed in read.seeds])


def _read_modified_at_ns(path: Path) -> int | None:
    """Return the file's modification time in ns; ``None`` if it is missing."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced: the next check finds it.
        return None
