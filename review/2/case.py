"""Replicas hand out wrong bytes: do callers get a success without the replica's seal?

With TROUBLE=0 the replicas answer soundly throughout.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from bed import (  # noqa: E402
    Bed,
    Record,
    Replica,
    build_config,
    call,
    caller_headers,
    put_config,
    wait_ready,
)

REPLICAS = 4
GARBLING = 1
"""A quarter of the replicas of the service."""

SPOILED_EACH = 50
"""Each such replica spoils one answer of so many: 2 in 100."""

REQUESTS = 600
SPAN_S = 5.0
"""Time over which the requests are sent, and for which the disruption lasts."""

WRONG = b"<html><body>It works!</body></html>"


async def garble(replica, request, writer):
    """Send bytes that are no answer of the replica, in place of every 50th answer."""
    replica.answers = getattr(replica, "answers", 0) + 1
    if replica.answers % SPOILED_EACH:
        return False
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: {len(WRONG)}"
    writer.write(head.encode() + b"\r\n\r\n" + WRONG)
    await writer.drain()
    replica.bed.record.write(f"{replica.id} hands out wrong bytes for {request}")
    return True


async def send(bed, number):
    front = bed.front_address(bed.fronts[number % len(bed.fronts)])
    method, path = [("POST", "/unsafe/order"), ("GET", "/safe/status")][number // 2 % 2]
    request = f"request-{number}"
    body = b"one order" if method == "POST" else b""
    answer = await call(front, method, path, caller_headers(request), body)
    seal = answer.headers.get("x-server-seal")
    bed.record.write(
        f"{request} ({method} {path}) answered: {answer.status} seal={seal}"
        f" {answer.body[:50]!r} {answer.note}"
    )
    if answer.status is None or not 200 <= answer.status < 300:
        return None
    is_whole = answer.body == f"done {request}".encode()
    return is_whole and answer.headers.get("x-server-seal", "").startswith("seal.")


async def run(bed, has_trouble):
    replicas = [Replica(bed, number) for number in range(REPLICAS)]
    bed.start_all()
    if not await put_config(bed, build_config(1)):
        return 2
    for replica in replicas:
        replica.work_s = 0.01
        await replica.start()
    if not await wait_ready(bed):
        return 2
    await asyncio.sleep(4.0)
    if has_trouble:
        for replica in replicas[:GARBLING]:
            replica.misbehave = garble
        bed.record.write(f"{GARBLING} of {REPLICAS} replicas garble from now on")
    sending = []
    for number in range(REQUESTS):
        sending.append(asyncio.create_task(send(bed, number)))
        await asyncio.sleep(SPAN_S / REQUESTS)
    results = await asyncio.gather(*sending)
    for replica in replicas:
        await replica.close()
    successes = results.count(True)
    wrong = results.count(False)
    failures = results.count(None)
    bed.record.write(
        f"sound successes: {successes}, successes without the replica's seal and body:"
        f" {wrong}, failures: {failures}"
    )
    if successes < REQUESTS / 2:
        return 2
    return 1 if wrong else 0


def main():
    folder = Path(__file__).resolve().parent
    record = Record(folder / "record.txt")
    bed = Bed(record)
    has_trouble = os.environ.get("TROUBLE") != "0"
    try:
        status = asyncio.run(run(bed, has_trouble))
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {type(error).__name__}: {error}")
        status = 2
    finally:
        bed.close()
    record.write(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
