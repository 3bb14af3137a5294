"""A short soak with a fixed seed, and the seeds that ever failed."""

import contextlib
import subprocess
import sys
import time
from pathlib import Path

import pytest

from scalebend.soak.layout import build_layout
from scalebend.soak.runner import SoakOptions, run_soak

SECONDS = 12.0

LINES_SHOWN = 8


@contextlib.contextmanager
def show_logs_of_failure(folder):
    """Print how each process's last log ends, if the block fails.

    The folder goes with the next runs; what is printed stays with the verdict.
    """
    try:
        yield
    except BaseException:
        for process in sorted(path for path in folder.iterdir() if path.is_dir()):
            logs = sorted(process.glob("log-*"), key=lambda path: path.stat().st_mtime)
            lines = logs[-1].read_text().splitlines()[-LINES_SHOWN:] if logs else []
            print(process.name, len(logs), *lines, sep="\n  ")
        raise


# Each seed that ever failed stays here; docs/soak.md tells the causes.
@pytest.mark.parametrize("seed", [1, 6, 500])
async def test_promises_are_kept(seed, tmp_path):
    options = SoakOptions(seed, SECONDS, build_layout(3, 2, 6), 8, tmp_path)
    with show_logs_of_failure(tmp_path):
        report = await run_soak(options)
        assert report.violations == []
        assert report.served > 100


def list_running(folder):
    """Processes whose command line names ``folder``."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            if str(folder).encode() in path.read_bytes():
                found.append(int(path.parent.name))
    return found


def test_stopped_soak_leaves_no_process_behind(tmp_path):
    command = [sys.executable, "-m", "scalebend", "soak", "--out", str(tmp_path)]
    soak = subprocess.Popen(command)
    folder = tmp_path / "seed-1" / "control-0"
    deadline = time.monotonic() + 20.0
    while not list_running(folder) and time.monotonic() < deadline:
        time.sleep(0.1)
    assert list_running(folder)
    soak.terminate()
    soak.wait(timeout=20.0)
    assert list_running(tmp_path / "seed-1") == []
