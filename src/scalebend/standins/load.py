"""Seeded prompts of very unlike lengths, for the demo and the measurements."""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId


class Band(Enum):
    """Prompt lengths, by their upper border in tokens."""

    SHORT = 4_000
    MEDIUM = 32_000
    LARGE = 100_000
    LONG = 1_000_000

    @property
    def label(self) -> str:
        """The band's upper border as text."""
        value = self.value
        return f"up to {value // 1000:,}k"


def find_band(tokens: int) -> Band:
    """Return the band of a prompt length."""
    return next((band for band in Band if tokens < band.value), Band.LONG)


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request of a load; times in seconds from its start, sizes in tokens."""

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
    """Draw a length between two, even in its logarithm."""
    return int(math.exp(chooser.uniform(math.log(low), math.log(high))))
