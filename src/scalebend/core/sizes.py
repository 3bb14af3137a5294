"""Bytes per token of each model, learned from the engines' token counts."""

from __future__ import annotations

import math

from scalebend.models.configuration import DEFAULT_BYTES_PER_TOKEN
from scalebend.models.ids import ModelName

LEARNING_RATE = 0.05
"""Weight of a new count in the moving average."""

SAFETY_FACTOR = 1.1
"""Overestimates prompts, because memory is reserved by the estimate."""


class SizeEstimator:
    """Estimates prompt tokens from prompt bytes."""

    def __init__(self) -> None:
        self._bytes_per_token: dict[ModelName, float] = {}

    def get_bytes_per_token(self, model: ModelName) -> float:
        """Return the learned bytes per token, or the default."""
        return self._bytes_per_token.get(model, DEFAULT_BYTES_PER_TOKEN)

    def estimate_tokens(self, model: ModelName, size: int) -> int:
        """Return an upper estimate of the tokens in ``size`` bytes."""
        return math.ceil(size / self.get_bytes_per_token(model) * SAFETY_FACTOR)

    def learn(self, model: ModelName, size: int, tokens: int) -> None:
        """Update the ratio with an engine's count for a prompt of ``size`` bytes."""
        if tokens <= 0 or size <= 0:
            return
        current = self.get_bytes_per_token(model)
        bytes_per_token = min(16.0, max(1.0, size / tokens))
        self._bytes_per_token[model] = current + LEARNING_RATE * (
            bytes_per_token - current
        )
