"""Counts the outcomes of a front's attempts between two reports to the leader."""

from __future__ import annotations

from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import UpstreamId


class OutcomeCounts:
    """Outcomes by upstream since the last report."""

    def __init__(self) -> None:
        self._outcomes: dict[UpstreamId, UpstreamOutcomes] = {}

    @property
    def has_any(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._outcomes)

    def record(self, upstream: UpstreamId, *, has_failed: bool) -> None:
        """Count a response or a failure of an upstream."""
        seen = self._outcomes.get(upstream) or UpstreamOutcomes(upstream, 0, 0)
        self._outcomes[upstream] = UpstreamOutcomes(
            upstream, seen.answered + (not has_failed), seen.failed + has_failed
        )

    def drop_failures(self) -> None:
        """Drop the failures that were not reported yet."""
        self._outcomes = {
            one.upstream: UpstreamOutcomes(one.upstream, one.answered, 0)
            for one in self._outcomes.values()
            if one.answered
        }

    def pop_all(self) -> list[UpstreamOutcomes]:
        """Return the counts and begin anew."""
        counted = list(self._outcomes.values())
        self._outcomes.clear()
        return counted
