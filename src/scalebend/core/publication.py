"""Reply of an instance to a request for newer committed state."""

from __future__ import annotations

from scalebend.core.control_state import InstanceList
from scalebend.core.list_history import ListHistory
from scalebend.core.messages import Fetch, Published
from scalebend.models.configuration import AcceptedConfiguration


def build_published(
    fetch: Fetch,
    configuration: AcceptedConfiguration,
    instances: InstanceList,
    history: ListHistory,
) -> Published | None:
    """Return the state newer than the versions in ``fetch``; ``None`` if none is."""
    newer = configuration if configuration.version > fetch.version else None
    listed = history.build_update(fetch.epoch, instances)
    if newer is None and listed is None:
        return None
    return Published(newer, listed)
