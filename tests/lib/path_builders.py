"""Zones, evidence and states of paths for tests."""

from scalebend.core.gateway.path_health import PathHealth
from scalebend.models.ids import AvailabilityZone, InstanceId
from scalebend.models.paths import PathEvidence, PathReport, PathSum, build_zone_path
from tests.lib.gateway_builders import build_endpoint

A, B, C = ZONES = [AvailabilityZone(zone) for zone in ("z-a", "z-b", "z-c")]
BAD = build_zone_path(C, A)
OWN = build_zone_path(C, C)
HEALTHY = PathSum(200.0, 0.0, 0)
LOSSY = PathSum(200.0, 8.0, 3)
FRONT = InstanceId("front-1")


def judge(sums, min_fronts=2):
    health = PathHealth(min_fronts)
    health.update(sums, 0.0)
    return health


def build_path_report(lost, zone=C):
    return PathReport(
        zone, [PathEvidence(A, 100.0, lost), PathEvidence(zone, 100.0, 0.0)]
    )


def build_fleet(count, zones=ZONES):
    return tuple(
        build_endpoint(number, availability_zone=zones[number % len(zones)])
        for number in range(count)
    )
