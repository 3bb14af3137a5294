"""Loads the HTTP libraries while the event loop keeps running.

They take most of the processor time of a start, and links do not need them: meanwhile
links come up, a group elects its leader, and a front receives its routing document.
"""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable, Iterable
from types import ModuleType

SMALL_LIBRARIES = ("multidict", "yarl", "attr")
LARGE_LIBRARIES = ("aiohttp", "aiohttp.web")
"""In the order of their dependencies. The first large one blocks the event loop for
long where the process has only a part of a core."""

LOOP_TURN_S = 0.002
"""Seconds for the event loop between two imports, a round trip to another availability
zone. Not a thread: on a part of one core, imports in a thread starve the event loop.
On 0.12 of a core links then come up after all imports, 0.75 s later than this way."""

MAX_SETTLE_WAIT_S = 0.025
"""Maximum time to wait for messages on the links before the large imports: a few round
trips between availability zones, and a routing document over a slow link."""


async def load_http(module_name: str, is_settled: Callable[[], bool]) -> ModuleType:
    """Import a module that serves HTTP.

    ``is_settled`` returns whether no more messages are expected over the links now.
    """
    await import_in_steps(SMALL_LIBRARIES)
    waited = 0.0
    while waited < MAX_SETTLE_WAIT_S and not is_settled():
        await asyncio.sleep(LOOP_TURN_S)
        waited += LOOP_TURN_S
    await import_in_steps(LARGE_LIBRARIES)
    return importlib.import_module(module_name)


async def import_in_steps(names: Iterable[str]) -> None:
    """Import modules one by one; the event loop runs after each."""
    for name in names:
        importlib.import_module(name)
        await asyncio.sleep(LOOP_TURN_S)
