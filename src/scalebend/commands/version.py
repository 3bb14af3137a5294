"""``scalebend version``: prints the version."""

from __future__ import annotations

import json

import scalebend


def run(*, as_json: bool) -> int:
    """Print the version."""
    version = scalebend.__version__
    print(json.dumps({"version": version}) if as_json else f"scalebend {version}")
    return 0
