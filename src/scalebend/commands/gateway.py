"""``scalebend gateway``: runs a front, a control instance or a relay."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import msgspec
import structlog

from scalebend.commands.check import print_faults
from scalebend.edges.essential_tasks import end_process_without_essential_tasks
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.edges.gateway.sockets import Listeners, open_listeners
from scalebend.edges.logs import configure_bounded_logs
from scalebend.exceptions import DocumentError, StorageError
from scalebend.models.gateway_settings import GatewayRole, GatewaySettings
from scalebend.platform.early_settings import SETTINGS_VARIABLE
from scalebend.platform.settings import read_gateway_settings
from scalebend.utils.early_signals import EarlySignals, handle_early_signals
from scalebend.utils.stop_signal import StopSignal

logger = structlog.get_logger(__name__)

_EMPTY_CERTIFICATE_PATHS = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}
"""Environment that makes the HTTP library load no certificates.

It loads those of the system on import, which slows the start down; links and upstreams
use plain TCP.
"""


def run(
    *,
    settings: Path | None,
    log_level: str,
    link_listen: str | None,
    listeners: Listeners | None = None,
    signals: EarlySignals | None = None,
) -> int:
    """Run the process for the role in the settings until SIGTERM.

    ``listeners`` are sockets that are already listening, and ``signals`` those that
    are already handled, if any.
    """
    signals = signals or handle_early_signals()
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        gateway_settings = read_gateway_settings(path)
    except DocumentError as error:
        print_faults(path, error)
        return 2
    gateway_settings = msgspec.structs.replace(
        gateway_settings, link_listen=link_listen
    )
    os.environ.update(_EMPTY_CERTIFICATE_PATHS)
    configure_bounded_logs(log_level)
    try:
        listeners = open_listeners(gateway_settings, listeners or Listeners())
        asyncio.run(_run(gateway_settings, listeners, path, signals))
    except StorageError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 3
    return 0


async def _run(
    settings: GatewaySettings, listeners: Listeners, path: Path, signals: EarlySignals
) -> None:
    stopped = StopSignal()
    loop = asyncio.get_running_loop()
    end_process_without_essential_tasks(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    watch = SettingsWatch(path, settings)
    loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
    if signals.is_reload_requested:
        watch.request_reload()
    logger.info("process starts", instance=settings.name, role=settings.role.value)
    match settings.role:
        case GatewayRole.FRONT:
            from scalebend.edges.gateway.front_server import serve_front

            await serve_front(settings, listeners, stopped, watch)
        case GatewayRole.CONTROL:
            from scalebend.edges.gateway.control_server import serve_control

            await serve_control(settings, stopped, watch)
        case GatewayRole.RELAY:
            from scalebend.edges.gateway.relay_server import serve_relay

            await serve_relay(settings, stopped, watch)
    _ignore_signals(loop)
    logger.info("process stops", instance=settings.name)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals until the end; closing the loop would let them end the process."""
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
