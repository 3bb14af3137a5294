"""Finds out whether a host accepts connections.

The kernel of a host accepts them even while the process that listens pauses.
"""

from __future__ import annotations

import asyncio
import errno
from enum import Enum

import structlog

from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)

CHECK_TIMEOUT_S = 0.1
"""Time for a connection: many round trips within a region."""

_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
"""Errors of this process, which say nothing about a way."""

MAX_TIMER_DELAY_S = 0.03
"""Time by which a timer may be late. One that is later shows that this process stood
still, so that a connection may have come about without being noticed."""


class Acceptance(Enum):
    """Whether a host accepts connections."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"
    """This process stood still, or had no room for a connection."""


def is_own_fault(error: OSError, waited: float, timeout_s: float) -> bool:
    """Whether a connection failed for a reason that says nothing of its host.

    ``waited`` seconds passed until ``error``, of a connection with this timeout.
    """
    is_late = waited >= timeout_s + MAX_TIMER_DELAY_S
    return is_late or error.errno in _LOCAL_ERRORS


async def check_acceptance(address: str) -> Acceptance:
    """Open a connection to an address, and close it."""
    loop = asyncio.get_running_loop()
    parsed = parse_address(address)
    began = loop.time()
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(parsed.host, parsed.port)
    except (OSError, TimeoutError) as error:
        is_unknown = is_own_fault(error, loop.time() - began, CHECK_TIMEOUT_S)
        acceptance = Acceptance.UNKNOWN if is_unknown else Acceptance.NOT_ACCEPTED
        logger.info(
            "connection not accepted",
            address=address,
            error=f"{type(error).__name__}: {error}",
            result=acceptance.value,
        )
        return acceptance
    writer.close()
    return Acceptance.ACCEPTED
