"""A process opens its listening socket before it loads the libraries to serve it."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from scalebend.edges.gateway.sockets import Listeners
from scalebend.models.gateway_settings import Bounds
from scalebend.platform.early_settings import SETTINGS_VARIABLE, read_callers_address
from scalebend.platform.settings import encode_gateway_settings
from scalebend.standins.ports import find_free_ports, find_port_range
from tests.lib.gateway_builders import build_settings

SLOW_MODULES = ["msgspec", "structlog", "asyncio", "aiohttp"]


def test_nothing_slow_is_loaded_before_the_port_is_open():
    code = (
        "import sys, scalebend.commands.start_gateway\n"
        f"print([name for name in {SLOW_MODULES!r} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_stop_signal_while_libraries_load_is_a_planned_end(tmp_path):
    code = (
        "import os, signal, sys\n"
        "from scalebend.edges.gateway import sockets\n"
        "def stop(*_): os.kill(os.getpid(), signal.SIGTERM)\n"
        "sockets.Listeners.try_open = stop\n"
        "from scalebend.commands.start_gateway import main\n"
        "sys.exit(main() or 9)"
    )
    path = tmp_path / "node.json"
    path.write_bytes(encode_gateway_settings(build_settings()))
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        check=False,
    )
    assert done.returncode == 0


def test_early_address_equals_that_of_the_full_settings(tmp_path):
    path = tmp_path / "node.json"
    path.write_bytes(encode_gateway_settings(build_settings()))
    assert read_callers_address(str(path)) == build_settings().callers_address


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", '{"Listen": 3}', '{"Listen": {}}', '{"Listen": {"Front": 3}}'],
)
def test_invalid_settings_give_no_early_address(tmp_path, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    assert read_callers_address(str(path)) is None
    assert read_callers_address(str(tmp_path / "none.json")) is None


def test_control_process_has_no_address_for_callers(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({"Listen": {"Control": "127.0.0.1:1"}}))
    assert read_callers_address(str(path)) is None


def test_address_in_use_is_reported_by_open():
    (port,) = find_free_ports(1)
    first, second = Listeners(), Listeners()
    first.open(f"127.0.0.1:{port}")
    second.try_open(f"127.0.0.1:{port}")
    second.try_open("nowhere")
    with pytest.raises(OSError, match="in use"):
        second.open(f"127.0.0.1:{port}")
    first.pop(f"127.0.0.1:{port}").close()


def write_settings(folder):
    """Write settings of a front with free ports, and a short grace."""
    callers, readiness = find_free_ports(2)
    # A front listens for tunnels between the port of its links and the last one.
    links, _, metrics = find_port_range(3)
    settings = build_settings(
        link_address=f"127.0.0.1:{links}",
        seeds=[f"127.0.0.2:{links}"],
        callers_address=f"127.0.0.1:{callers}",
        readiness_address=f"127.0.0.1:{readiness}",
        metrics_port=metrics,
        bounds=Bounds(drain_grace=1.0),
    )
    path = folder / "node.json"
    path.write_bytes(encode_gateway_settings(settings))
    return path


def test_reload_signal_while_libraries_load_is_not_lost(tmp_path):
    """SIGHUP before the event loop ran ended the process with its default effect."""
    code = (
        "import os, signal\n"
        "from scalebend.edges.gateway import sockets\n"
        "open_listener = sockets.Listeners.try_open\n"
        "def signal_and_open(*arguments):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    open_listener(*arguments)\n"
        "sockets.Listeners.try_open = signal_and_open\n"
        "from scalebend.commands.start_gateway import main\n"
        "main()"
    )
    path = write_settings(tmp_path)
    with subprocess.Popen(
        [sys.executable, "-c", code],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    ) as process:
        events = []
        for line in process.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] in ("settings reloaded", "process stops"):
                process.terminate()
    assert "settings reloaded" in events
    assert process.returncode == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_while_a_process_ends_is_no_crash(tmp_path, number):
    """The event loop gave signals their default effect back before the end."""
    path = write_settings(tmp_path)
    with subprocess.Popen(
        [sys.executable, "-m", "scalebend.commands.start_gateway"],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    ) as process:
        for line in process.stdout:
            event = json.loads(line)["event"]
            if event == "front listens":
                process.terminate()
            if event == "process stops":
                while process.poll() is None:
                    process.send_signal(number)
                    time.sleep(0.001)
    assert process.returncode == 0
