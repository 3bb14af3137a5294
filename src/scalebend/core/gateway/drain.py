"""Decides which requests a front still takes and keeps after its stop signal.

The process is killed at the end of its grace, so work that lasts longer is lost for its
caller, who is better served by another front at once.
"""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.room_forecast import EngineFleet, compute_shortest_prefill
from scalebend.models.calls import Call
from scalebend.models.placement import EngineWork, JobId
from scalebend.utils.stop_signal import compute_stop_end

LAST_ADMISSION_S = 2.8
"""Seconds after the stop signal for which requests are still admitted: the load
balancer probes every second and needs two failed probes. Later requests may not finish
before the kill."""

UNKNOWN_DURATION_S = 1.0
"""Time kept for a request of which nothing tells how long it takes."""


class Drain(msgspec.Struct, frozen=True):
    """The time left to a front; clock times and durations in seconds."""

    began: float
    grace: float
    """Time from the stop signal to the kill."""

    @property
    def end(self) -> float:
        """When requests that are still open are ended."""
        return compute_stop_end(self.began, self.grace)

    def may_admit(self, now: float) -> bool:
        """Whether requests are still admitted, if there is time for them."""
        return now - self.began <= LAST_ADMISSION_S

    def has_time(self, duration: float, now: float) -> bool:
        """Whether work of this duration can end if it starts now."""
        return now + duration <= self.end


def estimate_duration(call: Call, fleet: EngineFleet | None, now: float) -> float:
    """Estimate how long a request takes on idle replicas, in seconds.

    ``fleet`` are the engines of its service; ``None`` if it has none.
    """
    prompt = call.headers.prompt
    if fleet is None or prompt is None:
        return UNKNOWN_DURATION_S
    work = EngineWork(
        job=JobId(""),
        service=call.service,
        prompt_tokens=prompt.prompt,
        output_tokens=prompt.max_output_tokens,
        expected_tokens=prompt.expected_output_tokens,
        target=call.route.target_latency,
        event_gap=call.route.event_gap or call.route.target_latency,
        remaining=call.deadline - now,
    )
    decoding = fleet.decode_times.predict(work, fleet.profile)
    return compute_shortest_prefill(work, fleet) + decoding
