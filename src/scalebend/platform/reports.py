"""Reports that replicas return about their load and speed."""

from __future__ import annotations

from typing import Annotated

import msgspec

from scalebend.models.endpoints import Count
from scalebend.models.placement import ReplicaReport

REPORT_PATH = "/report"


class _Report(msgspec.Struct, kw_only=True):
    # Slowdown of the replica: 1.0 is its usual speed, 2.0 takes twice as long.
    pace: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    waiting: Count = msgspec.field(name="Waiting")
    running: Count = msgspec.field(name="Running")
    # Start time of the replica in Unix milliseconds.
    born: Count | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(data: bytes) -> ReplicaReport | None:
    """Return the report in ``data``; ``None`` if it is invalid."""
    try:
        read = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    born = None if read.born is msgspec.UNSET else read.born
    return ReplicaReport(max(1.0, read.pace), read.waiting, read.running, born)


def encode_report(report: ReplicaReport) -> bytes:
    """Return the body of a replica's report; for test stand-ins."""
    born = msgspec.UNSET if report.born is None else report.born
    return msgspec.json.encode(
        _Report(
            pace=report.pace, waiting=report.waiting, running=report.running, born=born
        )
    )
