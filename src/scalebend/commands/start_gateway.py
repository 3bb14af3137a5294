"""Entry point of a gateway process: listens for callers before it loads the rest.

After a power loss callers return while processes start. A refused connection uses up
one of a caller's two attempts, whereas an accepted connection waits for the response.
A front therefore imports only what it needs to listen first.
"""

from __future__ import annotations

import os
import sys

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
    address = read_callers_address(os.environ.get(SETTINGS_VARIABLE, ""))
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


if __name__ == "__main__":
    sys.exit(main())
