"""Simulated control group: a lossy network and disks that keep only synced writes."""

import msgspec

from scalebend.core.consensus.messages import DiskId, HardState, Place, Recovered
from scalebend.core.consensus.voter_spread import Tolerance
from scalebend.core.control_member import ControlMember
from scalebend.core.control_state import decode_command
from scalebend.core.messages import ProposalReply, Propose
from scalebend.models.ids import Term

CLIENT = "client"

TICK_S = 0.05
"""Simulated time between two rounds of timers."""


class Disk:
    """Disk whose contents after a crash are the whole, synced writes."""

    def __init__(self, name):
        self.name = DiskId(name)
        self.hard_state = HardState(Term(0), None)
        self.snapshot = None
        self.entries = []

    def write(self, persist):
        if persist.hard_state is not None:
            self.hard_state = persist.hard_state
        if persist.truncate_from is not None:
            kept = [e for e in self.entries if e.index < persist.truncate_from]
            self.entries = kept
        self.entries += persist.entries

    def store_snapshot(self, snapshot, hard_state, entries):
        self.snapshot = snapshot
        self.hard_state = hard_state
        self.entries = list(entries)

    def recover(self):
        entries = list(self.entries)
        return Recovered(self.name, self.hard_state, self.snapshot, entries)


class ControlGroup:
    """Members by name, messages in flight, and the entries that were applied."""

    def __init__(
        self,
        names,
        snapshot_entries=8,
        seeds=None,
        voters_wanted=None,
        demand=None,
        zones=None,
    ):
        """With ``seeds``, members discover each other through these."""
        self.names = list(names)
        self.seeds = seeds
        if voters_wanted is not None:
            demand = Tolerance(machines=(voters_wanted - 1) // 2)
        self.demand = demand
        self.zones = zones or {}
        """Zones by the names of members; those of others are not known."""
        self.now = 0.0
        self.disks = {name: Disk(f"{name}-disk-0") for name in self.names}
        self.members = {}
        self.in_flight = []
        self.results = {}
        self.applied = {}
        self.leaders = {}
        self.isolated = set()
        self.snapshot_entries = snapshot_entries
        self.starts = 0
        self.is_first_start = True
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.starts += 1
        known = self.names if self.seeds is None else self.seeds
        peers = [other for other in known if other != name]
        member = ControlMember(
            name,
            peers,
            self.disks[name].recover(),
            now=self.now,
            seed=self.starts,
            may_found=self.seeds is None or (self.is_first_start and name in known),
            demand=self.demand,
            place=self.find_place(name),
        )
        self.members[name] = member

    def find_place(self, name):
        if name not in self.zones:
            return None
        region, _, zone = self.zones[name].rpartition("/")
        return Place(zone, region)

    def crash(self, name):
        self.members.pop(name, None)

    def add(self, name):
        """Add an instance with an empty disk."""
        self.names.append(name)
        self.disks[name] = Disk(f"{name}-disk-{self.starts}")
        self.start(name)

    def remove(self, name):
        """Remove an instance permanently."""
        self.crash(name)
        self.names.remove(name)

    def replace_disk(self, name):
        self.crash(name)
        self.disks[name] = Disk(f"{name}-disk-{self.starts}")
        self.start(name)

    def pump(self, name, crash_after=None):
        """Carry out the member's pending work.

        ``crash_after``: crash before (0) or right after (1) the first write.
        """
        member = self.members.get(name)
        disk = self.disks[name]
        while member is not None:
            ready = member.collect_ready(self.now)
            if ready.is_empty and not member.has_outgoing:
                break
            if crash_after == 0:
                self.crash(name)
                return
            if ready.snapshot is not None:
                disk.store_snapshot(ready.snapshot, *member.read_tail(ready.snapshot))
            elif ready.persist is not None:
                disk.write(ready.persist)
            if crash_after == 1:
                self.crash(name)
                return
            self.record_applied(name, ready)
            for action in member.finish(ready, self.now):
                self.in_flight.append((name, action.instance, action.message))
            self.record_leader(name)
            if member.replica.entries_since_snapshot >= self.snapshot_entries:
                snapshot = member.replica.build_snapshot(member.state.export())
                disk.store_snapshot(snapshot, *member.read_tail(snapshot))
                member.replica.compact(snapshot)

    def record_applied(self, name, ready):
        for entry in ready.committed:
            known = self.applied.setdefault(entry.index, entry)
            assert known == entry, f"two entries committed at {entry.index}"

    def record_leader(self, name):
        replica = self.members[name].replica
        if replica.is_leader:
            known = self.leaders.setdefault(replica.term, replica.me)
            assert known == replica.me, f"two leaders in term {replica.term}"

    def deliver(self, position, *, keep=False):
        sender, to, message = self.in_flight[position]
        if not keep:
            del self.in_flight[position]
        if to == CLIENT:
            self.record_result(message)
            return
        if {sender, to} & self.isolated or to not in self.members:
            return
        # Encodes and decodes the message, as between processes.
        data = msgspec.msgpack.encode(message)
        copy = msgspec.msgpack.decode(data, type=type(message))
        self.members[to].handle(sender, copy, self.now, 1_000.0 + self.now)
        self.pump(to)

    def record_result(self, message):
        assert isinstance(message, ProposalReply)
        if message.result is not None:
            known = self.results.setdefault(message.proposal, message.result)
            assert known == message.result, "two results of one proposal"

    def propose(self, name, proposal, command):
        if name in self.members:
            message = Propose(proposal, msgspec.msgpack.encode(command))
            self.members[name].handle(CLIENT, message, self.now, 1_000.0 + self.now)
            self.pump(name)

    def advance(self, seconds):
        self.now += seconds
        for name in list(self.members):
            self.members[name].advance(self.now)
            self.pump(name)

    def deliver_all(self, limit=5_000):
        for _ in range(limit):
            if not self.in_flight:
                return
            self.deliver(0)

    def settle(self, seconds=6.0):
        """Start and connect all members, then run for ``seconds``."""
        self.isolated.clear()
        for name in self.names:
            if name not in self.members:
                self.start(name)
        for _ in range(int(seconds / 0.1)):
            self.advance(0.1)
            self.deliver_all()

    def run(self, seconds):
        """Run for ``seconds``; members that are down stay down."""
        for _ in range(round(seconds / TICK_S)):
            self.advance(TICK_S)
            self.deliver_all()

    def terminate(self, name, *, grace_s=8.0):
        """Stop a member as SIGTERM does, within its grace; return how long it took."""
        member = self.members[name]
        began = self.now
        member.leave()
        while not member.may_stop(self.now) and self.now - began < grace_s:
            self.run(TICK_S)
            if self.members.get(name) is not member:
                return self.now - began
        if member.replica.is_leader:
            member.stop_leading(self.now)
        self.pump(name)
        self.crash(name)
        self.deliver_all()
        return self.now - began

    def lose_disk(self, name):
        """Crash a member whose disk is lost with it."""
        self.crash(name)
        self.disks[name] = Disk(f"{name}-disk-{self.starts}")

    def find_leader(self):
        return next((n for n, m in self.members.items() if m.replica.is_leader), None)

    def list_commands(self):
        return [
            decode_command(self.applied[index].command)
            for index in sorted(self.applied)
            if self.applied[index].command
        ]
