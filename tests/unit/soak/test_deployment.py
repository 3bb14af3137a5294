"""Simulated power loss: which bytes of a process's files survive."""

import msgspec

from scalebend.soak.deployment import Deployment
from scalebend.soak.layout import build_layout
from scalebend.soak.misbehaving import SYNCED_FILE
from scalebend.soak.observations import Observations


def test_bytes_that_were_never_synced_are_lost(tmp_path):
    layout = build_layout(1, 0, 0)
    (name,) = layout.controls
    deployment = Deployment(tmp_path, layout, Observations())
    data = tmp_path / name / "data"
    data.mkdir(parents=True)
    for file in ("grown", "renamed", "new"):
        (data / file).write_bytes(b"0123456789")
    synced = {str(data / "grown"): 4, f"{data}/renamed.new": 10}
    (tmp_path / name / SYNCED_FILE).write_bytes(msgspec.json.encode(synced))
    deployment._lose_unsynced(name, lambda size: size // 2)
    left = {path.name: len(path.read_bytes()) for path in data.iterdir()}
    assert left == {"grown": 7, "renamed": 10, "new": 5}
