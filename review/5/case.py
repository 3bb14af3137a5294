"""Three losses one after the other, at most two of which count at any time."""

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
    build_document,
    build_route,
    call_control,
    call_until_clear,
    run_case,
)

SERVICE = "app"
ROUTE = build_route("/a/", SERVICE, "idempotent")
SUCCESSOR = "control-5"
SECOND_AT_S, SECOND_DOWN_S = 2.4, 3.0
"""When the next leader is lost, after the first loss, and for how long."""

THIRD_AT_S = BOUNDS["CatchUpS"] + 0.4
"""By then the successor of the first machine has had its time."""

READ_LIMIT_S = 30.0


def find_leader(system, names):
    """Return the process among ``names`` that logged last that it leads."""
    leaders = []
    for name in names:
        changes = [line for line in system.read_log(name) if "leads" in line]
        if changes and changes[-1]["leads"]:
            leaders.append((changes[-1]["timestamp"], name))
    if not leaders:
        raise CannotRunError("no leader was found")
    return max(leaders)[1]


async def put(system, record, version):
    document = build_document(version, [ROUTE], [SERVICE])
    answer, name = await call_until_clear(system, "PUT", "/config", document)
    record(f"operator sends version {version}: {answer and answer.status} by {name}")
    if answer is None or answer.status != 200:
        raise CannotRunError(f"version {version} was not acknowledged")


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


def lose(system, name):
    """A machine loses power and its disk."""
    system.kill(name)
    system.lose_disk(name)


async def strike(system, record):
    """Lose the leader for good, the next leader's disk, and one more disk."""
    began = time.monotonic()
    left = list(system.controls)
    first = find_leader(system, left)
    left.remove(first)
    lose(system, first)
    system.start(SUCCESSOR)
    record(f"{first}, which leads, is gone for good; {SUCCESSOR} starts in its place")
    system.controls = [*left, SUCCESSOR]

    await asyncio.sleep(began + SECOND_AT_S - time.monotonic())
    second = find_leader(system, left)
    left.remove(second)
    lose(system, second)
    record(f"{second}, which leads now, loses power and its disk")

    await asyncio.sleep(began + THIRD_AT_S - time.monotonic())
    third = left[0]
    lose(system, third)
    system.start(third)
    record(f"{third} loses its disk and starts again with none")

    back_at = began + SECOND_AT_S + SECOND_DOWN_S
    await asyncio.sleep(back_at - time.monotonic())
    system.start(second)
    record(f"{second} starts again with an empty disk")


async def play(folder, record, has_trouble):
    system = Deployment(folder, controls=5, fronts=2, tolerate={"Machines": 2})
    try:
        system.start_all()
        await put(system, record, 3)
        await asyncio.sleep(2.0 * BOUNDS["CatchUpS"])
        acknowledged = 6
        await put(system, record, acknowledged)
        if has_trouble:
            await strike(system, record)
        await asyncio.sleep(BOUNDS["RecoverS"])
        version = await read_version(system, record)
        record(f"acknowledged: {acknowledged}, read back: {version}")
        return version is not None and version >= acknowledged
    finally:
        system.close()


def run(folder, record, has_trouble):
    return asyncio.run(play(folder, record, has_trouble))


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
