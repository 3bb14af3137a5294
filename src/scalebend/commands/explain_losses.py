"""``scalebend explain-losses``: explains from logs why requests were not served."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from scalebend.measuring.losses import build_ledger, format_ledger, read_requests


def run(*, logs: list[Path], window: float, as_json: bool) -> int:
    """Read log files of fronts and print the outcomes of their requests."""
    try:
        requests = read_requests(
            line for path in logs for line in path.read_text().splitlines()
        )
    except (OSError, UnicodeDecodeError) as error:
        print(f"explain-losses: {error}", file=sys.stderr)
        return 2
    ledger = build_ledger(requests, window)
    text = msgspec.json.format(msgspec.json.encode(ledger)).decode()
    print(text if as_json else format_ledger(ledger))
    return 0
