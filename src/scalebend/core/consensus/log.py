"""In-memory log entries after the last snapshot."""

from __future__ import annotations

from scalebend.core.consensus.messages import LogEntry, Members, Snapshot
from scalebend.models.ids import LogIndex, Term


class EntryLog:
    """Entries from ``base_index + 1`` on; the base is the last entry snapshotted."""

    def __init__(self, snapshot: Snapshot | None, entries: list[LogEntry]) -> None:
        self.base_index = snapshot.index if snapshot else LogIndex(0)
        self.base_term = snapshot.term if snapshot else Term(0)
        self.base_members = snapshot.members if snapshot else None
        self._entries = [e for e in entries if e.index > self.base_index]

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def get_term(self, index: LogIndex) -> Term | None:
        """Term of the entry at ``index``; ``None`` if compacted or not yet known."""
        if index == self.base_index:
            return self.base_term
        position = index - self.base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def read(self, start: LogIndex, limit: int) -> list[LogEntry]:
        """Up to ``limit`` entries from ``start`` on."""
        position = max(0, start - self.base_index - 1)
        return self._entries[position : position + limit]

    def append(self, entry: LogEntry) -> None:
        """Append one entry."""
        self._entries.append(entry)

    def truncate(self, start: LogIndex) -> None:
        """Remove the entries from ``start`` on."""
        del self._entries[max(0, start - self.base_index - 1) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Remove the entries that ``snapshot`` covers."""
        if snapshot.index <= self.base_index:
            return
        matches_snapshot = self.get_term(snapshot.index) == snapshot.term
        tail = self.read(LogIndex(snapshot.index + 1), len(self._entries))
        self._entries = tail if matches_snapshot else []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.base_members = snapshot.members

    def find_members(self, up_to: LogIndex | None = None) -> Members | None:
        """Newest member list up to ``up_to``; a list takes effect once appended."""
        for entry in reversed(self._entries):
            if up_to is not None and entry.index > up_to:
                continue
            if entry.members is not None:
                return entry.members
        return self.base_members

    def find_last_members_index(self) -> LogIndex:
        """Index of the entry with the newest member list."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index
        return self.base_index
