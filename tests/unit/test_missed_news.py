"""Every instance learns of every upstream in the end, whatever news it missed.

Seen: of five processes that started on a busy machine, not all knew the two engines and
the service after 25 seconds, though all listened, had a leader and a fresh
configuration after one. Rumors are passed on a bounded number of times, to instances
that are known then, and an instance asks another for its upstreams only once: one that
asked too early and missed the rumors never hears of an upstream that does not change.
"""

import itertools

import msgspec

from scalebend.core.messages import CatalogPage, UpstreamRumor
from scalebend.measuring.harness import Harness
from scalebend.measuring.scenario import LoadCustomer, Scenario
from scalebend.models.ids import CustomerId, InstanceId

MISSES_UNTIL = 8.0
"""Seconds in which rumors of upstreams are sent and done with."""

LEARNS_WITHIN = 10.0
"""Seconds, by the clock of the system, until what was missed is known."""


class MissingNews(Harness):
    """One instance asks for upstreams before there are any, and misses the rumors."""

    def __init__(self, missing, seed):
        self.missing = InstanceId(missing)
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
        if self._by_gossip[address] == self.missing and self.now < MISSES_UNTIL:
            rumors = [r for r in datagram.rumors if not isinstance(r, UpstreamRumor)]
            datagram = msgspec.structs.replace(datagram, rumors=rumors)
        super().send_datagram(name, address, datagram)

    def send_message(self, name, to, message):
        is_page = isinstance(message, CatalogPage)
        if is_page and to == self.missing and self.now < MISSES_UNTIL:
            message = CatalogPage([], [])
        super().send_message(name, to, message)


def test_upstreams_that_were_missed_are_learned_in_the_end():
    for missing, seed in itertools.product(("entry-0", "entry-4"), (1, 2, 3)):
        harness = MissingNews(missing, seed)
        harness.run_until(MISSES_UNTIL + LEARNS_WITHIN)
        for instance in harness.list_instances():
            known = {record.announcement.upstream for record in instance.catalog}
            assert known >= set(harness._engines)
