"""Upstreams that announce themselves while the instances of a cluster still start."""

import random

import pytest

from scalebend.core.instance import CATALOG_GRACE_S
from scalebend.measuring.harness import Harness
from scalebend.measuring.scenario import LoadCustomer, Scenario
from scalebend.models.ids import CustomerId

FIRST_ANNOUNCEMENT_S = 0.05

SEEDS = range(40)


class EarlyAnnouncements(Harness):
    """Engines announce themselves at once, instances start over ``spread`` seconds."""

    def __init__(self, seed, spread):
        chooser = random.Random(seed)
        self.starts = {f"entry-{n}": chooser.uniform(0.0, spread) for n in range(5)}
        scenario = Scenario(
            "early",
            [LoadCustomer(CustomerId("c"))],
            instances=5,
            control=3,
            engines=3,
            zones=["z"],
            services=0,
        )
        super().__init__(scenario, "fair", seed)
        for number, upstream in enumerate(self._engines):
            at = FIRST_ANNOUNCEMENT_S + 0.1 * number
            self.call_at(at, self._bind(self._announce_engine, upstream))

    def _tick(self, name):
        if self.now < self.starts[name]:
            self.call_at(self.starts[name], self._bind(self._tick, name))
            return
        super()._tick(name)

    def _deliver(self, sender, to, message):
        if self.now >= self.starts[to]:
            super()._deliver(sender, to, message)

    def _deliver_datagram(self, to, datagram):
        if self.now >= self.starts[to]:
            super()._deliver_datagram(to, datagram)


# Guards against announcements that are spread only before the first instance list, when
# each instance takes itself for the owner and forwards nothing.
@pytest.mark.parametrize("spread", [0.3, 1.0])
def test_all_instances_learn_upstreams_announced_before_the_instance_list(spread):
    for seed in SEEDS:
        harness = EarlyAnnouncements(seed, spread)
        harness.run_until(max(harness.starts.values()) + CATALOG_GRACE_S)
        for instance in harness.list_instances():
            known = {record.announcement.upstream for record in instance.catalog}
            assert known >= set(harness._engines), f"seed {seed}: {instance.me}"
