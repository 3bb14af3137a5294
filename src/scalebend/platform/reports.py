"""What a replica tells of itself when it is asked."""

from __future__ import annotations

import msgspec

from scalebend.models.placement import ReplicaReport

REPORT_PATH = "/report"


class _Report(msgspec.Struct):
    # How many times slower than usual the replica works.
    pace: float = 1.0
    waiting: int = msgspec.field(name="Waiting", default=0)
    running: int = msgspec.field(name="Running", default=0)


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(data: bytes) -> ReplicaReport | None:
    """Return the report in ``data``; ``None`` when it is none."""
    try:
        read = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return ReplicaReport(max(1.0, read.pace), read.waiting, read.running)


def encode_report(report: ReplicaReport) -> bytes:
    """Body with which a replica answers; for stand-ins."""
    return msgspec.json.encode(_Report(report.pace, report.waiting, report.running))
