"""Recent instance lists, kept to send only the difference to the newest one.

At 390 instances a list is about 50 KB and changes more than a hundred times on an
ordinary day; a difference is about 130 bytes for each instance that joined or left.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from scalebend.core.control_state import InstanceList, ListedInstance
from scalebend.models.ids import Epoch, InstanceId

MAX_REMEMBERED_LISTS = 64
"""Lists kept; an instance with an older one receives the whole newest list."""


class ListChange(msgspec.Struct, frozen=True, tag=True):
    """Difference between the lists of epochs ``base`` and ``epoch``."""

    base: Epoch
    epoch: Epoch
    joined: list[ListedInstance]
    left: list[InstanceId]


class WholeList(msgspec.Struct, frozen=True, tag=True):
    """The whole list, for an instance whose own list is not in the history."""

    instances: InstanceList


ListUpdate = ListChange | WholeList


class ListHistory:
    """The newest instance list and its most recent predecessors."""

    def __init__(self) -> None:
        self._lists: OrderedDict[Epoch, InstanceList] = OrderedDict()

    def put(self, newest: InstanceList) -> None:
        """Add a list unless its epoch is known."""
        if newest.epoch in self._lists:
            return
        self._lists[newest.epoch] = newest
        while len(self._lists) > MAX_REMEMBERED_LISTS:
            self._lists.popitem(last=False)

    def build_update(self, epoch: Epoch, newest: InstanceList) -> ListUpdate | None:
        """Return the update for an instance with the list of ``epoch``, if any."""
        if newest.epoch <= epoch:
            return None
        base_list = self._lists.get(epoch)
        if base_list is None:
            return WholeList(newest)
        base_instances = set(base_list.instances)
        newest_instances = set(newest.instances)
        listed_now = {item.instance for item in newest.instances}
        left = [i.instance for i in base_list.instances if i.instance not in listed_now]
        joined = sorted(newest_instances - base_instances)
        return ListChange(epoch, newest.epoch, joined, sorted(left))


def apply_list_update(update: ListUpdate, current: InstanceList) -> InstanceList | None:
    """Return the newer list; ``None`` if the update does not fit ``current``."""
    match update:
        case WholeList(instances):
            return instances if instances.epoch > current.epoch else None
        case ListChange(base, epoch, joined, left):
            if base != current.epoch:
                return None
            updated = {item.instance: item for item in current.instances}
            for name in left:
                updated.pop(name, None)
            updated.update({item.instance: item for item in joined})
            return InstanceList(epoch, sorted(updated.values()))
