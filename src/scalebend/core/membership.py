"""Failure detection by heartbeats to a few watchers, with gossip rumors to all.

Each instance sends heartbeats to its watchers, the next few instances on a hash ring.
A watcher that misses them suspects the instance, which is declared dead once a second
watcher agrees or no other watcher is left. Changes spread as rumors, each sent a
bounded number of times. Without changes, the cost of an instance does not grow with
the number of instances. See docs/design/membership.md.

``now`` is monotonic time in seconds.
"""

from __future__ import annotations

import math
import random
from enum import IntEnum

import msgspec
import xxhash

from scalebend.core.control_state import ListedInstance
from scalebend.core.messages import Datagram, MemberRumor, Rumor
from scalebend.models.ids import ConfigurationVersion, Epoch, InstanceId

HEARTBEAT_INTERVAL_S = 0.4
"""Time between two heartbeats to a watcher."""

PROBE_AFTER_S = 0.9
"""Time without a heartbeat before a watcher sends a probe.

Views differ for a while: an instance may not know that this one is a watcher of it.
"""

SUSPECT_AFTER_S = 1.6
"""Time without a heartbeat before a watcher suspects an instance."""

CONFIRM_TIMEOUT_S = 0.5
"""Time until a sole suspicion counts, if no other watcher is responsive."""

WATCHER_COUNT = 3
FANOUT = 3
"""Instances that receive rumors in one gossip round."""

GOSSIP_INTERVAL_S = 0.4
MAX_RUMOR_BYTES = 700
"""Encoded size of all rumors in one datagram, so that it is not fragmented."""

DEAD_RETENTION_S = 3_600.0


