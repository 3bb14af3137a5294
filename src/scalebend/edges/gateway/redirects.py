"""Redirects a call to the control process that can handle it."""

from __future__ import annotations

from aiohttp import web

from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import InstanceId
from scalebend.utils.addresses import parse_address


def redirect_to(
    target: InstanceId, settings: GatewaySettings, request: web.BaseRequest
) -> web.Response:
    """Return a redirect of the call to ``target``.

    The port for calls is the same at every control process.
    """
    host = parse_address(target).host
    port = parse_address(str(settings.control_address)).port
    location = f"http://{host}:{port}{request.raw_path}"
    return web.Response(status=307, headers={"Location": location})
