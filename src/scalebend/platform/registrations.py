"""Registration and deregistration messages of upstreams, and their acknowledgement.

Other programs can call the same endpoint. A message with a field that is missing, of
the wrong type or out of range is rejected as a whole: it must neither add an upstream
nor change the one that it names.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.endpoints import (
    MAX_NAME_CHARS,
    Count,
    Deregistration,
    Endpoint,
    Name,
    Slots,
    build_upstream_id,
    is_valid_upstream_name,
)
from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamName
from scalebend.utils.addresses import parse_address

REGISTRATION_PREFIX = "/instances/"
CONFIGURATION_PATH = "/config"

ACKNOWLEDGEMENT = b"{}"
"""Body of the response to a registration; empty: keep using the same address."""


class _Registration(msgspec.Struct, rename="pascal", kw_only=True):
    service: Name
    address: Name
    zone: Name
    version: str
    slots: Slots
    state: Literal["ready", "draining"]
    seq: Count
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    # Start time in Unix milliseconds; older deployments do not send it.
    born: Count | msgspec.UnsetType = msgspec.field(name="born", default=msgspec.UNSET)


class _Deregistration(msgspec.Struct):
    born: Count | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Registration)
_DEREGISTRATION_DECODER = msgspec.json.Decoder(_Deregistration)


def encode_registration(endpoint: Endpoint) -> bytes:
    """Return the body of a registration of ``endpoint``; for test stand-ins."""
    return msgspec.json.encode(
        _Registration(
            service=endpoint.service,
            address=endpoint.address,
            zone=endpoint.availability_zone,
            version="v1",
            slots=endpoint.slots,
            state="draining" if endpoint.is_draining else "ready",
            seq=endpoint.sequence,
            cold_remaining_ms=endpoint.cold_s * 1000.0,
            born=msgspec.UNSET if endpoint.born is None else endpoint.born,
        )
    )


def decode_registration(upstream: str, data: bytes) -> Endpoint:
    """Return the endpoint to register; raise :class:`DocumentError` if invalid."""
    name = _read_name(upstream)
    try:
        read = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _build_error("$", str(error)) from error
    if not _is_valid_address(read.address):
        raise _build_error("$.Address", "an IP address and a port")
    born = None if read.born is msgspec.UNSET else read.born
    return Endpoint(
        upstream=build_upstream_id(name, born),
        service=ServiceName(read.service),
        address=read.address,
        availability_zone=AvailabilityZone(read.zone),
        slots=read.slots,
        is_draining=read.state == "draining",
        sequence=read.seq,
        born=born,
        cold_s=read.cold_remaining_ms / 1000.0,
    )


def decode_deregistration(upstream: str, data: bytes) -> Deregistration:
    """Return the upstream to deregister; raise :class:`DocumentError` if invalid.

    The body is usually empty, which means the latest incarnation.
    """
    name = _read_name(upstream)
    if not data:
        return Deregistration(name, None)
    try:
        read = _DEREGISTRATION_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _build_error("$", str(error)) from error
    return Deregistration(name, None if read.born is msgspec.UNSET else read.born)


def _read_name(text: str) -> UpstreamName:
    if len(text) > MAX_NAME_CHARS or not is_valid_upstream_name(text):
        raise _build_error("path", "the name of an upstream")
    return UpstreamName(text)


def _is_valid_address(text: str) -> bool:
    try:
        address = parse_address(text)
    except ValueError:
        return False
    host, _, port = text.rpartition(":")
    # Python's parsers accept numbers and brackets that are invalid in an address.
    is_plain = host in (address.host, f"[{address.host}]")
    return is_plain and port.isascii() and port.isdecimal() and address.port > 0


def _build_error(path: str, expected: str) -> DocumentError:
    return DocumentError([Fault(path, expected)], kind=ErrorKind.INVALID_ANNOUNCEMENT)
