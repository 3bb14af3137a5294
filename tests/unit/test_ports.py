"""Ports of loopback that concurrent processes choose."""

import itertools
import subprocess
import sys

from scalebend.standins import ports

OFFSET = 7_000

COUNT = 5

CHOOSE = f"""
import itertools, sys
from scalebend.standins import ports
ports._port_offsets = itertools.count({OFFSET})
print(*ports.find_free_ports({COUNT}), flush=True)
sys.stdin.read()
"""


# Guards against clusters of concurrent test runs that choose the same ports, of which
# the later one cannot start.
def test_concurrent_processes_choose_different_ports(monkeypatch):
    monkeypatch.setattr(ports, "_port_offsets", itertools.count(OFFSET))
    command = [sys.executable, "-c", CHOOSE]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        chosen_there = {int(port) for port in other.stdout.readline().split()}
        chosen_here = set(ports.find_free_ports(COUNT))
        other.stdin.close()
    assert len(chosen_there) == len(chosen_here) == COUNT
    assert not chosen_there & chosen_here
