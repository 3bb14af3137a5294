"""How fast changes spread, how long there is no leader, and recovery from disk."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

from scalebend.core.consensus.messages import Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.control_state import ApplyConfiguration, encode_command
from scalebend.measuring.harness import START_TIME, Harness
from scalebend.measuring.scenario import LoadCustomer, Scenario
from scalebend.models.configuration import Configuration, ConfigurationChange, Customer
from scalebend.models.ids import (
    ChangeId,
    ConfigurationVersion,
    CustomerId,
    InstanceId,
)
from scalebend.storage.journal import Journal, open_journal
from scalebend.utils.quantiles import compute_quantile

CHANGES = 60
CHANGE_GAP = 0.7
STEP = 0.01
LONGEST_WAIT = 10.0
LEADER_LOSSES = 12


class SpreadFigures(msgspec.Struct, frozen=True):
    """Seconds in virtual time."""

    instances: int
    in_force_p50: float
    in_force_p99: float
    without_leader_p50: float
    without_leader_max: float


class RecoveryFigures(msgspec.Struct, frozen=True):
    """Real time of one member on this disk."""

    changes: int
    write_seconds: float
    recovery_seconds: float
    bytes_per_change: float
    folder_bytes: int


def measure_spread(instances: int) -> SpreadFigures:
    """Apply changes at changing instances; then lose the leader again and again."""
    scenario = Scenario(
        "changes",
        [LoadCustomer(CustomerId("c"))],
        instances=instances,
        engines=4,
        services=0,
    )
    harness = Harness(scenario, "split-fair", 1)
    harness.run_until(START_TIME + 4.0)
    spread = [_apply_one(harness, number) for number in range(CHANGES)]
    gaps = []
    for seed in range(LEADER_LOSSES):
        lost = Harness(scenario, "split-fair", seed)
        lost.run_until(START_TIME + 2.0 + seed * 0.03)
        gaps.append(_lose_leader(lost))
    return SpreadFigures(
        instances,
        compute_quantile(spread, 0.5),
        compute_quantile(spread, 0.99),
        compute_quantile(gaps, 0.5),
        max(gaps),
    )


def _apply_one(harness: Harness, number: int) -> float:
    instances = harness.list_instances()
    version = max(i.configuration.version for i in instances)
    change = ConfigurationChange(
        version,
        ChangeId(f"change-{number}"),
        Configuration(customers=[Customer(CustomerId(f"c{number}"), [])]),
    )
    harness.propose(instances[number % len(instances)], ApplyConfiguration(change))
    accepted: float | None = None
    deadline = harness.now + LONGEST_WAIT
    while harness.now < deadline:
        harness.run_until(harness.now + STEP)
        versions = [i.configuration.version for i in instances]
        if accepted is None and max(versions) > version:
            accepted = harness.now
        if min(versions) > version:
            break
    start = accepted if accepted is not None else deadline
    spread = harness.now - start
    harness.run_until(harness.now + CHANGE_GAP)
    return spread


def _lose_leader(harness: Harness) -> float:
    leader = _find_leader(harness)
    assert leader is not None
    harness.lose_instance(leader)
    lost = harness.now
    while _find_leader(harness) is None and harness.now < lost + LONGEST_WAIT:
        harness.run_until(harness.now + STEP)
    return harness.now - lost


def _find_leader(harness: Harness) -> InstanceId | None:
    for instance in harness.list_instances():
        if instance.control is not None and instance.control.replica.is_leader:
            return instance.me
    return None


def measure_recovery(folder: Path, changes: int) -> RecoveryFigures:
    """Write changes through a real journal, one synced write each; read it back."""
    with open_journal(folder) as (journal, recovered):
        member = _start(recovered)
        _settle(member, journal)
        started = time.perf_counter()
        for number in range(changes):
            _commit(member, journal, number)
        written = time.perf_counter() - started
        written_bytes = journal.bytes_written
    started = time.perf_counter()
    with open_journal(folder) as (journal, recovered):
        member = _start(recovered)
        _settle(member, journal)
        recovery = time.perf_counter() - started
    assert member.state.configuration.version == changes
    size = sum(path.stat().st_size for path in folder.iterdir())
    return RecoveryFigures(changes, written, recovery, written_bytes / changes, size)


def _start(recovered: Recovered) -> ControlMember:
    return ControlMember(InstanceId("measured"), [], recovered, now=0.0)


def _settle(member: ControlMember, journal: Journal) -> None:
    for step in range(1, 40):
        member.advance(step * 0.1)
        _carry_out(member, journal, step * 0.1)


def _commit(member: ControlMember, journal: Journal, number: int) -> None:
    change = ConfigurationChange(
        ConfigurationVersion(number),
        ChangeId(f"change-{number}"),
        Configuration(customers=[Customer(CustomerId(f"c{number}"), [])]),
    )
    member.replica.propose(encode_command(ApplyConfiguration(change)), 1.0, 10.0)
    _carry_out(member, journal, 10.0)


def _carry_out(member: ControlMember, journal: Journal, now: float) -> None:
    while not (ready := member.take_ready(now)).is_empty:
        if ready.persist is not None:
            journal.write(ready.persist)
        member.finish(ready, now)
    snapshot = member.build_due_snapshot()
    if snapshot is not None:
        journal.store_snapshot(snapshot, *member.read_tail(snapshot))
        member.replica.compact(snapshot)
