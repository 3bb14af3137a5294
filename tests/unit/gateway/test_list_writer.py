"""Lists on disk: written after changes, and again after a failure.

Guards against a list that stays outdated until its next change because the disk was
full for a moment.
"""

import asyncio

from scalebend.edges.gateway.list_writer import WRITE_INTERVAL_S, ListWriter


async def write_once(writer, changes, now):
    writer.write_if_due(changes, now)
    if writer._write_task is not None:
        await writer._write_task


async def test_failed_write_is_repeated_without_another_change():
    written = []
    results = [False, True]

    def write(entries):
        written.append(entries)
        return results.pop(0)

    writer = ListWriter(lambda: ["entry"], write)
    await write_once(writer, 1, 0.0)
    await write_once(writer, 1, WRITE_INTERVAL_S / 2)
    assert written == [["entry"]]
    await write_once(writer, 1, WRITE_INTERVAL_S)
    await write_once(writer, 1, 2 * WRITE_INTERVAL_S)
    assert written == [["entry"], ["entry"]]


async def test_unchanged_list_is_not_written():
    writer = ListWriter(lambda: [], lambda entries: True)
    await write_once(writer, 0, 0.0)
    await asyncio.sleep(0)
    assert writer._write_task is None
