"""Quantiles of small samples."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def compute_quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of ``values`` lies; 0.0 if empty."""
    if not values:
        return 0.0
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=1_000, method="inclusive")
    return cuts[min(998, max(0, round(share * 1_000) - 1))]
