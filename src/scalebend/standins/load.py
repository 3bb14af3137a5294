"""Planned requests and prompt lengths, for the demo and the measurements."""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId


class Band(Enum):
    """Ranges of prompt lengths, by their upper bound in tokens."""

    SHORT = 4_000
    MEDIUM = 32_000
    LARGE = 100_000
    LONG = 1_000_000

    @property
    def label(self) -> str:
        """The upper bound as text."""
        value = self.value
        return f"up to {value // 1000:,}k"


def find_band(tokens: int) -> Band:
    """Return the band of a prompt length."""
    return next((band for band in Band if tokens < band.value), Band.LONG)


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request of a load; ``at`` in seconds from the start of the load."""

    number: int
    at: float
    customer: CustomerId
    prompt_tokens: int
    output_tokens: int
    prefix: int | None = None
    prefix_tokens: int = 0

    @property
    def band(self) -> Band:
        """Band of the prompt length."""
        return find_band(self.prompt_tokens)


def draw_tokens(chooser: random.Random, low: int, high: int) -> int:
    """Draw a length between ``low`` and ``high`` from a log-uniform distribution."""
    return int(math.exp(chooser.uniform(math.log(low), math.log(high))))
