"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.gateway_settings import Bounds, GatewayRole, GatewaySettings
from scalebend.models.ids import AvailabilityZone, Region
from scalebend.utils.addresses import parse_address


class _Listen(msgspec.Struct, rename="pascal"):
    front: str | None = None
    ready: str | None = None
    control: str | None = None


class _Tolerate(msgspec.Struct, rename="pascal"):
    machines: int = 0
    zones: int = 0
    regions: int = 0


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: int = 256
    max_fds: int = 1024


class _Bounds(msgspec.Struct, rename="pascal"):
    revoke_ms: float = 5000.0
    revoke_strict: bool = True
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    hold_max_ms: float = 20000.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0


class _Settings(msgspec.Struct, rename="pascal"):
    node_name: str
    serves: list[str]
    ip: str
    zone: str
    listen: _Listen
    # The first port is for links between processes, the next for tunnels through
    # fronts, the last for metrics.
    port_range: tuple[int, int]
    # Control addresses; the port for links is the same on every instance.
    seeds: list[str]
    region: str = ""
    bootstrap: bool = False
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    data_dir: str | None = None
    heartbeat_ms: float = 1000.0


def encode_gateway_settings(settings: GatewaySettings) -> bytes:
    """Return the file that the platform would write; for test stand-ins.

    All instances use the same link port and the same port for control calls.
    """
    link = parse_address(settings.link_address)
    control = settings.control_address
    # The platform names seeds by their control addresses, not link addresses.
    control_port = parse_address(control or settings.seeds[0]).port
    bounds = settings.bounds
    written = _Settings(
        node_name=settings.name,
        serves=["front" if settings.role is GatewayRole.FRONT else "control"],
        ip=link.host,
        zone=settings.availability_zone,
        listen=_Listen(settings.callers_address, settings.readiness_address, control),
        port_range=(link.port, settings.metrics_port or link.port),
        seeds=[f"{parse_address(s).host}:{control_port}" for s in settings.seeds],
        bootstrap=settings.is_first_start,
        tolerate=_Tolerate(
            settings.tolerated_losses,
            settings.tolerated_zones,
            settings.tolerated_regions,
        ),
        region=settings.region,
        bounds=_Bounds(
            revoke_ms=bounds.key_revocation * 1000.0,
            revoke_strict=bounds.is_revocation_strict,
            grace_s=bounds.drain_grace,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window,
            retry_slack=bounds.retry_slack,
            hold_max_ms=bounds.max_reservation_s * 1000.0,
            cold_excess=bounds.slow_start_excess,
            cold_slack=bounds.slow_start_slack,
        ),
        data_dir=settings.data_folder,
        heartbeat_ms=settings.heartbeat_interval * 1000.0,
    )
    return msgspec.json.encode(written)


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Return the settings in ``path``; raise :class:`DocumentError` if invalid."""
    try:
        read = msgspec.json.decode(path.read_bytes(), type=_Settings)
    except (OSError, msgspec.MsgspecError) as error:
        fault = Fault("$", str(error))
        raise DocumentError([fault], kind=ErrorKind.INVALID_SETTINGS) from error
    role = GatewayRole.FRONT
    if "control" in read.serves:
        role = GatewayRole.CONTROL if read.data_dir is not None else GatewayRole.RELAY
    bounds = read.bounds
    link_port, last_port = read.port_range
    tunnel_address = None
    if role is GatewayRole.FRONT and link_port + 1 < last_port:
        tunnel_address = f"{read.ip}:{link_port + 1}"
    return GatewaySettings(
        name=read.node_name,
        role=role,
        availability_zone=AvailabilityZone(read.zone),
        link_address=f"{read.ip}:{link_port}",
        seeds=[f"{parse_address(seed).host}:{link_port}" for seed in read.seeds],
        is_first_start=read.bootstrap,
        tolerated_losses=read.tolerate.machines,
        tolerated_zones=read.tolerate.zones,
        tolerated_regions=read.tolerate.regions,
        region=Region(read.region),
        heartbeat_interval=read.heartbeat_ms / 1000.0,
        bounds=Bounds(
            key_revocation=bounds.revoke_ms / 1000.0,
            is_revocation_strict=bounds.revoke_strict,
            drain_grace=bounds.grace_s,
            retry_ratio=bounds.retry_ratio,
            retry_window=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            max_reservation_s=bounds.hold_max_ms / 1000.0,
            slow_start_excess=bounds.cold_excess,
            slow_start_slack=bounds.cold_slack,
        ),
        tunnel_address=tunnel_address,
        callers_address=read.listen.front,
        readiness_address=read.listen.ready,
        control_address=read.listen.control,
        metrics_port=last_port,
        data_folder=read.data_dir,
        max_open_files=read.limits.max_fds,
        memory_mib=read.limits.memory_mb,
    )
