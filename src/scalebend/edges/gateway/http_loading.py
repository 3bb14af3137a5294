"""Loads what serves HTTP while the event loop goes on.

That takes three quarters of the processor time of a start. Links need none of it: they
come up meanwhile, a group elects its leader, and a front receives its document.
"""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable, Iterable
from types import ModuleType

SMALL_LIBRARIES = ("multidict", "yarl", "attr")
LARGE_LIBRARIES = ("aiohttp", "aiohttp.web")
"""In the order in which one needs the other. The first large one blocks the loop for
0.12 s of processor time, which is a second on an eighth of a core."""

TURN = 0.002
"""Seconds that the loop has between two modules: a way to another availability zone and
back. A thread would do without, but on a part of one core it leaves the loop hardly a
turn: on 0.12 of a core links come up after all is loaded, with turns 0.75 s before."""

LONGEST_WAIT = 0.025
"""Seconds to wait before the large ones for what is under way over the links: some ways
between availability zones and back, and a document over a link of 10 Mbit/s."""


async def load_http(wanted: str, is_settled: Callable[[], bool]) -> ModuleType:
    """Import a module that serves HTTP.

    ``is_settled`` tells whether nothing more is expected over the links now.
    """
    await load_in_turns(SMALL_LIBRARIES)
    waited = 0.0
    while waited < LONGEST_WAIT and not is_settled():
        await asyncio.sleep(TURN)
        waited += TURN
    await load_in_turns(LARGE_LIBRARIES)
    return importlib.import_module(wanted)


async def load_in_turns(names: Iterable[str]) -> None:
    """Import modules one by one, with a turn of the loop after each."""
    for name in names:
        importlib.import_module(name)
        await asyncio.sleep(TURN)
