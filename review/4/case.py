"""A machine of the core is replaced; then one disk is lost, as Tolerate allows."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from deployment import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Deployment,
    Replica,
    build_document,
    build_headers,
    build_route,
    call,
    call_control,
    call_until_clear,
    run_case,
)

SERVICE = "app"
ROUTE = build_route("/a/", SERVICE, "idempotent")
SUCCESSOR = "control-3"
GAP_S = 0.5
"""From the end of the replaced machine to the loss of the disk."""

READ_LIMIT_S = 30.0
CALL_INTERVAL_S = 0.2


async def put(system, record, version):
    document = build_document(version, [ROUTE], [SERVICE])
    answer, name = await call_until_clear(system, "PUT", "/config", document)
    record(f"operator sends version {version}: {answer and answer.status} by {name}")
    if answer is None or answer.status != 200:
        raise CannotRunError(f"version {version} was not acknowledged")


async def call_always(system, record, outcomes):
    """Send requests at an even rate to the fronts in turn."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(call_once(system, record, outcomes, number))
        await asyncio.sleep(CALL_INTERVAL_S)


async def call_once(system, record, outcomes, number):
    front = system.fronts[number % len(system.fronts)]
    request = f"q{number}"
    began = time.monotonic()
    address = system.find_address(front, "front")
    answer = await call(address, "GET", "/a/x", build_headers(request), timeout_s=4.5)
    status = answer.status if answer is not None else None
    record(f"client sent {request} to {front}: {status}")
    outcomes.append((began, status))


async def play(folder, record, has_trouble):
    system = Deployment(folder, controls=3, fronts=2, tolerate={"Machines": 1})
    try:
        system.start_all()
        await put(system, record, 3)
        replica = Replica(system, record, "i-1", SERVICE)
        await replica.open()
        outcomes = []
        tasks = [asyncio.create_task(replica.check_in_always())]
        await asyncio.sleep(2.0)
        tasks.append(asyncio.create_task(call_always(system, record, outcomes)))

        system.start(SUCCESSOR)
        record(f"{SUCCESSOR} joins, with an empty disk and a new address")
        await asyncio.sleep(2.0 * BOUNDS["CatchUpS"])

        system.stop("control-0")
        system.lose_disk("control-0")
        system.controls = ["control-1", "control-2", SUCCESSOR]
        record("control-0 got SIGTERM, has ended and is gone for good")
        acknowledged = 6
        await put(system, record, acknowledged)

        await asyncio.sleep(GAP_S)
        if has_trouble:
            system.kill("control-1")
            system.lose_disk("control-1")
            system.start("control-1")
            record("control-1 lost power and its disk, and starts again with none")
        back_at = time.monotonic()

        await asyncio.sleep(BOUNDS["RecoverS"])
        version = await read_version(system, record)
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        late = [s for at, s in outcomes if at >= back_at + BOUNDS["RecoverS"]]
        served = sum(status == 200 for status in late)
        record(f"acknowledged: {acknowledged}, read back: {version}")
        record(f"sent later than RecoverS: {len(late)}, served: {served}")
        return version is not None and version >= acknowledged
    finally:
        system.close()


async def read_version(system, record):
    """Ask for the configuration again and again; ``None`` if it doesn't come."""
    until = time.monotonic() + READ_LIMIT_S
    while time.monotonic() < until:
        answer, name = await call_control(system, "GET", "/config")
        if answer is not None and answer.status == 200:
            version = json.loads(answer.body)["Version"]
            record(f"operator reads version {version} from {name}")
            return version
        await asyncio.sleep(0.5)
    record(f"operator got no configuration from any node in {READ_LIMIT_S} s")
    return None


def run(folder, record, has_trouble):
    return asyncio.run(play(folder, record, has_trouble))


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
