"""What upstreams send to register themselves, and what they are answered."""

from __future__ import annotations

import msgspec

from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamId

REGISTRATION_PREFIX = "/instances/"
CONFIGURATION_PATH = "/config"

ACKNOWLEDGEMENT = b"{}"
"""Body of the answer to a registration: no other address for the next one."""


class _Registration(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    seq: int = 0


_DECODER = msgspec.json.Decoder(_Registration)


def encode_registration(endpoint: Endpoint) -> bytes:
    """Body with which the upstream ``endpoint`` registers; for stand-ins."""
    return msgspec.json.encode(
        _Registration(
            service=endpoint.service,
            address=endpoint.address,
            zone=endpoint.availability_zone,
            slots=endpoint.slots,
            state="draining" if endpoint.is_draining else "ready",
            seq=endpoint.sequence,
        )
    )


def decode_registration(upstream: str, data: bytes) -> Endpoint:
    """Return the endpoint that registers; raise when the body cannot be read."""
    try:
        read = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        fault = Fault("$", str(error))
        raise DocumentError([fault], kind=ErrorKind.INVALID_ANNOUNCEMENT) from error
    return Endpoint(
        upstream=UpstreamId(upstream),
        service=ServiceName(read.service),
        address=read.address,
        availability_zone=AvailabilityZone(read.zone),
        slots=read.slots,
        is_draining=read.state != "ready",
        sequence=read.seq,
    )
