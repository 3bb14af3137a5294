"""Which ends of a task are reported to the handler of the event loop."""

import asyncio

import pytest

from scalebend.edges.essential_tasks import start_essential_task


async def fail():
    raise OverflowError("too large")


async def finish():
    await asyncio.sleep(0)


async def await_cancelled_call():
    call = asyncio.get_running_loop().create_future()
    call.cancel()
    await call


async def collect_reports(work, *, cancel=False):
    reports = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reports.append(context))
    task = start_essential_task("work", work)
    if cancel:
        await asyncio.sleep(0)
        task.cancel()
    await asyncio.wait([task])
    await asyncio.sleep(0)
    return reports


@pytest.mark.parametrize(
    ("work", "error"),
    [
        (fail, OverflowError),
        (finish, type(None)),
        (await_cancelled_call, asyncio.CancelledError),
    ],
)
async def test_unexpected_end_is_reported(work, error):
    reports = await collect_reports(work())
    assert [report["essential_task"] for report in reports] == ["work"]
    assert isinstance(reports[0]["exception"], error)


async def test_cancelled_task_is_not_reported():
    assert await collect_reports(asyncio.sleep(10.0), cancel=True) == []
