"""A control instance whose disk fails once."""

import errno
import os

import aiohttp

from scalebend.edges.http_server import serve_instance
from scalebend.standins.ports import find_free_ports
from scalebend.storage.journal import Journal
from tests.lib.fleet import CONFIGURATION, Fleet, apply_configuration, build_settings


def tear_next_record(monkeypatch):
    """Have the next record be written in part, as on a disk that is full."""
    append = Journal._append

    def write_part(journal, payload):
        monkeypatch.setattr(Journal, "_append", append)
        os.write(journal._file, b"SBJ1 torn")
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(Journal, "_append", write_part)


# Guards against an acknowledged configuration that follows a torn record on the disk.
async def test_configuration_accepted_after_a_disk_error_is_kept(tmp_path, monkeypatch):
    settings = build_settings(tmp_path, find_free_ports(3))
    url = f"http://{settings.listen.callers}"
    async with aiohttp.ClientSession() as session:
        async with serve_instance(settings) as runtime:
            fleet = Fleet(runtime, url, session, [], None)
            assert (await apply_configuration(fleet, CONFIGURATION))[0] == 200
            tear_next_record(monkeypatch)
            applied = await apply_configuration(fleet, CONFIGURATION, 1, "second")
            assert applied == (200, {"version": 2})
        async with serve_instance(settings) as runtime:
            fleet = Fleet(runtime, url, session, [], None)
            await fleet.wait_until(lambda: runtime.instance.is_fresh)
            assert runtime.instance.configuration.version == 2
