"""Builders of core objects with default values for tests."""

from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    CustomerId,
    Incarnation,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from scalebend.models.upstream import (
    Announcement,
    LoadedModel,
    UpstreamFamily,
    UpstreamState,
)
from scalebend.models.work import ReplicaView, Request, Work

ZONE = AvailabilityZone("pelotas")
MODEL = ModelName("lamp-notes")
ENTRY = InstanceId("entry-1")
UPSTREAM = UpstreamId("engine-1")


def build_view(**changes: object) -> ReplicaView:
    values = {
        "upstream": UPSTREAM,
        "availability_zone": ZONE,
        "memory_tokens": 10_000,
        "concurrency": 8,
        "prefill_rate": 10_000.0,
        "step_time": 0.02,
        **changes,
    }
    return ReplicaView(**values)


def build_work(attempt: str, **changes: object) -> Work:
    values = {
        "attempt": AttemptId(attempt),
        "request": RequestId(attempt.split(".")[0]),
        "customer": CustomerId("keepers"),
        "entry": ENTRY,
        "upstream": UPSTREAM,
        "memory_tokens": 1_000,
        "prefill_tokens": 900,
        "output_tokens": 100,
        "timeout_s": 60.0,
        **changes,
    }
    return Work(**values)


def build_request(request: str, **changes: object) -> Request:
    values = {
        "request": RequestId(request),
        "customer": CustomerId("keepers"),
        "arrived": 0.0,
        "deadline": 60.0,
        "model": MODEL,
        "prompt_tokens": 900,
        "output_tokens": 100,
        **changes,
    }
    return Request(**values)


def build_announcement(upstream: str = UPSTREAM, **changes: object) -> Announcement:
    values = {
        "upstream": UpstreamId(upstream),
        "family": UpstreamFamily.ENGINE,
        "address": "127.0.0.1:9000",
        "incarnation": Incarnation(1),
        "availability_zone": ZONE,
        "state": UpstreamState.SERVING,
        "models": [LoadedModel(MODEL)],
        "memory_tokens": 10_000,
        "concurrency": 8,
        "prefill_rate": 10_000.0,
        "step_time": 0.02,
        **changes,
    }
    return Announcement(**values)


def build_service_announcement(upstream: str = "orders-1") -> Announcement:
    return build_announcement(
        upstream,
        family=UpstreamFamily.SERVICE,
        service=ServiceName("work-orders"),
        models=[],
        memory_tokens=0,
    )
