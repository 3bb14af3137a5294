"""Who waits to hear that the routing document held by the leader is the newest.

A leader may have been replaced without knowing. So a question is answered only once a
quorum has confirmed the leader after the question came.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import InstanceId

PATIENCE = 2.0
"""Seconds for which a question waits for a quorum, twice what an election takes."""


class FreshnessQuestion(msgspec.Struct, frozen=True):
    """Someone who waits until leadership is confirmed after ``received_at``."""

    received_at: float
    front: InstanceId | None
    """The front that wants a lease; ``None`` for a reader."""

    asked_at: float
    """When it asked, by the front's own clock."""

    reader: int = 0
    is_urgent: bool = False
    """Whether the front refuses requests until it is answered."""


class FreshnessQuestions:
    """Questions that wait, in any order."""

    def __init__(self) -> None:
        self._waiting: list[FreshnessQuestion] = []

    def add(self, question: FreshnessQuestion) -> None:
        """Let a question wait."""
        self._waiting.append(question)

    def take_confirmed(
        self, confirmed_at: float | None, now: float, *, is_leader: bool
    ) -> list[FreshnessQuestion]:
        """Take out the questions that came before leadership was last confirmed.

        ``confirmed_at`` is ``None`` when it was not: one that has just won the lead may
        still be, so fronts wait for it, too; elsewhere only readers do.
        """
        if confirmed_at is None:
            self._waiting = [
                question
                for question in self._waiting
                if (question.front is None or is_leader)
                and now - question.received_at < PATIENCE
            ]
            return []
        taken = [q for q in self._waiting if q.received_at <= confirmed_at]
        self._waiting = [q for q in self._waiting if q.received_at > confirmed_at]
        return taken

    def find_urgent(self) -> float | None:
        """When the newest urgent question came that still waits."""
        urgent = [q.received_at for q in self._waiting if q.is_urgent]
        return max(urgent, default=None)
