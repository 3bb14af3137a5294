"""TLS contexts from settings; an authority requires certificates on both sides."""

from __future__ import annotations

import ssl

from scalebend.models.settings import Tls


def build_server_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context of a listening socket; ``None`` without TLS."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def build_client_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context of outgoing connections; ``None`` without TLS."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
