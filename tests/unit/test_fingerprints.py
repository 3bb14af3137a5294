"""Fingerprints depend on the customer and the content, not on the attempt."""

import itertools

from scalebend.core.fingerprints import (
    MAX_PART_ID_CHARACTERS,
    build_part_id,
    compute_fingerprint,
)
from scalebend.models.ids import CustomerId

REQUEST = (CustomerId("crew"), "POST", "a.example", "/x/1?y=2", b"body")


def test_same_request_has_the_same_fingerprint_in_every_process():
    assert compute_fingerprint(*REQUEST) == "6067cf4ca715d73c04963ffc"
    assert compute_fingerprint(*REQUEST[:2], "A.example", *REQUEST[3:]) == (
        compute_fingerprint(*REQUEST)
    )


def test_each_part_changes_the_fingerprint():
    others = (CustomerId("crew2"), "GET", "b.example", "/x/1?y=3", b"bodY")
    changed = [
        (*REQUEST[:at], other, *REQUEST[at + 1 :]) for at, other in enumerate(others)
    ]
    names = [compute_fingerprint(*one) for one in [REQUEST, *changed]]
    assert all(a != b for a, b in itertools.combinations(names, 2))


def test_boundaries_between_parts_change_the_fingerprint():
    one = compute_fingerprint(CustomerId("ab"), "POST", "c.example", "/d", b"")
    other = compute_fingerprint(CustomerId("a"), "bPOST", "c.example", "/d", b"")
    assert one != other
    assert compute_fingerprint(None, "GET", "h", "/", b"/") != (
        compute_fingerprint(None, "GET", "h", "//", b"")
    )


def test_part_ids_tell_models_apart_and_are_bounded():
    names = {
        build_part_id("m", "5c1e07a2"),
        build_part_id("n", "5c1e07a2"),
        build_part_id("m", "a" * 1000),
        build_part_id("m" * 1000, "a"),
    }
    assert len(names) == 4
    assert all(len(name) <= MAX_PART_ID_CHARACTERS for name in names)
