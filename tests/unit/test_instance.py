"""One instance as a whole, with a control group of its own."""

from scalebend.core.claims import Claim
from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.instance import Instance
from scalebend.models.ids import InstanceId, Region
from scalebend.models.settings import Listen, Role, Settings
from tests.lib.builders import ENTRY, ZONE


def carry_out(instance, now, wall):
    entries = []
    while True:
        ready = instance.control.take_ready(now)
        if ready.is_empty and not instance.control.has_outgoing:
            return entries
        entries += ready.committed
        instance.finish_control(ready, now, wall)


def test_claim_proposed_at_the_leader_itself_carries_the_wall_clock():
    settings = Settings(
        instance=InstanceId(ENTRY),
        region=Region("r"),
        availability_zone=ZONE,
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        roles=[Role.ENTRY, Role.CONTROL],
        data_folder="-",
    )
    recovered = Recovered(DiskId("d"), HardState(0, None), None, [])
    instance = Instance(settings, recovered, now=0.0, incarnation=1)
    for step in range(1, 40):
        instance.advance(step * 0.05, 5_000.0)
        carry_out(instance, step * 0.05, 5_000.0)
    assert instance.read_readiness(2.0).is_ready
    instance.propose(Claim("c", "k", "f", "r1"), 2.0, 2.0, 5_001.0)
    (entry,) = carry_out(instance, 2.0, 5_001.0)
    assert entry.at == 5_001.0
