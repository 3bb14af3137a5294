"""Reads and validates settings and configuration files."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from scalebend.core.queueing import STRATEGIES
from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.configuration import Configuration
from scalebend.models.settings import Role, Settings
from scalebend.utils.addresses import parse_address
from scalebend.utils.documents import decode_document
from scalebend.utils.keys import HASH_PREFIX


def read_settings(path: Path) -> Settings:
    """Return the settings in ``path``; :class:`DocumentError` lists all faults."""
    settings = decode_document(
        _read(path, ErrorKind.INVALID_SETTINGS), Settings, ErrorKind.INVALID_SETTINGS
    )
    check_settings(settings)
    return settings


def read_configuration(path: Path) -> Configuration:
    """Return the configuration in ``path``; :class:`DocumentError` lists all faults."""
    data = _read(path, ErrorKind.INVALID_CONFIGURATION)
    return parse_configuration(data)


def parse_configuration(data: bytes) -> Configuration:
    """Return the configuration in ``data``; :class:`DocumentError` lists all faults."""
    configuration = decode_document(
        data, Configuration, ErrorKind.INVALID_CONFIGURATION
    )
    check_configuration(configuration)
    return configuration


def check_settings(settings: Settings) -> None:
    """Check rules that the types do not express; raise with all faults."""
    faults = []
    addresses = [
        ("$.listen.callers", settings.listen.callers),
        ("$.listen.peers", settings.listen.peers),
        ("$.listen.gossip", settings.listen.gossip),
    ]
    for number, peer in enumerate(settings.peers):
        addresses.append((f"$.peers[{number}].peers", peer.peers))
        addresses.append((f"$.peers[{number}].gossip", peer.gossip))
        if peer.instance == settings.instance:
            expected = "expected other instances only"
            faults.append(Fault(f"$.peers[{number}].instance", expected))
    for path, address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            faults.append(Fault(path, str(error)))
    if not settings.instance:
        faults.append(Fault("$.instance", "expected a name"))
    if Role.CONTROL in settings.roles and settings.data_folder is None:
        expected = "expected a path: the role 'control' keeps state on disk"
        faults.append(Fault("$.data_folder", expected))
    if settings.policy not in STRATEGIES:
        faults.append(Fault("$.policy", f"expected one of {', '.join(STRATEGIES)}"))
    faults += _check_limits(settings)
    faults += _check_hashes("$.operator_key_hashes", settings.operator_key_hashes)
    faults += _check_hashes("$.upstream_key_hashes", settings.upstream_key_hashes)
    if faults:
        raise DocumentError(faults, kind=ErrorKind.INVALID_SETTINGS)


def _check_limits(settings: Settings) -> list[Fault]:
    limits = settings.limits
    faults = []
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            faults.append(Fault(f"$.limits.{name}", "expected a number above 0"))
    if limits.body_bytes_sum < limits.body_bytes:
        expected = "expected at least limits.body_bytes"
        faults.append(Fault("$.limits.body_bytes_sum", expected))
    return faults


def _check_hashes(path: str, hashes: list[str]) -> list[Fault]:
    return [
        Fault(f"{path}[{number}]", f"expected {HASH_PREFIX} and 64 hex digits")
        for number, value in enumerate(hashes)
        if not value.startswith(HASH_PREFIX) or len(value) != len(HASH_PREFIX) + 64
    ]


def check_configuration(configuration: Configuration) -> None:
    """Check rules that the types do not express; raise with all faults."""
    faults = []
    seen_keys: set[str] = set()
    customers = configuration.customers
    faults += _check_unique("$.customers", [c.customer for c in customers])
    for number, customer in enumerate(customers):
        path = f"$.customers[{number}]"
        if not customer.weight > 0:
            faults.append(Fault(f"{path}.weight", "expected a number above 0"))
        if not -8 <= customer.priority <= 8:
            faults.append(Fault(f"{path}.priority", "expected -8 to 8"))
        faults += _check_hashes(f"{path}.key_hashes", customer.key_hashes)
        for key in customer.key_hashes:
            if key in seen_keys:
                faults.append(
                    Fault(f"{path}.key_hashes", "expected keys used only once")
                )
            seen_keys.add(key)
        for name in customer.limits.__struct_fields__:
            value = getattr(customer.limits, name)
            if value is not None and value <= 0:
                expected = "expected a number above 0"
                faults.append(Fault(f"{path}.limits.{name}", expected))
    faults += _check_unique("$.models", [m.model for m in configuration.models])
    faults += _check_unique("$.services", [s.service for s in configuration.services])
    for number, model in enumerate(configuration.models):
        if model.bytes_per_token <= 0:
            path = f"$.models[{number}].bytes_per_token"
            faults.append(Fault(path, "expected a number above 0"))
        if model.replicas < 0:
            path = f"$.models[{number}].replicas"
            faults.append(Fault(path, "expected a number of at least 0"))
    if configuration.weight_store_loads_per_minute <= 0:
        path = "$.weight_store_loads_per_minute"
        faults.append(Fault(path, "expected a number above 0"))
    if faults:
        raise DocumentError(faults, kind=ErrorKind.INVALID_CONFIGURATION)


def _check_unique(path: str, names: Sequence[str]) -> list[Fault]:
    return [
        Fault(f"{path}[{number}]", f"expected a unique, non-empty name: {name}")
        for number, name in enumerate(names)
        if name in names[:number] or not name
    ]


def _read(path: Path, kind: ErrorKind) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise DocumentError([Fault("$", f"{path}: {reason}")], kind=kind) from None
