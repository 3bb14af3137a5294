"""Entry point of a gateway process: listens for callers before it loads the rest.

After a power loss callers return while processes start. A refused connection uses up
one of a caller's two attempts, whereas an accepted connection waits for the response.
A front therefore imports only what it needs to listen first. A founder of the control
group stores that it is one: later starts no longer say so.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time

from scalebend.utils.early_signals import handle_early_signals


def main() -> int:
    """Run the process for the role in the platform's settings until SIGTERM."""
    signals = handle_early_signals()
    # Imported once signals are handled: until then they end the process.
    from scalebend.edges.gateway.sockets import Listeners
    from scalebend.platform.early_settings import (
        SETTINGS_VARIABLE,
        read_callers_address,
    )

    listeners = Listeners()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    _store_founding(path)
    address = read_callers_address(path)
    if address is not None:
        listeners.try_open(address)
    # Imported after the port is open, because this takes most of the start.
    from scalebend.commands.gateway import run

    return run(
        settings=None,
        log_level="info",
        link_listen=None,
        listeners=listeners,
        signals=signals,
    )


def _store_founding(path: str) -> None:
    """Store that this process founds the control group, if its settings say so."""
    from scalebend.models.founding import StoredFounding
    from scalebend.models.ids import InstanceId
    from scalebend.platform.early_settings import read_founders
    from scalebend.storage.founding_file import store_founding

    read = read_founders(path)
    if read is None:
        return
    folder, addresses = read
    founders = [InstanceId(address) for address in addresses]
    # The control instance stores it again, and restarts until its disk works.
    with contextlib.suppress(OSError):
        store_founding(folder, StoredFounding(founders, time.time()))


if __name__ == "__main__":
    sys.exit(main())
