"""``scalebend run``: runs an instance."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import structlog

from scalebend.commands.check import print_faults
from scalebend.edges.essential_tasks import end_process_without_essential_tasks
from scalebend.edges.http_server import drain, serve_instance
from scalebend.edges.logs import configure_logs
from scalebend.edges.settings_file import read_settings
from scalebend.exceptions import DocumentError, StorageError
from scalebend.models.settings import Settings

logger = structlog.get_logger(__name__)


def run(*, settings: Path) -> int:
    """Run an instance until SIGTERM, SIGINT or a drain request."""
    try:
        instance_settings = read_settings(settings)
    except DocumentError as error:
        print_faults(settings, error)
        return 2
    configure_logs(instance_settings.log)
    try:
        return asyncio.run(_run(instance_settings))
    except StorageError as error:
        print(f"{settings}: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"{settings}: {error}", file=sys.stderr)
        return 3


async def _run(settings: Settings) -> int:
    loop = asyncio.get_running_loop()
    end_process_without_essential_tasks(loop)
    async with serve_instance(settings) as runtime:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, runtime.stop_requested.set)
        await runtime.stop_requested.wait()
        is_clean = await drain(runtime, settings.limits.drain_time)
        logger.info("instance stops", clean=is_clean)
    return 0 if is_clean else 1
