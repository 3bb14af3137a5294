"""The log on disk of an instance's control member, reopened after a disk error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from scalebend.core.instance import Instance
from scalebend.edges.control_pump import Finish, pump_control
from scalebend.exceptions import StorageError
from scalebend.storage.journal import Journal

logger = structlog.get_logger(__name__)

REOPEN_DELAY_S = 0.3
"""Time before the log is reopened after a disk error."""


class ControlLog:
    """Writes the output of the control member of ``instance`` to its journal.

    After an error it is not known what the disk holds: a record may be torn, and a
    later sync may succeed without it. The member goes on from what can be read back,
    and takes no part in the group meanwhile.
    """

    def __init__(
        self,
        instance: Instance,
        journal: Journal,
        finish: Finish,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._instance = instance
        self._journal = journal
        self._finish = finish
        self._now = now
        self._spawn = spawn

    def pump(self) -> None:
        """Write, send and apply what the member has pending."""
        member = self._instance.control
        if member is None:
            return
        try:
            pump_control(member, self._journal, self._finish, self._now())
        except OSError as error:
            logger.error("log not written", error=str(error))
            self._instance.stop_control()
            self._spawn(self._reopen())

    async def _reopen(self) -> None:
        while True:
            self._journal.close()
            await asyncio.sleep(REOPEN_DELAY_S)
            try:
                recovered = self._journal.recover()
            except OSError as error:
                logger.error("log not reopened", error=str(error))
                continue
            except StorageError as error:
                logger.error("log damaged", error=str(error))
                return
            self._instance.start_control(recovered, self._now())
            logger.info("log reopened", entries=len(recovered.entries))
            return
