"""Measures the cost of the control plane for one instance, by cluster size.

The cores of all instances run in simulated time with engines that send announcements
and active customers, but without requests. Messages and datagrams are encoded and
counted. The cost of a socket is measured separately, on loopback; the report multiplies
it by these counts.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable

import msgspec

from scalebend.core.membership import RumorQueue
from scalebend.core.messages import Datagram, Envelope, FetchCatalog, PeerMessage
from scalebend.edges.gossip import open_gossip
from scalebend.edges.peers import serve_peers
from scalebend.measuring.harness import Harness
from scalebend.measuring.scenario import LoadCustomer, Scenario
from scalebend.models.ids import (
    ConfigurationVersion,
    CustomerId,
    Epoch,
    InstanceId,
)
from scalebend.standins.ports import find_free_ports

WARM_UP_S = 20.0
MEASURED_S = 4.0
MESSAGE_COUNT = 2_000
PAGE_BYTES = 4_096
ACTIVE_SHARE = 0.05
"""Share of the customers that are active at one instance."""

_ENCODE = msgspec.msgpack.Encoder().encode


class ControlCost(msgspec.Struct, frozen=True):
    """Cost of one instance.

    Datagrams, messages and their bytes are rates per second; ``processor`` is in
    seconds per second, ``memory`` in MiB. ``live_seen`` is the mean number of live
    instances that an instance knows.
    """

    instances: int
    upstreams: int
    customers: int
    datagrams: float
    datagram_bytes: float
    messages: float
    message_bytes: float
    processor: float
    memory: float
    live_seen: float


class SocketCost(msgspec.Struct, frozen=True):
    """Processor seconds of one datagram and one message, both sides together."""

    datagram: float
    message: float


class _CountingHarness(Harness):
    """Counts the datagrams and messages that instances send."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.datagrams = 0
        self.datagram_bytes = 0
        self.messages = 0
        self.message_bytes = 0
        super().__init__(scenario, "split-fair", seed)

    def send_datagram(self, name: InstanceId, address: str, datagram: Datagram) -> None:
        """Count a datagram and pass it on."""
        self.datagrams += 1
        self.datagram_bytes += len(_ENCODE(datagram))
        super().send_datagram(name, address, datagram)

    def send_message(
        self, name: InstanceId, to: InstanceId, message: PeerMessage
    ) -> None:
        """Count a message and pass it on."""
        self.messages += 1
        self.message_bytes += len(_ENCODE(Envelope(name, message)))
        super().send_message(name, to, message)

    def charge_active_customers(self) -> None:
        """Record usage of some customers at each instance."""
        customers = [customer.customer for customer in self.scenario.customers]
        count = max(1, int(len(customers) * ACTIVE_SHARE))
        for number, instance in enumerate(self.list_instances()):
            for step in range(count):
                customer = customers[(number * 7 + step) % len(customers)]
                instance.owners.shares.charge(customer, 1.0, self.now)

    def reset_counts(self) -> None:
        """Reset the counts and drop queued rumors."""
        # The rumors of a cluster that starts all at once are not the steady state.
        for instance in self.list_instances():
            instance.membership.rumors = RumorQueue()
        self.datagrams = self.datagram_bytes = 0
        self.messages = self.message_bytes = 0


def measure_control_cost(instances: int, upstreams: int, customers: int) -> ControlCost:
    """Run the cores of all instances for some simulated seconds."""
    scenario = Scenario(
        "control",
        [LoadCustomer(CustomerId(f"c{n}")) for n in range(customers)],
        instances=instances,
        control=5 if instances > 30 else 3,
        engines=upstreams,
        zones=[f"z{n}" for n in range(6)],
    )
    gc.collect()
    before = _read_resident_bytes()
    harness = _CountingHarness(scenario, 1)
    harness.run_until(WARM_UP_S)
    gc.collect()
    memory = _read_resident_bytes() - before
    harness.charge_active_customers()
    harness.run_until(WARM_UP_S + 1.0)
    harness.reset_counts()
    started = time.process_time()
    for _ in range(int(MEASURED_S)):
        harness.charge_active_customers()
        harness.run_until(harness.now + 1.0)
    spent = time.process_time() - started
    scale = instances * MEASURED_S
    seen = [len(i.membership.list_live()) for i in harness.list_instances()]
    return ControlCost(
        instances,
        upstreams,
        customers,
        harness.datagrams / scale,
        harness.datagram_bytes / scale,
        harness.messages / scale,
        harness.message_bytes / scale,
        spent / scale,
        memory / instances / 2**20,
        sum(seen) / len(seen),
    )


def _read_resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def measure_socket_cost() -> SocketCost:
    """Measure a datagram and a message over loopback, both sides in one process."""
    datagram = await _measure_datagram_cost()
    message = await _measure_message_cost()
    return SocketCost(datagram, message)


async def _measure_datagram_cost() -> float:
    ports = find_free_ports(2)
    received: list[Datagram] = []
    one = InstanceId("one")
    datagram = Datagram(
        one, 1, True, ConfigurationVersion(0), Epoch(0), [], [InstanceId("x" * 60)]
    )
    addresses = [f"127.0.0.1:{port}" for port in ports]
    async with (
        open_gossip(addresses[0], received.append, None) as sender,
        open_gossip(addresses[1], received.append, None),
    ):
        started = time.process_time()
        for _ in range(MESSAGE_COUNT):
            sender.send(addresses[1], datagram)
            await asyncio.sleep(0)
        await _wait_until(lambda: len(received) >= MESSAGE_COUNT * 0.99)
        return (time.process_time() - started) / MESSAGE_COUNT


async def _measure_message_cost() -> float:
    ports = find_free_ports(2)
    received: list[PeerMessage] = []

    def receive(sender: InstanceId, message: PeerMessage) -> None:
        received.append(message)

    addresses = [f"127.0.0.1:{port}" for port in ports]
    one, two = InstanceId("one"), InstanceId("two")
    async with (
        serve_peers(one, addresses[0], None, receive) as sender,
        serve_peers(two, addresses[1], None, receive),
    ):
        sender.send(two, addresses[1], FetchCatalog())
        await _wait_until(lambda: len(received) == 1)
        started = time.process_time()
        for number in range(MESSAGE_COUNT):
            sender.send(two, addresses[1], FetchCatalog())
            # One frame for each message is the most expensive case.
            await _wait_until(lambda number=number: len(received) >= number + 2)  # type: ignore[misc]
        return (time.process_time() - started) / MESSAGE_COUNT


async def _wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise TimeoutError("messages were lost on loopback")
