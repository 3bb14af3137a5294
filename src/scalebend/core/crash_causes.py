"""Infers which parts of prompts crash upstreams, from crashes under mixed requests.

A crash is evidence against every part of every request that had not got past the start
of its response there: against the cause, against the other parts of the same requests
and against parts of requests that ran there by chance. A response under way is evidence
for its parts, and voids the earlier crashes. So the cause keeps all its crashes, and
most others lose theirs within one response time.

What remains is explained by the fewest parts: the likeliest one first, then others only
for crashes that the ones before don't explain. Crashes under parts without any response
so far say nothing against one on which there were responses.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from scalebend.models.ids import PartId, UpstreamId

SOUND_BEFORE_WEIGHT = 2
"""Crashes that a part needs more than others to be as likely a cause, if there was a
response on it in the minute before. It may have become harmful since, but parts that
are sent with the cause for the first time are likelier."""

VOIDED_WEIGHT = 4
"""The same for a part of which earlier crashes turned out to have other causes."""


class PartEvidence(msgspec.Struct, frozen=True):
    """What is known against and for one part."""

    part: PartId
    crashes: frozenset[UpstreamId]
    """Upstreams that crashed under it, and after which no response on it began."""

    depth: int
    """Length of the longest chain of these crashes. Each attempt was sent when the
    crash before was known and data had arrived from the service since."""

    age: float
    """Seconds since the oldest of these crashes became known here."""

    was_sound: bool
    """Whether there was a response on it shortly before one of the crashes."""

    has_voided_crashes: bool
    position: int
    """Highest position in a prompt at which it was seen; the first part has 0."""

    @property
    def is_known_sound(self) -> bool:
        """Whether there ever was a response on it."""
        return self.was_sound or self.has_voided_crashes

    @property
    def score(self) -> int:
        """How likely it is the cause, in crashes."""
        return (
            len(self.crashes)
            - SOUND_BEFORE_WEIGHT * self.was_sound
            - VOIDED_WEIGHT * self.has_voided_crashes
        )


class Threshold(msgspec.Struct, frozen=True):
    """Evidence that is needed against a part."""

    crashes: int
    depth: int
    """A failure of many upstreams at once adds crashes, but no depth."""

    age_if_sound: float
    """Age in seconds for a part on which there were responses: as long as new ones take
    to get past their start, a part that most requests share has crashes, too."""

    unexplained: int
    """Crashes that are not explained by likelier parts."""


QUARANTINE = Threshold(crashes=5, depth=3, age_if_sound=1.5, unexplained=3)
SUSPICION = Threshold(crashes=2, depth=1, age_if_sound=0.5, unexplained=2)


def find_causes(evidence: Iterable[PartEvidence], threshold: Threshold) -> set[PartId]:
    """Return the parts that explain the crashes, as far as ``threshold`` is reached.

    The result depends on the evidence only, not on its order, so that processes with
    the same evidence agree.
    """
    known = list(evidence)
    candidates = [one for one in known if _is_conclusive(one, threshold)]
    candidates.sort(key=lambda one: (-one.score, -one.position, one.part))
    explained: set[UpstreamId] = set()
    explained_by_unknown: set[UpstreamId] = set()
    for one in known:
        if not one.is_known_sound:
            explained_by_unknown |= one.crashes
    causes = set()
    for candidate in candidates:
        unexplained = candidate.crashes - explained
        if candidate.is_known_sound:
            unexplained -= explained_by_unknown
        if len(unexplained) < threshold.unexplained:
            continue
        causes.add(candidate.part)
        explained |= candidate.crashes
    return causes


def _is_conclusive(evidence: PartEvidence, threshold: Threshold) -> bool:
    if len(evidence.crashes) < threshold.crashes or evidence.depth < threshold.depth:
        return False
    return not evidence.is_known_sound or evidence.age >= threshold.age_if_sound
