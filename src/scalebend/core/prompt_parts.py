"""Splits prompts of the cluster's own API into parts that other requests may share.

A chat consists of messages. Text has no such boundaries, so its beginnings take their
place: callers share the beginning of a prompt, and the shortest beginning with the
harmful text recurs in all prompts that crash.
"""

from __future__ import annotations

import msgspec
import xxhash

from scalebend.core.fingerprints import build_part_id
from scalebend.models.ids import ModelName, PartId

MAX_PARTS = 64
"""Maximum number of parts of one prompt, the first ones."""

MIN_BEGINNING_BYTES = 256
"""Length of the shortest beginning of a text that counts as a part; each further one
has twice that of the one before."""

_MESSAGES = msgspec.json.Decoder(list[msgspec.Raw])


def split_messages(model: ModelName, messages: bytes) -> tuple[PartId, ...]:
    """Return the ids of the messages of a chat but the last, in order.

    ``messages`` is a JSON array. Raises :class:`msgspec.MsgspecError` for other values.
    """
    parts = [bytes(message) for message in _MESSAGES.decode(messages)]
    shared = parts[:-1][:MAX_PARTS]
    ids = (build_part_id(model, xxhash.xxh3_128_hexdigest(part)) for part in shared)
    return tuple(dict.fromkeys(ids))


def split_text(model: ModelName, text: bytes) -> tuple[PartId, ...]:
    """Return the ids of the beginnings of a text, shortest first."""
    state = xxhash.xxh3_128()
    ids: list[PartId] = []
    start, end = 0, MIN_BEGINNING_BYTES
    while end < len(text) and len(ids) < MAX_PARTS:
        state.update(text[start:end])
        ids.append(build_part_id(model, state.hexdigest()))
        start, end = end, 2 * end
    return tuple(ids)
