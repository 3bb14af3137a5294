"""Faults injected into the clock and the disk of a process."""

import errno
import json
import subprocess
import sys

from scalebend.soak.faults import DiskMode
from scalebend.soak.misbehaving import ProcessFaults, read_synced, write_process_faults

SCRIPT = """
import os, sys, time
from pathlib import Path
from scalebend.soak.misbehaving import _Misbehaviour
real = time.time()
_Misbehaviour(Path(sys.argv[1]), "127.0.0.1").install()
file = open(sys.argv[2], "wb")
file.write(b"synced"); file.flush()
try:
    os.fdatasync(file.fileno()); failed = 0
except OSError as error:
    failed = error.errno
file.write(b"not synced"); file.flush()
import json
print(json.dumps({"ahead": time.time() - real, "failed": failed}))
"""


def run_script(folder, file):
    command = [sys.executable, "-c", SCRIPT, str(folder), str(file)]
    return json.loads(subprocess.run(command, capture_output=True, check=True).stdout)


def test_healthy_process_records_synced_sizes(tmp_path):
    file = tmp_path / "file"
    result = run_script(tmp_path, file)
    assert abs(result["ahead"]) < 2.0
    assert result["failed"] == 0
    assert read_synced(tmp_path) == {str(file): len(b"synced")}


def test_clock_and_disk_faults_are_applied(tmp_path):
    write_process_faults(tmp_path, ProcessFaults(clock_step=50.0, disk=DiskMode.FULL))
    result = run_script(tmp_path, tmp_path / "file")
    assert result["ahead"] > 49.0
    assert result["failed"] == errno.ENOSPC
    assert read_synced(tmp_path) == {}


def test_what_an_earlier_process_synced_is_still_known(tmp_path):
    run_script(tmp_path, tmp_path / "first")
    run_script(tmp_path, tmp_path / "second")
    assert set(read_synced(tmp_path)) == {
        str(tmp_path / "first"),
        str(tmp_path / "second"),
    }
