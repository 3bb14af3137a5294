"""Requests are told apart by caller and content, not by the attempt they come with."""

import itertools

from scalebend.core.fingerprints import compute_fingerprint
from scalebend.models.ids import CustomerId

USUAL = (CustomerId("crew"), "POST", "a.example", "/x/1?y=2", b"body")


def test_same_request_has_the_same_name_at_every_process():
    assert compute_fingerprint(*USUAL) == "6067cf4ca715d73c04963ffc"
    assert compute_fingerprint(*USUAL[:2], "A.example", *USUAL[3:]) == (
        compute_fingerprint(*USUAL)
    )


def test_each_part_tells_requests_apart():
    others = (CustomerId("crew2"), "GET", "b.example", "/x/1?y=3", b"bodY")
    changed = [
        (*USUAL[:at], other, *USUAL[at + 1 :]) for at, other in enumerate(others)
    ]
    names = [compute_fingerprint(*one) for one in [USUAL, *changed]]
    assert all(a != b for a, b in itertools.combinations(names, 2))


def test_parts_do_not_run_into_each_other():
    one = compute_fingerprint(CustomerId("ab"), "POST", "c.example", "/d", b"")
    other = compute_fingerprint(CustomerId("a"), "bPOST", "c.example", "/d", b"")
    assert one != other
    assert compute_fingerprint(None, "GET", "h", "/", b"/") != (
        compute_fingerprint(None, "GET", "h", "//", b"")
    )
