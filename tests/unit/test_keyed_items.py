"""Items that several keys refer to, for as long as a block runs."""

from scalebend.utils.keyed_items import KeyedItems


def test_items_are_found_by_each_key_until_their_block_ends():
    items = KeyedItems()
    with items.hold(("a", "b"), 1):
        with items.hold(("b",), 2):
            assert items.find("a") == (1,)
            assert items.find("b") == (1, 2)
            assert len(items) == 2
        assert items.find("b") == (1,)
    assert items.find("a") == items.find("b") == ()
    assert not len(items)
