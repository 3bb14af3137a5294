"""Fingerprints, which identify repeated requests across attempts and processes.

Callers use a new id for each attempt and send it to any process. So log lines and
messages between processes identify a request by its customer and content.
"""

from __future__ import annotations

import hashlib

from scalebend.models.ids import CustomerId, Fingerprint

_DIGEST_BYTES = 12
"""96 bits, which make accidental collisions negligible and a second request with the
fingerprint of a given one infeasible to find."""


def compute_fingerprint(
    customer: CustomerId | None, method: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Compute the fingerprint of a request, in hexadecimal digits.

    ``target`` is path and query as received. The cost grows with the size of the body.
    """
    digest = hashlib.sha256()
    for part in (customer or "", method, host.lower(), target):
        # Length prefixes make the concatenation of the parts unambiguous.
        encoded = part.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.digest()[:_DIGEST_BYTES].hex())
