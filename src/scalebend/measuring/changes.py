"""Measures change propagation, time without a leader, and recovery from disk."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

from scalebend.core.consensus.messages import Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.control_state import ApplyConfiguration, encode_command
from scalebend.measuring.harness import START_TIME_S, Harness
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

CHANGE_COUNT = 60
CHANGE_INTERVAL_S = 0.7
STEP_S = 0.01
MAX_WAIT_S = 10.0
LEADER_CRASH_COUNT = 12


class PropagationFigures(msgspec.Struct, frozen=True):
    """Times from a change or a leader crash, in simulated seconds."""

    instances: int
    in_force_p50: float
    in_force_p99: float
    without_leader_p50: float
    without_leader_max: float


class RecoveryFigures(msgspec.Struct, frozen=True):
    """Times of one control member on the local disk, in seconds of real time."""

    changes: int
    write_seconds: float
    recovery_seconds: float
    bytes_per_change: float
    folder_bytes: int


def measure_change_propagation(instances: int) -> PropagationFigures:
    """Apply changes at all instances in turn, then crash leaders of new clusters."""
    scenario = Scenario(
        "changes",
        [LoadCustomer(CustomerId("c"))],
        instances=instances,
        engines=4,
        services=0,
    )
    harness = Harness(scenario, "split-fair", 1)
    harness.run_until(START_TIME_S + 4.0)
    delays = [_measure_change(harness, number) for number in range(CHANGE_COUNT)]
    times_without_leader = []
    for seed in range(LEADER_CRASH_COUNT):
        crashing = Harness(scenario, "split-fair", seed)
        crashing.run_until(START_TIME_S + 2.0 + seed * 0.03)
        times_without_leader.append(_measure_time_without_leader(crashing))
    return PropagationFigures(
        instances,
        compute_quantile(delays, 0.5),
        compute_quantile(delays, 0.99),
        compute_quantile(times_without_leader, 0.5),
        max(times_without_leader),
    )


def _measure_change(harness: Harness, number: int) -> float:
    instances = harness.list_instances()
    version = max(i.configuration.version for i in instances)
    change = ConfigurationChange(
        version,
        ChangeId(f"change-{number}"),
        Configuration(customers=[Customer(CustomerId(f"c{number}"), [])]),
    )
    harness.propose(instances[number % len(instances)], ApplyConfiguration(change))
    accepted: float | None = None
    deadline = harness.now + MAX_WAIT_S
    while harness.now < deadline:
        harness.run_until(harness.now + STEP_S)
        versions = [i.configuration.version for i in instances]
        if accepted is None and max(versions) > version:
            accepted = harness.now
        if min(versions) > version:
            break
    start = accepted if accepted is not None else deadline
    delay = harness.now - start
    harness.run_until(harness.now + CHANGE_INTERVAL_S)
    return delay


def _measure_time_without_leader(harness: Harness) -> float:
    leader = _find_leader(harness)
    assert leader is not None
    harness.crash_instance(leader)
    crashed_at = harness.now
    while _find_leader(harness) is None and harness.now < crashed_at + MAX_WAIT_S:
        harness.run_until(harness.now + STEP_S)
    return harness.now - crashed_at


def _find_leader(harness: Harness) -> InstanceId | None:
    for instance in harness.list_instances():
        if instance.control is not None and instance.control.replica.is_leader:
            return instance.me
    return None


def measure_recovery(folder: Path, changes: int) -> RecoveryFigures:
    """Write changes to a journal on disk, one synced write each, and recover them."""
    with open_journal(folder) as (journal, recovered):
        member = _build_member(recovered)
        _run_until_elected(member, journal)
        started = time.perf_counter()
        for number in range(changes):
            _commit_change(member, journal, number)
        written = time.perf_counter() - started
        written_bytes = journal.bytes_written
    started = time.perf_counter()
    with open_journal(folder) as (journal, recovered):
        member = _build_member(recovered)
        _run_until_elected(member, journal)
        recovery = time.perf_counter() - started
    assert member.state.configuration.version == changes
    size = sum(path.stat().st_size for path in folder.iterdir())
    return RecoveryFigures(changes, written, recovery, written_bytes / changes, size)


def _build_member(recovered: Recovered) -> ControlMember:
    return ControlMember(InstanceId("measured"), [], recovered, now=0.0)


def _run_until_elected(member: ControlMember, journal: Journal) -> None:
    for step in range(1, 40):
        member.advance(step * 0.1)
        _execute_ready(member, journal, step * 0.1)


def _commit_change(member: ControlMember, journal: Journal, number: int) -> None:
    change = ConfigurationChange(
        ConfigurationVersion(number),
        ChangeId(f"change-{number}"),
        Configuration(customers=[Customer(CustomerId(f"c{number}"), [])]),
    )
    member.replica.propose(encode_command(ApplyConfiguration(change)), 1.0, 10.0)
    _execute_ready(member, journal, 10.0)


def _execute_ready(member: ControlMember, journal: Journal, now: float) -> None:
    while not (ready := member.collect_ready(now)).is_empty:
        if ready.persist is not None:
            journal.write(ready.persist)
        member.finish(ready, now)
    snapshot = member.build_due_snapshot()
    if snapshot is not None:
        journal.store_snapshot(snapshot, *member.read_tail(snapshot))
        member.replica.compact(snapshot)
