"""Journal and snapshot of a control instance, under its data folder.

Each record is one synced write: a header and a payload, each with a checksum. A torn
record at the end is truncated, since it was never acknowledged. A damaged record before
the end raises :class:`StorageError`, since acknowledged state would be lost.

Files: ``disk`` (the folder's random id), ``snapshot`` and ``journal-N``; the highest
``N`` is current.
"""

from __future__ import annotations

import contextlib
import os
import struct
import uuid
import zlib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from scalebend.core.consensus.messages import (
    DiskId,
    HardState,
    LogEntry,
    Persist,
    Recovered,
    Snapshot,
)
from scalebend.exceptions import StorageError
from scalebend.models.ids import LogIndex, Term
from scalebend.storage.files import replace_file, sync_folder

_HEADER = struct.Struct("<4sIII")
_MAGIC = b"SBJ1"
_SNAPSHOT_MAGIC = b"SBS1"


def _pack(magic: bytes, payload: bytes) -> bytes:
    prefix = struct.pack("<4sII", magic, len(payload), zlib.crc32(payload))
    return prefix + struct.pack("<I", zlib.crc32(prefix)) + payload


class _ParsedRecord(msgspec.Struct):
    payload: bytes | None
    end: int


def _parse(data: bytes, start: int, magic: bytes) -> _ParsedRecord:
    """Return the record at ``start``; its payload is ``None`` if it is damaged."""
    if len(data) - start < _HEADER.size:
        return _ParsedRecord(None, len(data))
    found, size, checksum, header_checksum = _HEADER.unpack_from(data, start)
    prefix = data[start : start + _HEADER.size - 4]
    if found != magic or zlib.crc32(prefix) != header_checksum:
        return _ParsedRecord(None, start + 1)
    body = start + _HEADER.size
    payload = data[body : body + size]
    if len(payload) < size or zlib.crc32(payload) != checksum:
        return _ParsedRecord(None, min(len(data), body + size))
    return _ParsedRecord(payload, body + size)


def _has_record_after(data: bytes, start: int) -> bool:
    """Whether ``data`` holds an intact record at or after ``start``."""
    position = data.find(_MAGIC, start)
    while position >= 0:
        if _parse(data, position, _MAGIC).payload is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


class Journal:
    """Append-only log and snapshot of one control member."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._number = 0
        self._file = -1
        self.bytes_written = 0

    def recover(self) -> Recovered:
        """Read and sync all stored state; truncate a torn record at the end."""
        self._folder.mkdir(parents=True, exist_ok=True)
        disk = self._read_disk()
        snapshot = self._read_snapshot()
        self._number = max(self._list_numbers(), default=0)
        path = self._get_path(self._number)
        records = self._read_records(path) if path.exists() else []
        hard_state, entries = _replay(records)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        # A killed process may have written a record, or renamed a file, without syncing
        # it. What is recovered counts as acknowledged from here on.
        os.fsync(self._file)
        sync_folder(self._folder)
        base = snapshot.index if snapshot else LogIndex(0)
        entries = [entry for entry in entries if entry.index > base]
        _check_sequence(entries, base, path)
        return Recovered(disk, hard_state, snapshot, entries)

    def write(self, persist: Persist) -> None:
        """Append one record and sync it."""
        self._append(msgspec.msgpack.encode(persist))

    def store_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry]
    ) -> None:
        """Store a snapshot, then start a new journal with the entries after it."""
        data = _pack(_SNAPSHOT_MAGIC, msgspec.msgpack.encode(snapshot))
        replace_file(self._folder / "snapshot", data)
        self._number += 1
        old_file = self._file
        first = msgspec.msgpack.encode(Persist(hard_state, None, entries))
        # Written atomically: recovery reads the journal with the highest number.
        replace_file(self._get_path(self._number), _pack(_MAGIC, first))
        path = self._get_path(self._number)
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.close(old_file)
        for number in self._list_numbers():
            if number < self._number:
                self._get_path(number).unlink()
        self.bytes_written += len(data) + len(first)

    def close(self) -> None:
        """Close the journal file, if open."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _append(self, payload: bytes) -> None:
        record = _pack(_MAGIC, payload)
        view = memoryview(record)
        while view:
            view = view[os.write(self._file, view) :]
        os.fdatasync(self._file)
        self.bytes_written += len(record)

    def _read_disk(self) -> DiskId:
        path = self._folder / "disk"
        if not path.exists():
            if self._list_numbers() or (self._folder / "snapshot").exists():
                raise StorageError(f"{self._folder}: the file 'disk' is missing")
            replace_file(path, uuid.uuid4().hex.encode())
        return DiskId(path.read_text())

    def _read_snapshot(self) -> Snapshot | None:
        path = self._folder / "snapshot"
        if not path.exists():
            return None
        parsed = _parse(path.read_bytes(), 0, _SNAPSHOT_MAGIC)
        if parsed.payload is None:
            raise StorageError(f"{path}: the snapshot is damaged")
        return msgspec.msgpack.decode(parsed.payload, type=Snapshot)

    def _read_records(self, path: Path) -> list[Persist]:
        data = path.read_bytes()
        records = []
        position = 0
        while position < len(data):
            parsed = _parse(data, position, _MAGIC)
            if parsed.payload is None:
                if _has_record_after(data, position + 1):
                    raise StorageError(f"{path}: damaged record at byte {position}")
                self._truncate(path, position)
                break
            records.append(msgspec.msgpack.decode(parsed.payload, type=Persist))
            position = parsed.end
        return records

    def _truncate(self, path: Path, size: int) -> None:
        with path.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def _list_numbers(self) -> list[int]:
        names = [path.name for path in self._folder.glob("journal-*")]
        return [int(n.removeprefix("journal-")) for n in names if n[8:].isdigit()]

    def _get_path(self, number: int) -> Path:
        return self._folder / f"journal-{number}"


def _replay(records: list[Persist]) -> tuple[HardState, list[LogEntry]]:
    hard_state = HardState(Term(0), None)
    entries: list[LogEntry] = []
    for record in records:
        if record.hard_state is not None:
            hard_state = record.hard_state
        if record.truncate_from is not None:
            entries = [e for e in entries if e.index < record.truncate_from]
        entries += record.entries
    return hard_state, entries


def _check_sequence(entries: list[LogEntry], base: LogIndex, path: Path) -> None:
    for expected, entry in enumerate(entries, start=base + 1):
        if entry.index != expected:
            raise StorageError(f"{path}: entry {expected} is missing")


@contextlib.contextmanager
def open_journal(folder: Path) -> Iterator[tuple[Journal, Recovered]]:
    """Recover the journal in ``folder`` and close it afterwards."""
    journal = Journal(folder)
    try:
        yield journal, journal.recover()
    finally:
        journal.close()
