"""Parse ``IP:port`` addresses."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``IP:port``; raise ``ValueError`` if it is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"expected IP:port, got {text!r}")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"expected a port of 0 to 65535, got {number}")
    return Address(host.strip("[]"), number)
