"""An upstream that answers with a given head, byte for byte."""

import asyncio
from dataclasses import dataclass, field

ECHOED_ID = b"X-Request-Id: <id>"
SEAL = b"X-Server-Seal: raw"
EVENT = b"id: 1\ndata: raw\n\n"
LENGTH = b"Content-Length: %d" % len(EVENT)
FIELDS = (ECHOED_ID, SEAL, b"Content-Type: text/event-stream")


def build_head(status_line=b"HTTP/1.1 200 OK", *fields, framing=LENGTH, end=b"\r\n"):
    """Return a head with the fields of a replica, and ``fields`` before them."""
    framed = [framing] if framing else []
    return end.join([status_line, *fields, *FIELDS, *framed, b"", b""])


def build_chunks(data, trailer=b""):
    return b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(data), data, trailer)


@dataclass
class RawReplica:
    """Sends ``head`` and ``body`` to each request, with the id of the request."""

    head: bytes
    body: bytes = EVENT
    segment_size: int | None = None
    requests: list[bytes] = field(default_factory=list)
    closed: int = 0
    """Connections that ended, also by a reset."""

    async def respond(self, reader, writer):
        try:
            while True:
                await self._answer(reader, writer)
        finally:
            self.closed += 1

    async def _answer(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        fields = dict(line.lower().partition(b": ")[::2] for line in lines)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        self.requests.append(lines[0])
        request = fields.get(b"x-request-id", b"")
        await self._send(writer, self.head.replace(b"<id>", request) + self.body)

    async def _send(self, writer, data):
        size = self.segment_size or len(data)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
