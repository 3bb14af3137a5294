"""A model of one zone whose links to the others lose packets."""

import random
from collections import Counter

import msgspec
import pytest

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.path_evidence import FrontPaths, LeaderPaths
from scalebend.models.ids import AvailabilityZone, InstanceId
from scalebend.models.paths import build_zone_path
from scalebend.models.placement import Declined, JobStage
from tests.lib.gateway_builders import (
    PROFILE,
    build_quick,
)
from tests.lib.path_builders import (
    ZONES,
    C,
    build_fleet,
)

STEP_S = 0.05
EVENTS = 36
LOSS = 0.04
BEGIN, END = 4.0, 14.0
FRONTS_PER_ZONE = 7
TARGET_SHARE = 8 / 69
"""Late streams that are allowed, as a share of those without knowledge of the paths."""

ARRIVALS_PER_STEP = 2


class Stream(msgspec.Struct):
    job: str
    front: int
    zone: AvailabilityZone
    began: float
    left: int = EVENTS
    pause_until: float = 0.0
    is_late: bool = False


class LossyZone:
    """Fronts, replicas and the leader in steps of one event."""

    def __init__(
        self,
        seed,
        *,
        has_paths,
        arrivals=ARRIVALS_PER_STEP,
        replicas=36,
        bad_share=1 / 3,
    ):
        """``bad_share`` of the streams arrive at fronts in zone C."""
        self.arrivals = arrivals
        self.bad_share = bad_share
        self.chooser = random.Random(seed)
        self.fleet = build_fleet(replicas)
        self.zones = {one.upstream: one.availability_zone for one in self.fleet}
        self.scheduler = EngineScheduler()
        self.leader = LeaderPaths()
        if has_paths:
            self.scheduler.paths = self.leader.health
        fronts = range(3 * FRONTS_PER_ZONE)
        self.front_zones = [ZONES[number % 3] for number in fronts]
        self.fronts = [FrontPaths(zone, 0.0) for zone in self.front_zones]
        self.open, self.ended = [], []
        self.declined = self.started_late = 0
        """During the fault: work without a replica, and work predicted to be late."""

        self.peaks = dict.fromkeys(ZONES, 0)
        """Most open streams in each zone during the fault."""

    def is_bad(self, stream, now):
        zones = {self.front_zones[stream.front], stream.zone}
        return BEGIN <= now < END and len(zones) == 2 and C in zones

    def run(self, seconds):
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for _ in range(self.arrivals):
                self.arrive(now)
            for stream in list(self.open):
                self.advance(stream, now)
            if step % 4 == 0:
                for number, front in enumerate(self.fronts):
                    report = front.build_report(now)
                    self.leader.record(InstanceId(f"f-{number}"), report, now)
            self.leader.advance(now)
            if BEGIN <= now < END:
                self.count_open()
        return self

    def count_open(self):
        found = Counter(stream.zone for stream in self.open)
        for zone in ZONES:
            self.peaks[zone] = max(self.peaks[zone], found[zone])

    def arrive(self, now):
        number = len(self.ended) + len(self.open)
        is_even = self.bad_share == 1 / 3
        front = self.chooser.randrange(len(self.fronts))
        if not is_even:
            zone = C if self.chooser.random() < self.bad_share else ZONES[front % 2]
            front = 3 * (front % FRONTS_PER_ZONE) + ZONES.index(zone)
        work = build_quick(number, availability_zone=self.front_zones[front])
        placed = self.scheduler.place(work, self.fleet, PROFILE, now)
        if isinstance(placed, Declined):
            self.declined += BEGIN <= now < END
            return
        if BEGIN <= now < END:
            self.started_late += placed.first_token_in > work.target
        self.scheduler.record_stage(JobStage(work.job, is_ended=False), now)
        zone = self.zones[placed.upstream]
        self.open.append(Stream(work.job, front, zone, now))

    def advance(self, stream, now):
        if now < stream.pause_until:
            return
        is_released = stream.pause_until > 0.0
        if is_released:
            self.fronts[stream.front].record(stream.zone, 1, 1, now)
            stream.pause_until = 0.0
            stream.left -= 5
        stream.left -= 1
        self.fronts[stream.front].record(stream.zone, 1, 0, now)
        if self.is_bad(stream, now) and self.chooser.random() < LOSS:
            stream.pause_until = now + 0.25
            stream.is_late = True
        if stream.left <= 0:
            self.open.remove(stream)
            self.ended.append(stream)
            self.scheduler.record_stage(JobStage(stream.job, is_ended=True), now)

    def list_crossing(self, begin, end):
        return [
            stream
            for stream in self.ended
            if begin <= stream.began < end
            and stream.zone != self.front_zones[stream.front]
            and C in (stream.zone, self.front_zones[stream.front])
        ]

    def count_used(self):
        return sum(bool(load.parts) for load in self.scheduler._replicas.values())

    def count_late(self, begin=0.0):
        return sum(stream.is_late for stream in self.ended if stream.began >= begin)


def test_lossy_links_are_found_where_no_stream_stays_in_its_zone():
    before = LossyZone(3, has_paths=False, arrivals=1).run(20.0)
    after = LossyZone(3, has_paths=True, arrivals=1).run(20.0)
    crossing = len(before.list_crossing(BEGIN, END))
    assert len(after.list_crossing(BEGIN, END)) < TARGET_SHARE * crossing


class LossyPair(LossyZone):
    """Only the links between zones A and C lose packets."""

    def is_bad(self, stream, now):
        zones = {self.front_zones[stream.front], stream.zone}
        return BEGIN <= now < END and zones == {ZONES[0], C}


# Guards against evidence of several paths together that blames a healthy one.
@pytest.mark.parametrize("arrivals", [1, 2])
@pytest.mark.parametrize("seed", range(1, 9))
def test_lossy_pair_degrades_no_other_path(seed, arrivals):
    degraded = set()
    model = LossyPair(seed, has_paths=True, arrivals=arrivals)
    advance = model.leader.advance

    def observe(now):
        advance(now)
        degraded.update(model.leader.health.list_avoided_paths())

    model.leader.advance = observe
    model.run(20.0)
    assert degraded == {build_zone_path(ZONES[0], C)}


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_quick_streams_leave_lossy_links_and_return(seed):
    before = LossyZone(seed, has_paths=False).run(40.0)
    after = LossyZone(seed, has_paths=True).run(40.0)
    crossing = len(before.list_crossing(BEGIN, END))
    assert len(after.list_crossing(BEGIN, END)) < TARGET_SHARE * crossing
    assert after.count_late(BEGIN) < TARGET_SHARE * before.count_late(BEGIN)
    assert after.count_used() <= before.count_used() + len(ZONES)
    assert len(after.list_crossing(30.0, 38.0)) > 0.5 * len(
        before.list_crossing(30.0, 38.0)
    )


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("share", [1 / 3, 1 / 2], ids=["room", "no room"])
def test_no_zone_is_overfull_during_the_fault(seed, share):
    """With half of the streams at its fronts, zone C has no room for them all."""
    models = [
        LossyZone(seed, has_paths=has_paths, replicas=12, bad_share=share).run(20.0)
        for has_paths in (False, True)
    ]
    before, after = models
    assert after.declined == before.declined == 0
    assert after.started_late <= before.started_late
    zone_slots = 12 // len(ZONES) * PROFILE.slots
    assert max(after.peaks.values()) <= zone_slots
    if share > 1 / 3:
        assert after.peaks[C] > 0.8 * zone_slots
        assert after.list_crossing(BEGIN + 2.0, END)
