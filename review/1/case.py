"""A front is stopped as planned while replicas pause: are its streams completed?

All replicas are sound. One stream in three pauses once for 1.5 s, as a replica does if
it preempts a request and reads its prompt anew. Callers give a stream up after a gap of
2 s. Half of the streams may be resumed. With TROUBLE=0 no front is stopped.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from bed import (  # noqa: E402
    ENGINE,
    Bed,
    Record,
    Replica,
    build_config,
    caller_headers,
    put_config,
    read_head,
    wait_ready,
)

GRACE_S = 8.0
CALLER_PATIENCE_S = 2.0
"""Gap after which callers of this route give a stream up: the longest of two seconds,
four times the objective of 300 ms and eight times the pause of 200 ms."""

EVENTS = 40
EVENT_INTERVAL_S = 0.05
PAUSE_S = 1.5
PAUSE_AFTER = 15
"""Event after which a stream pauses."""

PAUSING_EACH = 3
"""One stream of so many pauses."""

STREAMS = 40
SENT_OVER_S = 1.0
STOP_AFTER_S = 0.5
"""Time from the last request to the stop signal."""

CONTACT_S = 3.0


class StreamReplica(Replica):
    """Sends streams of numbered events; goes on after ``Last-Event-Id``."""

    def __init__(self, bed, number):
        super().__init__(bed, number)
        self.slots = ENGINE["Slots"]
        self.streams = 0
        self.cut_by_front = []
        """Requests whose channel was closed while this replica was at work."""

    async def _answer(self, first, headers, body, writer):
        found = {name.lower(): value for name, value in headers}
        request = found.get("x-request-id", "")
        if not request or found.get("x-expect-instance") not in (None, self.id):
            return await super()._answer(first, headers, body, writer)
        begin = int(found.get("last-event-id", "0")) + 1
        self.streams += 1
        pauses = self.streams % PAUSING_EACH == 0
        pause_after = max(PAUSE_AFTER, begin)
        self.bed.record.write(f"{self.id} runs {request} from event {begin}")
        self.ran.append((self.bed.record.now(), request))
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            f"X-Server-Seal: seal.{self.id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        try:
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            for number in range(begin, EVENTS + 1):
                event = f"id: {number}\ndata: {request}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                pause_s = PAUSE_S if pauses and number == pause_after else 0.0
                if pause_s:
                    self.bed.record.write(f"{self.id} pauses {request} for {pause_s} s")
                await asyncio.sleep(EVENT_INTERVAL_S + pause_s)
                if writer.transport.is_closing():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            self.cut_by_front.append(request)
            self.bed.record.write(f"{self.id}: the front closed {request}")
            return False
        self.bed.record.write(f"{self.id} completed {request}")
        return True


async def call_stream(bed, front, path, request, outcomes):
    """Read one stream; store whether it was complete, and why not."""
    host, _, port = bed.front_address(front).rpartition(":")
    sent_at = bed.record.now()
    events, outcome = [], "cut"
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"POST {path} HTTP/1.1"]
        headers = caller_headers(request, deadline_ms=10000)
        headers += [
            ("X-Model", "m"),
            ("X-Token-Counts", f"5000,{46 * EVENTS}"),
            ("X-Prompt-Prefix", f"5c1e07a2:40,{abs(hash(request)):x}:4960"),
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\nContent-Length: 6\r\n\r\n")
        writer.write(b"prompt")
        first, _ = await asyncio.wait_for(read_head(reader), CALLER_PATIENCE_S)
        status = int(first.split()[1])
        if status != 200:
            outcome = f"status {status}"
        while status == 200:
            size = int(
                await asyncio.wait_for(reader.readuntil(b"\r\n"), CALLER_PATIENCE_S), 16
            )
            if not size:
                outcome = "complete"
                break
            chunk = await asyncio.wait_for(
                reader.readexactly(size + 2), CALLER_PATIENCE_S
            )
            events += [
                int(line[4:])
                for line in chunk.decode().splitlines()
                if line.startswith("id: ")
            ]
    except TimeoutError:
        outcome = "given up by the caller"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome = "cut"
    finally:
        if writer is not None:
            writer.close()
    if outcome == "complete" and events != list(range(1, EVENTS + 1)):
        outcome = "wrong events"
    outcomes[request] = (outcome, sent_at, bed.record.now())
    last = events[-1] if events else 0
    bed.record.write(f"{request} at {front}: {outcome}, last event {last}")


async def run(bed, has_trouble):
    bed.start_all()
    config = build_config(1)
    config["Services"][0]["Engine"] = ENGINE
    for route in config["Routes"]:
        route["Sticky"] = True
    # As for the quick prompts on the users' sheet, and the same without resumption.
    quick = {"TimeoutMs": 10000, "TargetLatencyMs": 300, "GapAimMs": 200}
    resumable = next(r for r in config["Routes"] if r["PathPrefix"] == "/stream/")
    resumable |= quick
    other = {"Name": "r-once", "PathPrefix": "/once/", "Resumable": False}
    config["Routes"].append(resumable | other | {"MaxAttempts": 1})
    if not await put_config(bed, config):
        return 2
    replicas = [StreamReplica(bed, number) for number in range(8)]
    for replica in replicas:
        await replica.start()
    if not await wait_ready(bed):
        return 2
    await asyncio.sleep(CONTACT_S + 1.0)
    outcomes = {}
    calls = []
    for number in range(STREAMS):
        front = bed.fronts[number % len(bed.fronts)]
        path = ["/stream/prompt", "/once/prompt"][number // len(bed.fronts) % 2]
        request = f"{front}-{path[1:].partition('/')[0]}-{number}"
        calls.append(
            asyncio.create_task(call_stream(bed, front, path, request, outcomes))
        )
        await asyncio.sleep(SENT_OVER_S / STREAMS)
    await asyncio.sleep(STOP_AFTER_S)
    stopped, stopped_at = None, 0.0
    if has_trouble:
        stopped, stopped_at = bed.fronts[0], bed.record.now()
        bed.signal(stopped, signal.SIGTERM)
    await asyncio.gather(*calls)
    for replica in replicas:
        await replica.close()
    ran = {one[1] for replica in replicas for one in replica.ran}
    cut = [request for request, one in outcomes.items() if one[0] == "cut"]
    lost = [
        request
        for request in cut
        if stopped is not None
        and request.startswith(f"{stopped}-")
        and request in ran
        and stopped_at <= outcomes[request][2] <= stopped_at + GRACE_S * 5 / 6
    ]
    complete = sum(one[0] == "complete" for one in outcomes.values())
    bed.record.write(f"complete: {complete} of {STREAMS}; cut at any front: {len(cut)}")
    bed.record.write(
        f"cut at the front that was stopped as planned, while a sound replica was at"
        f" work: {len(lost)}"
    )
    if complete < STREAMS / 2:
        return 2
    return 1 if lost else 0


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
