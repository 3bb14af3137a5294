"""Tells fronts and the scheduler which upstreams the leader ejects."""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.messages import EjectedUpstreams
from scalebend.core.gateway.outlier_detector import OutlierDetector
from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import InstanceId, UpstreamId

logger = structlog.get_logger(__name__)


class EjectionPush:
    """What fronts saw of upstreams, and what they were told of it; from one leader."""

    def __init__(self) -> None:
        self._detector = OutlierDetector()
        self._told: list[UpstreamId] = []

    def take(
        self,
        outcomes: Iterable[UpstreamOutcomes],
        directory: EndpointDirectory,
        now: float,
    ) -> None:
        """Learn what became of a front's attempts."""
        for one in outcomes:
            endpoint = directory.get(one.upstream)
            if endpoint is not None:
                usable = len(directory.list_usable(endpoint.service))
                self._detector.record(one, endpoint.service, usable, now)

    def expire(self, now: float) -> None:
        """Forget upstreams that failed nothing for long."""
        self._detector.expire(now)

    def greet(self, front: InstanceId) -> list[ToFront]:
        """Tell a front that was just linked."""
        return [ToFront(front, EjectedUpstreams(self._told))] if self._told else []

    def publish(
        self, fronts: Iterable[InstanceId], scheduler: EngineScheduler, now: float
    ) -> list[ToFront]:
        """Tell all fronts, if what is ejected has changed."""
        ejections = self._detector.list_ejections(now)
        ejected = [one.upstream for one in ejections]
        if ejected == self._told:
            return []
        for one in ejections:
            scheduler.avoid(one.upstream, one.until)
        logger.info("upstreams ejected", upstreams=ejected, before=self._told)
        self._told = ejected
        return [ToFront(front, EjectedUpstreams(ejected)) for front in fronts]
