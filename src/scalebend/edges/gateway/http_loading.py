"""Loads what serves HTTP while the event loop goes on.

That takes three quarters of the processor time of a start. Links need none of it: they
come up meanwhile, a group elects its leader, and a front receives its document.
"""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Iterable
from types import ModuleType

HTTP_LIBRARIES = ("multidict", "yarl", "attr", "aiohttp", "aiohttp.web")
"""In the order in which one needs the other; the small ones come first, so that links
are dialled early."""

TURN = 0.002
"""Seconds that the loop has between two modules: a way to another availability zone and
back. A thread would do without, but on a part of one core it leaves the loop hardly a
turn: links came up only after all was loaded, now 0.75 s before on 0.12 of a core."""


async def load_http(wanted: str) -> ModuleType:
    """Import a module that serves HTTP."""
    return await load_in_turns(HTTP_LIBRARIES, wanted)


async def load_in_turns(first: Iterable[str], wanted: str) -> ModuleType:
    """Import ``first`` one by one, with a turn of the loop after each, then ``wanted``.

    ``first`` are libraries that ``wanted`` needs anyway.
    """
    for name in first:
        importlib.import_module(name)
        await asyncio.sleep(TURN)
    return importlib.import_module(wanted)
