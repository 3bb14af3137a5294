"""Publishes the upstreams that the leader ejects to fronts and to the scheduler."""

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
    """Outlier detection on the leader, and the ejections published last."""

    def __init__(self) -> None:
        self._detector = OutlierDetector()
        self._published: list[UpstreamId] = []

    def record(
        self,
        outcomes: Iterable[UpstreamOutcomes],
        directory: EndpointDirectory,
        now: float,
    ) -> None:
        """Record the outcomes of a front's attempts."""
        for one in outcomes:
            endpoint = directory.get(one.upstream)
            if endpoint is not None:
                usable = len(directory.list_usable(endpoint.service))
                self._detector.record(one, endpoint.service, usable, now)

    def expire(self, now: float) -> None:
        """Forget upstreams without recent failures."""
        self._detector.expire(now)

    def send_current(self, front: InstanceId) -> list[ToFront]:
        """Send the current ejections to a newly linked front."""
        return (
            [ToFront(front, EjectedUpstreams(self._published))]
            if self._published
            else []
        )

    def publish(
        self, fronts: Iterable[InstanceId], scheduler: EngineScheduler, now: float
    ) -> list[ToFront]:
        """Send the ejections to all fronts if they changed."""
        ejections = self._detector.list_ejections(now)
        ejected = [one.upstream for one in ejections]
        if ejected == self._published:
            return []
        for one in ejections:
            scheduler.avoid(one.upstream, one.until)
        logger.info("upstreams ejected", upstreams=ejected, before=self._published)
        self._published = ejected
        return [ToFront(front, EjectedUpstreams(ejected)) for front in fronts]
