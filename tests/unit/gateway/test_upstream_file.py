"""The upstream file of a control instance: corrupted files and entries are skipped."""

import zlib

import msgspec
import pytest

from scalebend.models.endpoints import EndpointUpdate
from scalebend.storage.upstream_file import read_upstreams, write_upstreams
from tests.lib.gateway_builders import build_endpoint

UPDATES = [
    EndpointUpdate(build_endpoint(1), is_gone=False),
    EndpointUpdate(build_endpoint(2, is_draining=True), is_gone=True),
]


def test_written_upstreams_are_read_back(tmp_path):
    assert read_upstreams(tmp_path) == []
    write_upstreams(tmp_path, UPDATES)
    assert read_upstreams(tmp_path) == UPDATES
    write_upstreams(tmp_path, UPDATES[:1])
    assert read_upstreams(tmp_path) == UPDATES[:1]


@pytest.mark.parametrize("end", [0, 3, 10, -1])
def test_truncated_file_reads_as_empty(tmp_path, end):
    write_upstreams(tmp_path, UPDATES)
    path = tmp_path / "upstreams"
    path.write_bytes(path.read_bytes()[:end])
    assert read_upstreams(tmp_path) == []


def test_corrupted_byte_is_detected(tmp_path):
    write_upstreams(tmp_path, UPDATES)
    path = tmp_path / "upstreams"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(bytes(data))
    assert read_upstreams(tmp_path) == []


def test_failed_write_raises_no_error(tmp_path):
    write_upstreams(tmp_path / "missing", UPDATES)
    assert read_upstreams(tmp_path / "missing") == []


def test_entries_of_another_writer_are_left_out_and_the_others_hold(tmp_path):
    good = [msgspec.to_builtins(update) for update in UPDATES]
    bad = []
    for position, value in ((2, ""), (4, -4), (4, 10**9), (4, "8"), (6, -1), (7, "x")):
        endpoint = list(good[0][0])
        endpoint[position] = value
        bad.append([endpoint, False])
    data = msgspec.msgpack.encode([bad[0], good[0], *bad[1:], "line", good[1]])
    checksum = zlib.crc32(data).to_bytes(4, "big")
    (tmp_path / "upstreams").write_bytes(checksum + data)
    assert read_upstreams(tmp_path) == UPDATES