class MemberRank(IntEnum):
    """State of an instance; at equal incarnation the higher rank wins."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


class Outbound(msgspec.Struct, frozen=True):
    """Action: send a datagram to a gossip address."""

    address: str
    datagram: Datagram


class KnownInstance(msgspec.Struct, frozen=True):
    """Another instance; ``version`` is its last reported configuration version."""

    listed: ListedInstance
    rank: MemberRank
    version: ConfigurationVersion
    last_contact: float


class _Peer(msgspec.Struct):
    listed: ListedInstance
    rank: MemberRank
    changed: float
    last_contact: float
    version: ConfigurationVersion = ConfigurationVersion(0)


class RumorQueue:
    """Rumors to send; a newer rumor on the same subject replaces the older one."""

    def __init__(self) -> None:
        self._queue: dict[str, tuple[int, Rumor, int]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, subject: str, rumor: Rumor, repeats: int) -> None:
        """Queue a rumor to be sent ``repeats`` times."""
        size = len(msgspec.msgpack.encode(rumor))
        self._queue[subject] = (repeats, rumor, size)

    def pop_batch(self, max_bytes: int) -> list[Rumor]:
        """Return the least often sent rumors whose encoded size fits ``max_bytes``."""
        batch = []
        ordered = sorted(self._queue.items(), key=lambda item: -item[1][0])
        for subject, (repeats, rumor, size) in ordered:
            if size > max_bytes:
                continue
            max_bytes -= size
            batch.append(rumor)
            if repeats <= 1:
                del self._queue[subject]
            else:
                self._queue[subject] = (repeats - 1, rumor, size)
        return batch


class Membership:
    """This instance's view of the other instances and their liveness."""

    def __init__(
        self, me: ListedInstance, seeds: list[str], *, now: float, seed: int = 0
    ) -> None:
        self.me = me
        self.rank = MemberRank.ALIVE
        self.version = ConfigurationVersion(0)
        self.epoch = Epoch(0)
        self.rumors = RumorQueue()
        self.newest_versions: tuple[ConfigurationVersion, Epoch] = (
            self.version,
            self.epoch,
        )
        self.newest_sender: InstanceId | None = None
        self.last_contact = now
        self._seeds = seeds
        self._random = random.Random(f"{seed}/{me.instance}")
        self._peers: dict[InstanceId, _Peer] = {}
        self._suspects: dict[InstanceId, dict[InstanceId, float]] = {}
        self._heartbeat_at = now
        self._gossip_at = now
        self._last_advance = now
        self._wrongly_dead: set[InstanceId] = set()
        self._probed_by: set[InstanceId] = set()
        self._ring: list[InstanceId] | None = None
        self._announce_self()

    # State

    def list_live(self) -> list[ListedInstance]:
        """Return the instances that own replicas: alive and not leaving."""
        live = [p.listed for p in self._peers.values() if p.rank is MemberRank.ALIVE]
        if self.rank is MemberRank.ALIVE:
            live.append(self.me)
        return sorted(live)

    def list_known(self) -> list[KnownInstance]:
        """Return every other known instance, dead ones included."""
        return [
            KnownInstance(peer.listed, peer.rank, peer.version, peer.last_contact)
            for peer in self._peers.values()
        ]

    def is_alive(self, instance: InstanceId) -> bool:
        """Return whether the instance is known and not declared dead."""
        peer = self._peers.get(instance)
        return peer is not None and peer.rank is not MemberRank.DEAD

    def get_listed(self, instance: InstanceId) -> ListedInstance | None:
        """Return the list entry of an instance, with its addresses."""
        if instance == self.me.instance:
            return self.me
        peer = self._peers.get(instance)
        return peer.listed if peer is not None else None

    # Changes

    def leave(self, now: float) -> None:
        """Start to drain: own nothing any more, but stay reachable."""
        self.rank = MemberRank.LEAVING
        self._announce_self()
        self._gossip_at = now

    def apply_member(
        self, listed: ListedInstance, rank: MemberRank, now: float
    ) -> bool:
        """Apply a member update; return whether it was newer than the known state."""
        if listed.instance == self.me.instance:
            self._refute(listed, rank)
            return False
        known = self._peers.get(listed.instance)
        update = (listed.incarnation, rank)
        if known is not None and update <= (known.listed.incarnation, known.rank):
            return False
        self._peers[listed.instance] = _Peer(listed, rank, now, now)
        self._suspects.pop(listed.instance, None)
        self._ring = None
        self._spread_member_rumor(MemberRumor(listed, int(rank)))
        return True

    def handle(self, datagram: Datagram, now: float) -> list[Rumor]:
        """Apply a datagram; return the rumors that are not about instances."""
        if now - self.last_contact >= SUSPECT_AFTER_S:
            # This instance was isolated, so missing heartbeats prove nothing.
            self._reset_suspicions(now)
        self.last_contact = now
        peer = self._peers.get(datagram.sender)
        if peer is not None and peer.rank is MemberRank.DEAD:
            self._wrongly_dead.add(datagram.sender)
        if peer is not None and datagram.incarnation >= peer.listed.incarnation:
            peer.last_contact = now
            peer.version = datagram.version
            self._suspects.pop(datagram.sender, None)
        if datagram.is_probe:
            self._probed_by.add(datagram.sender)
        self._record_versions(datagram)
        for suspect in datagram.suspects:
            if suspect in self._peers:
                votes = self._suspects.setdefault(suspect, {})
                votes[datagram.sender] = now
        other_rumors: list[Rumor] = []
        for rumor in datagram.rumors:
            match rumor:
                case MemberRumor(listed, rank):
                    self.apply_member(listed, MemberRank(rank), now)
                case _:
                    other_rumors.append(rumor)
        if peer is None and datagram.sender != self.me.instance:
            # The sender is unknown here, so it may not know this instance either.
            self._announce_self()
        return other_rumors

    def advance(self, now: float) -> list[Outbound]:
        """Send heartbeats, probes and rumors that are due; check watched instances."""
        self._reset_after_own_pause(now)
        actions = self._notify_wrongly_dead() + self._reply_to_probes()
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            actions += self._send_heartbeats(now)
            actions += self._check_watched(now)
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_INTERVAL_S
            actions += self._send_rumors(now)
        return actions

    def _notify_wrongly_dead(self) -> list[Outbound]:
        """Notify live instances that were declared dead, so that they can refute it."""
        actions = []
        for name in sorted(self._wrongly_dead):
            peer = self._peers[name]
            if peer.rank is MemberRank.DEAD:
                rumor = MemberRumor(peer.listed, int(peer.rank))
                datagram = self._build_datagram(False, [rumor], [])
                actions.append(Outbound(peer.listed.gossip, datagram))
        self._wrongly_dead.clear()
        return actions

    def _reply_to_probes(self) -> list[Outbound]:
        probers = [self._peers[n] for n in sorted(self._probed_by) if n in self._peers]
        self._probed_by.clear()
        heartbeat = self._build_datagram(True, [], [])
        return [Outbound(peer.listed.gossip, heartbeat) for peer in probers]

    # Heartbeats

    def _reset_after_own_pause(self, now: float) -> None:
        # After a pause of this process, heartbeats wait unread in the socket: allow
        # time to read them before any instance is suspected.
        pause = now - self._last_advance
        self._last_advance = now
        if pause > 2 * HEARTBEAT_INTERVAL_S:
            self._reset_suspicions(now)

    def _reset_suspicions(self, now: float) -> None:
        for peer in self._peers.values():
            peer.last_contact = max(peer.last_contact, now - HEARTBEAT_INTERVAL_S)
        self._suspects.clear()

    def _list_ring(self) -> list[InstanceId]:
        if self._ring is None:
            names = [n for n, p in self._peers.items() if p.rank is not MemberRank.DEAD]
            names.append(self.me.instance)
            self._ring = sorted(
                names, key=lambda n: (xxhash.xxh3_64_intdigest(n.encode()), n)
            )
        return self._ring

    def list_watchers(self, instance: InstanceId) -> list[InstanceId]:
        """Return the instances that watch ``instance``: the next ones on the ring."""
        ring = self._list_ring()
        if instance not in ring:
            return []
        position = ring.index(instance)
        count = min(WATCHER_COUNT, len(ring) - 1)
        return [ring[(position + step) % len(ring)] for step in range(1, count + 1)]

    def _list_watched(self) -> list[InstanceId]:
        ring = self._list_ring()
        position = ring.index(self.me.instance)
        count = min(WATCHER_COUNT, len(ring) - 1)
        return [ring[position - step] for step in range(1, count + 1)]

    def _send_heartbeats(self, now: float) -> list[Outbound]:
        suspects = [
            name for name, votes in self._suspects.items() if self.me.instance in votes
        ]
        actions = []
        for name in self.list_watchers(self.me.instance):
            datagram = self._build_datagram(True, [], [])
            actions.append(Outbound(self._peers[name].listed.gossip, datagram))
        for suspect in suspects:
            for name in self.list_watchers(suspect):
                if name != self.me.instance:
                    datagram = self._build_datagram(False, [], [suspect])
                    actions.append(Outbound(self._peers[name].listed.gossip, datagram))
        return actions

    def _check_watched(self, now: float) -> list[Outbound]:
        is_isolated = now - self.last_contact >= SUSPECT_AFTER_S
        if is_isolated and len(self._list_ring()) > 2:
            # Without contact to anyone, this instance is more likely at fault.
            return []
        probes = []
        for name in self._list_watched():
            peer = self._peers[name]
            if now - peer.last_contact >= PROBE_AFTER_S:
                probe = msgspec.structs.replace(
                    self._build_datagram(False, [], []), is_probe=True
                )
                probes.append(Outbound(peer.listed.gossip, probe))
            votes = self._suspects.get(name, {})
            if now - peer.last_contact < SUSPECT_AFTER_S:
                votes.pop(self.me.instance, None)
                continue
            votes = self._suspects.setdefault(name, {})
            votes.setdefault(self.me.instance, now)
            if self._is_confirmed(name, votes, now):
                self.apply_member(peer.listed, MemberRank.DEAD, now)
        return probes

    def _is_confirmed(
        self, name: InstanceId, votes: dict[InstanceId, float], now: float
    ) -> bool:
        recent = [v for v, at in votes.items() if now - at < SUSPECT_AFTER_S]
        if len(set(recent) | {self.me.instance}) >= 2:
            return True
        other_watchers = [w for w in self.list_watchers(name) if w != self.me.instance]
        unresponsive = [
            w
            for w in other_watchers
            if now - self._peers[w].last_contact >= SUSPECT_AFTER_S
        ]
        has_timed_out = now - votes[self.me.instance] >= CONFIRM_TIMEOUT_S
        return has_timed_out and len(unresponsive) == len(other_watchers)

    # Rumors

    def _send_rumors(self, now: float) -> list[Outbound]:
        targets = self._choose_targets(now)
        return [
            Outbound(
                address,
                self._build_datagram(False, self.rumors.pop_batch(MAX_RUMOR_BYTES), []),
            )
            for address in targets
        ]

    def _choose_targets(self, now: float) -> list[str]:
        names = [n for n, p in self._peers.items() if p.rank is not MemberRank.DEAD]
        chosen = self._random.sample(sorted(names), min(FANOUT, len(names)))
        targets = [self._peers[name].listed.gossip for name in chosen]
        if not names and self._seeds:
            targets.append(self._random.choice(self._seeds))
        elif self._seeds and self._random.random() < 0.05:
            # Heals a partition whose sides declared each other dead.
            targets.append(self._random.choice(self._seeds))
        return targets

    def _build_datagram(
        self, is_heartbeat: bool, rumors: list[Rumor], suspects: list[InstanceId]
    ) -> Datagram:
        if not is_heartbeat and not suspects:
            rumors = [*rumors, MemberRumor(self.me, int(self.rank))]
        return Datagram(
            self.me.instance,
            self.me.incarnation,
            is_heartbeat,
            self.version,
            self.epoch,
            rumors,
            suspects,
        )

    def spread(self, subject: str, rumor: Rumor) -> None:
        """Queue a rumor for as many rounds as it needs to reach all instances."""
        self.rumors.put(subject, rumor, 2 + self._count_gossip_rounds())

    def _spread_member_rumor(self, rumor: MemberRumor) -> None:
        # Member rumors decide which instances count as dead: send them more often.
        repeats = FANOUT + 2 * self._count_gossip_rounds()
        self.rumors.put(f"m/{rumor.listed.instance}", rumor, repeats)

    def _count_gossip_rounds(self) -> int:
        return math.ceil(math.log2(max(2, len(self._peers) + 1)))

    def _announce_self(self) -> None:
        self._spread_member_rumor(MemberRumor(self.me, int(self.rank)))

    def _refute(self, listed: ListedInstance, rank: MemberRank) -> None:
        is_newer = listed.incarnation > self.me.incarnation
        is_wrong = listed.incarnation == self.me.incarnation and rank > self.rank
        if is_newer or is_wrong:
            incarnation = max(listed.incarnation, self.me.incarnation) + 1
            self.me = msgspec.structs.replace(self.me, incarnation=incarnation)
            self._announce_self()

    def _record_versions(self, datagram: Datagram) -> None:
        version = max(self.newest_versions[0], datagram.version)
        epoch = max(self.newest_versions[1], datagram.epoch)
        if (version, epoch) != self.newest_versions:
            self.newest_versions = (version, epoch)
            self.newest_sender = datagram.sender

    def record_own_versions(self, version: ConfigurationVersion, epoch: Epoch) -> None:
        """Record the versions of configuration and instance list in force here."""
        self.version = version
        self.epoch = epoch
        self.newest_versions = (
            max(self.newest_versions[0], version),
            max(self.newest_versions[1], epoch),
        )
