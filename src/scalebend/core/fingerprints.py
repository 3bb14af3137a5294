"""Fingerprints and part ids, which identify what different attempts have in common.

Callers use a new id for each attempt and send it to any process. So log lines and
messages between processes identify a request by its customer and content.
"""

from __future__ import annotations

import hashlib

from scalebend.models.ids import CustomerId, Fingerprint, PartId

_DIGEST_BYTES = 12
"""96 bits, which make accidental collisions negligible and a second request with the
fingerprint of a given one infeasible to find."""

MAX_PART_ID_CHARACTERS = 96
"""Maximum length of a part id. Longer ones are hashed: their number is bounded in
memory and in messages, their length must be, too."""


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


def build_part_id(model: str, part: str) -> PartId:
    """Build the id of a part of prompts for a model, which may be unnamed.

    The same text is read by different code for each model, so one model may fail on it
    while others don't.
    """
    name = f"{model}/{part}"
    if len(name) <= MAX_PART_ID_CHARACTERS:
        return PartId(name)
    digest = hashlib.sha256(name.encode(errors="surrogateescape"))
    return PartId(digest.digest()[:_DIGEST_BYTES].hex())
