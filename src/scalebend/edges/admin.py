"""HTTP endpoints for operators: configuration, status and draining."""

from __future__ import annotations

import ipaddress

import msgspec
from aiohttp import web

from scalebend.core.control_state import Accepted, ApplyConfiguration, Conflict
from scalebend.core.membership import MemberRank
from scalebend.edges.authorization import read_key
from scalebend.edges.runtime import Runtime
from scalebend.edges.settings_file import check_configuration
from scalebend.exceptions import (
    ErrorKind,
    Ran,
    RequestError,
    ScalebendError,
)
from scalebend.models.configuration import ConfigurationChange
from scalebend.models.ids import ConfigurationVersion, InstanceId, UpstreamId
from scalebend.utils.documents import decode_document
from scalebend.utils.keys import is_known_key

APPLY_TIMEOUT_S = 6.0


class InstanceStatus(msgspec.Struct, frozen=True):
    """One instance in ``status``; ``last_contact_age_s`` is encoded as ``heard``."""

    instance: InstanceId
    availability_zone: str
    state: str
    version: ConfigurationVersion
    last_contact_age_s: float = msgspec.field(name="heard")


class UpstreamStatus(msgspec.Struct, frozen=True):
    """One upstream in ``status``; sizes in tokens."""

    upstream: UpstreamId
    family: str
    state: str
    owner: InstanceId | None
    memory_tokens: int
    free_tokens: int
    queued: int
    decoding: int


class Status(msgspec.Struct, frozen=True):
    """The state of the system as one instance sees it."""

    instance: InstanceId
    is_ready: bool
    reason: str
    version: ConfigurationVersion
    epoch: int
    is_control: bool
    is_voter: bool
    voters: list[InstanceId]
    leader: InstanceId | None
    open_requests: int
    instances: list[InstanceStatus]
    upstreams: list[UpstreamStatus]


class ApplyResponse(msgspec.Struct, frozen=True):
    """The response to a change that was accepted as ``version``."""

    version: ConfigurationVersion


class ConflictResponse(msgspec.Struct, frozen=True):
    """The response to a conflicting change; ``winner_*`` name the accepted one."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    winner_version: ConfigurationVersion
    winner_change: str
    winner_operator: str


def build_status(runtime: Runtime) -> Status:
    """Return the status as this instance sees it now."""
    instance = runtime.instance
    now = runtime.now()
    readiness = instance.read_readiness(now)
    control = instance.control
    instances = [
        InstanceStatus(
            known.listed.instance,
            known.listed.availability_zone,
            known.rank.name.lower(),
            known.version,
            round(now - known.last_contact, 2),
        )
        for known in instance.membership.list_known()
    ]
    me = instance.membership.me
    rank = MemberRank(instance.membership.rank).name.lower()
    version = instance.configuration.version
    instances.append(
        InstanceStatus(me.instance, me.availability_zone, rank, version, 0.0)
    )
    upstreams = [
        UpstreamStatus(
            record.announcement.upstream,
            record.announcement.family.value,
            record.announcement.state.value,
            instance.owners.find_owner(record.announcement.upstream),
            record.view.memory_tokens,
            record.digest.free_tokens,
            record.digest.queued,
            record.digest.decoding,
        )
        for record in instance.catalog
    ]
    return Status(
        instance.me,
        readiness.is_ready,
        readiness.reason,
        version,
        instance.instances.epoch,
        control is not None,
        control is not None and control.has_settled_vote,
        control.list_voters() if control is not None else [],
        control.leader if control is not None else None,
        runtime.count_open(),
        sorted(instances, key=lambda item: item.instance),
        sorted(upstreams, key=lambda item: item.upstream),
    )


class AdminHandlers:
    """Handlers of the ``/admin`` endpoints."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    def add_routes(self, app: web.Application) -> None:
        """Register the operators' endpoints."""
        app.router.add_get("/admin/status", self._show_status)
        app.router.add_get("/admin/configuration", self._show_configuration)
        app.router.add_post("/admin/configuration", self._apply)
        app.router.add_post("/admin/drain", self._drain)

    def _check_operator(self, request: web.Request) -> None:
        hashes = self._runtime.instance.settings.operator_key_hashes
        if not hashes:
            if request.remote and ipaddress.ip_address(request.remote).is_loopback:
                return
            raise RequestError(
                "no operator key is configured: only loopback connections are allowed",
                kind=ErrorKind.FORBIDDEN,
            )
        if not is_known_key(read_key(request), hashes):
            raise RequestError("the key is unknown", kind=ErrorKind.UNKNOWN_KEY)

    async def _show_status(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        return _build_response(build_status(self._runtime))

    async def _show_configuration(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        return _build_response(self._runtime.instance.configuration)

    async def _apply(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        change = decode_document(
            await request.read(), ConfigurationChange, ErrorKind.INVALID_CONFIGURATION
        )
        check_configuration(change.configuration)
        if not change.change:
            raise RequestError("$.change: expected a change id")
        match await self._runtime.propose(ApplyConfiguration(change), APPLY_TIMEOUT_S):
            case Accepted(version):
                return _build_response(ApplyResponse(version))
            case Conflict(winner, base):
                error = ScalebendError(
                    f"base {base} is not the current version: "
                    f"{winner.operator or 'another operator'} applied change "
                    f"{winner.change} as version {winner.version}",
                    kind=ErrorKind.CONFIGURATION_CONFLICT,
                )
                return _build_response(
                    ConflictResponse(
                        error.kind.value,
                        error.response.title,
                        error.response.status,
                        error.detail,
                        Ran.NO.value,
                        winner.version,
                        winner.change,
                        winner.operator,
                    ),
                    status=error.response.status,
                )
            case _:
                raise ScalebendError(
                    "no quorum replied in time; the change may still be accepted: "
                    "send it again with the same change id",
                    kind=ErrorKind.NO_QUORUM,
                    ran=Ran.UNKNOWN,
                    retry_after=2.0,
                )

    async def _drain(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        self._runtime.stop_requested.set()
        return web.Response(status=202)


def _build_response(document: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type="application/json",
    )
