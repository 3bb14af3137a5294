"""Processes of a deployment: simulated power loss, and signals while they start."""

import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from scalebend.soak.deployment import Deployment, handles_signal
from scalebend.soak.layout import build_layout
from scalebend.soak.misbehaving import SYNCED_FILE
from scalebend.soak.observations import Observations


@pytest.mark.parametrize("is_relative", [False, True])
def test_bytes_that_were_never_synced_are_lost(tmp_path, monkeypatch, is_relative):
    layout = build_layout(1, 0, 0)
    (name,) = layout.controls
    monkeypatch.chdir(tmp_path)
    folder = Path() if is_relative else tmp_path
    deployment = Deployment(folder, layout, Observations())
    data = tmp_path / name / "data"
    data.mkdir(parents=True)
    for file in ("grown", "renamed", "new"):
        (data / file).write_bytes(b"0123456789")
    synced = {str(data / "grown"): 4, f"{data}/renamed.new": 10}
    (tmp_path / name / SYNCED_FILE).write_bytes(msgspec.json.encode(synced))
    deployment._lose_unsynced(name, lambda size: size // 2)
    left = {path.name: len(path.read_bytes()) for path in data.iterdir()}
    assert left == {"grown": 7, "renamed": 10, "new": 5}


@pytest.mark.parametrize(
    ("statement", "is_handled"),
    [
        ("signal.signal(signal.SIGHUP, print)", True),
        ("signal.signal(signal.SIGHUP, signal.SIG_IGN)", False),
        ("signal.signal(signal.SIGTERM, print)", False),
    ],
)
def test_process_that_handles_a_signal_is_told_from_one_that_starts(
    statement, is_handled
):
    code = f"import signal; {statement}; print(flush=True); input()"
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    with process:
        process.stdout.readline()
        assert handles_signal(process.pid, signal.SIGHUP) == is_handled
        process.communicate(b"\n")
    assert not handles_signal(process.pid, signal.SIGHUP)
