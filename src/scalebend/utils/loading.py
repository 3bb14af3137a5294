"""Loads modules that take long to import while the event loop goes on."""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Iterable
from types import ModuleType

TURN = 0.002
"""Seconds that the loop has between two modules: a way to another availability zone and
back. A thread would do without, but on a part of one core it leaves the loop hardly a
turn: links came up only after all was loaded."""


async def load_in_turns(first: Iterable[str], wanted: str) -> ModuleType:
    """Import ``first`` one by one, with a turn of the loop after each, then ``wanted``.

    ``first`` are libraries that ``wanted`` needs anyway.
    """
    for name in first:
        importlib.import_module(name)
        await asyncio.sleep(TURN)
    return importlib.import_module(wanted)
