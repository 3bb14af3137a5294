"""Recent instance lists, so that a change travels instead of the whole list.

At 390 instances a list is about 50 KB, and more than a hundred change it on an
ordinary day; a change is about 130 bytes an instance that came or went.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from scalebend.core.control_state import InstanceList, ListedInstance
from scalebend.models.ids import Epoch, InstanceId

MOST_REMEMBERED = 64
"""Lists remembered; who asks with an older one gets the whole newest list."""


class ListChange(msgspec.Struct, frozen=True, tag=True):
    """What turns the list of ``base`` into the list of ``epoch``."""

    base: Epoch
    epoch: Epoch
    joined: list[ListedInstance]
    left: list[InstanceId]


class WholeList(msgspec.Struct, frozen=True, tag=True):
    """The whole list, for who has none or a forgotten one."""

    instances: InstanceList


ListNews = ListChange | WholeList


class ListHistory:
    """The newest instance list and the ones before it."""

    def __init__(self) -> None:
        self._lists: OrderedDict[Epoch, InstanceList] = OrderedDict()

    def put(self, listed: InstanceList) -> None:
        """Remember a newer list."""
        if listed.epoch in self._lists:
            return
        self._lists[listed.epoch] = listed
        while len(self._lists) > MOST_REMEMBERED:
            self._lists.popitem(last=False)

    def build_news(self, epoch: Epoch, newest: InstanceList) -> ListNews | None:
        """Return what an instance with the list of ``epoch`` lacks."""
        if newest.epoch <= epoch:
            return None
        known = self._lists.get(epoch)
        if known is None:
            return WholeList(newest)
        before = set(known.instances)
        after = set(newest.instances)
        names = {item.instance for item in newest.instances}
        left = [i.instance for i in known.instances if i.instance not in names]
        joined = sorted(after - before)
        return ListChange(epoch, newest.epoch, joined, sorted(left))


def apply_news(news: ListNews, current: InstanceList) -> InstanceList | None:
    """Return the newer list; ``None`` when the news does not build on ``current``."""
    match news:
        case WholeList(instances):
            return instances if instances.epoch > current.epoch else None
        case ListChange(base, epoch, joined, left):
            if base != current.epoch:
                return None
            listed = {item.instance: item for item in current.instances}
            for name in left:
                listed.pop(name, None)
            listed.update({item.instance: item for item in joined})
            return InstanceList(epoch, sorted(listed.values()))
