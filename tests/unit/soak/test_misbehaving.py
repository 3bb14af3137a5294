"""The clock and the disk of the soak's processes."""

import errno
import json
import subprocess
import sys

from scalebend.soak.faults import DiskMode
from scalebend.soak.misbehaving import Orders, read_synced, write_orders

SCRIPT = """
import os, sys, time
from pathlib import Path
from scalebend.soak.misbehaving import _Misbehaviour
real = time.time()
_Misbehaviour(Path(sys.argv[1])).install()
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


def test_sound_process_notes_what_it_synced(tmp_path):
    file = tmp_path / "file"
    told = run_script(tmp_path, file)
    assert abs(told["ahead"]) < 2.0
    assert told["failed"] == 0
    assert read_synced(tmp_path) == {str(file): len(b"synced")}


def test_orders_are_followed(tmp_path):
    write_orders(tmp_path, Orders(clock_step=50.0, disk=DiskMode.FULL))
    told = run_script(tmp_path, tmp_path / "file")
    assert told["ahead"] > 49.0
    assert told["failed"] == errno.ENOSPC
    assert read_synced(tmp_path) == {}


def test_what_an_earlier_process_synced_is_still_known(tmp_path):
    run_script(tmp_path, tmp_path / "first")
    run_script(tmp_path, tmp_path / "second")
    assert set(read_synced(tmp_path)) == {
        str(tmp_path / "first"),
        str(tmp_path / "second"),
    }
