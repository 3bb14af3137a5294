"""Tasks without which a process is useless, and the end of a process that loses one.

Whoever started such a process takes it for alive, and others keep their connections to
it. Once it ends, it is started again, and others take over at once.
"""

from __future__ import annotations

import asyncio
import os
import traceback
from collections.abc import Coroutine
from typing import Any

import structlog

logger = structlog.get_logger(__name__)

EXIT_STATUS = 70
"""Exit status of a process that lost an essential task."""

_TASK_KEY = "essential_task"


def start_essential_task(
    name: str, work: Coroutine[Any, Any, None]
) -> asyncio.Task[None]:
    """Run ``work``, which ends only if it is cancelled.

    Otherwise the handler of the event loop is called, which ends the process where
    :func:`end_process_without_essential_tasks` was.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_report_end)
    return task


def end_process_without_essential_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """End this process as soon as an essential task has ended."""
    loop.set_exception_handler(_handle)


def _report_end(task: asyncio.Task[None]) -> None:
    if task.cancelled() and task.cancelling():
        return
    # A call within the task may have been cancelled, which ends the task as well.
    error = asyncio.CancelledError() if task.cancelled() else task.exception()
    context = {
        "message": f"essential task ended: {task.get_name()}",
        "exception": error,
        _TASK_KEY: task.get_name(),
    }
    task.get_loop().call_exception_handler(context)


def _handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    name = context.get(_TASK_KEY)
    if name is None:
        loop.default_exception_handler(context)
        return
    error = context["exception"]
    logger.critical(
        "process ends without an essential task",
        task=name,
        error=_describe(error),
        traceback="".join(traceback.format_exception(error)) if error else None,
    )
    # Other tasks may wait for the one that ended: a regular end could take forever.
    os._exit(EXIT_STATUS)


def _describe(error: BaseException | None) -> str:
    if error is None:
        return "it returned"
    return f"{type(error).__name__}: {error}"
