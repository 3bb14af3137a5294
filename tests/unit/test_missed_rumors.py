"""An instance that missed all rumors of the upstreams still learns of them.

Rumors are sent a bounded number of times, so one that asked for the catalog too early
and missed them would never hear of an upstream that does not change.
"""

import itertools

import msgspec

from scalebend.core.messages import CatalogPage, UpstreamRumor
from scalebend.measuring.harness import Harness
from scalebend.measuring.scenario import LoadCustomer, Scenario
from scalebend.models.ids import CustomerId, InstanceId

LOSS_ENDS_AT_S = 8.0
"""Simulated time after which all rumors of upstreams have been sent."""

CATCH_UP_TIMEOUT_S = 10.0
"""Simulated time until the missed upstreams are known."""


class RumorLoss(Harness):
    """Drops the upstream rumors and empties the catalog pages to one instance."""

    def __init__(self, affected, seed):
        self.affected = InstanceId(affected)
        scenario = Scenario(
            "missed-news",
            [LoadCustomer(CustomerId("c"))],
            instances=5,
            control=3,
            engines=3,
            zones=["z"],
        )
        super().__init__(scenario, "fair", seed)

    def send_datagram(self, name, address, datagram):
        if self._by_gossip[address] == self.affected and self.now < LOSS_ENDS_AT_S:
            rumors = [r for r in datagram.rumors if not isinstance(r, UpstreamRumor)]
            datagram = msgspec.structs.replace(datagram, rumors=rumors)
        super().send_datagram(name, address, datagram)

    def send_message(self, name, to, message):
        is_page = isinstance(message, CatalogPage)
        if is_page and to == self.affected and self.now < LOSS_ENDS_AT_S:
            message = CatalogPage([], [])
        super().send_message(name, to, message)


def test_instance_learns_upstreams_whose_rumors_were_lost():
    for affected, seed in itertools.product(("entry-0", "entry-4"), (1, 2, 3)):
        harness = RumorLoss(affected, seed)
        harness.run_until(LOSS_ENDS_AT_S + CATCH_UP_TIMEOUT_S)
        for instance in harness.list_instances():
            known = {record.announcement.upstream for record in instance.catalog}
            assert known >= set(harness._engines)
