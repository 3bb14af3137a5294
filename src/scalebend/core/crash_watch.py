"""What an entry does about requests that end upstreams: note, tell, hold back."""

from __future__ import annotations

from scalebend.core.crash_ledger import CrashLedger
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Incarnation, UpstreamId
from scalebend.models.work import Request


class CrashWatch:
    """The ledger of one entry, and what the other instances are to be told."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self._news: list[CrashRecord] = []

    def take_news(self) -> list[CrashRecord]:
        """What was seen here since the last call; none named: it was answered."""
        news, self._news = self._news, []
        return news

    def find_hold(self, request: Request, now: float) -> RefusedError | None:
        """How a request that must not be sent is refused; ``None`` if it may be."""
        if request.content is None:
            return None
        hold = self.ledger.compute_hold(request.content, now)
        if hold <= 0.0:
            return None
        return RefusedError(
            "upstreams ended while they ran this request",
            kind=ErrorKind.ENDS_UPSTREAMS,
            retry_after=hold,
        )

    def note_lost(
        self,
        request: Request,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        now: float,
    ) -> None:
        """An upstream ended, or cut the request off, while it ran it."""
        if request.content is None:
            return
        # Upstreams keep their name when they start again.
        ended = UpstreamId(f"{upstream}/{incarnation}")
        record = self.ledger.note_lost(request.content, ended, now)
        if record is not None:
            self._news.append(record)

    def note_answered(self, request: Request, now: float) -> None:
        """An upstream gave a whole answer."""
        content = request.content
        if content is not None and self.ledger.note_answered(content, now):
            self._news.append(CrashRecord(content, ()))
