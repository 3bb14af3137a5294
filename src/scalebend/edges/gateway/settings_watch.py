"""Reads the settings file again when it changes, or when a signal says so.

Only the addresses of control instances take effect in a running process; for the
others the log says that they wait for the next start.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import structlog

from scalebend.exceptions import DocumentError
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import InstanceId
from scalebend.platform.settings import read_gateway_settings

logger = structlog.get_logger(__name__)

PERIOD = 1.0
"""Seconds between two looks at the file: half of what a configuration may take."""

OnSeeds = Callable[[list[InstanceId]], None]


class SettingsWatch:
    """Watches one settings file."""

    def __init__(self, path: Path, settings: GatewaySettings) -> None:
        self._path = path
        self._settings = settings
        self._changed = asyncio.Event()
        self._modified_at = _read_modification(path)

    def note_signal(self) -> None:
        """Read the file again at once, changed or not."""
        self._changed.set()

    @contextlib.asynccontextmanager
    async def tell(self, on_seeds: OnSeeds) -> AsyncIterator[None]:
        """Call ``on_seeds`` at each change of the file until the block ends."""
        task = asyncio.create_task(self._run(on_seeds))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self, on_seeds: OnSeeds) -> None:
        while True:
            try:
                async with asyncio.timeout(PERIOD):
                    await self._changed.wait()
            except TimeoutError:
                if _read_modification(self._path) == self._modified_at:
                    continue
            self._changed.clear()
            self._modified_at = _read_modification(self._path)
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


def _read_modification(path: Path) -> int | None:
    """When the file was last written, in nanoseconds; ``None`` when there is none."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # It is being replaced: the next look finds it.
        return None
