"""The stored upstreams of a control instance: whole, or nothing."""

import pytest

from scalebend.models.endpoints import EndpointNews
from scalebend.storage.upstream_file import read_upstreams, write_upstreams
from tests.lib.gateway_builders import build_endpoint

NEWS = [
    EndpointNews(build_endpoint(1), is_gone=False),
    EndpointNews(build_endpoint(2, is_draining=True), is_gone=True),
]


def test_what_was_written_is_read_back(tmp_path):
    assert read_upstreams(tmp_path) == []
    write_upstreams(tmp_path, NEWS)
    assert read_upstreams(tmp_path) == NEWS
    write_upstreams(tmp_path, NEWS[:1])
    assert read_upstreams(tmp_path) == NEWS[:1]


@pytest.mark.parametrize("end", [0, 3, 10, -1])
def test_torn_file_is_no_fault(tmp_path, end):
    write_upstreams(tmp_path, NEWS)
    path = tmp_path / "upstreams"
    path.write_bytes(path.read_bytes()[:end])
    assert read_upstreams(tmp_path) == []


def test_changed_byte_is_noticed(tmp_path):
    write_upstreams(tmp_path, NEWS)
    path = tmp_path / "upstreams"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(bytes(data))
    assert read_upstreams(tmp_path) == []


def test_disk_that_refuses_the_file_ends_nothing(tmp_path):
    write_upstreams(tmp_path / "missing", NEWS)
    assert read_upstreams(tmp_path / "missing") == []
