"""Parts of prompts on the cluster's own API: what different requests share."""

import msgspec
import pytest

from scalebend.core.prompt_parts import (
    MAX_PARTS,
    MIN_BEGINNING_BYTES,
    split_messages,
    split_text,
)


def split_chat(*texts, model="m"):
    messages = [{"role": "user", "content": text} for text in texts]
    return split_messages(model, msgspec.json.encode(messages))


def test_same_message_has_the_same_id_behind_different_beginnings():
    one, other = split_chat("a", "shared", "x"), split_chat("shared", "b", "y")
    assert len(set(one) & set(other)) == 1
    assert not set(one) & set(split_chat("a", "shared", "x", model="n"))


def test_last_message_is_no_part():
    assert split_chat("only") == ()
    assert split_chat("a", "b") == split_chat("a", "c")


def test_number_of_parts_is_bounded():
    assert len(split_chat(*map(str, range(500)))) == MAX_PARTS
    assert len(split_text("m", bytes(4 * 1024 * 1024))) < MAX_PARTS


def test_texts_share_the_beginnings_that_are_equal():
    size = 4 * MIN_BEGINNING_BYTES
    one, other = b"a" * size + b"b" * size, b"a" * size + b"c" * size
    shared = set(split_text("m", one)) & set(split_text("m", other))
    assert len(shared) == 3
    assert split_text("m", b"a" * MIN_BEGINNING_BYTES) == ()


@pytest.mark.parametrize("messages", [b'"text"', b"{}", b"7", b"null"])
def test_other_values_than_arrays_are_no_chat(messages):
    with pytest.raises(msgspec.MsgspecError):
        split_messages("m", messages)
