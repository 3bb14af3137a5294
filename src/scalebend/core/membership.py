"""Which instances are live, by heartbeats to a few watchers and rumors to all.

Each instance sends a heartbeat to its watchers, the next few on a ring. A watcher
that misses it suspects the instance; it is dead when a second watcher agrees, or no
other one is left. Whatever is learned travels as rumors, each passed on a bounded
number of times. The cost of an instance does not grow with the system but for the
rumors of actual changes. See docs/design/membership.md.
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

HEARTBEAT = 0.4
"""Seconds between two heartbeats to a watcher."""

PROBE_AFTER = 0.9
"""Seconds without a heartbeat before a watcher asks for one.

Views differ for a while: an instance may not know that it is watched by this one.
"""

SUSPECT_AFTER = 1.6
"""Seconds without a heartbeat before a watcher suspects an instance."""

CONFIRM_TIME = 0.5
"""Seconds a sole suspicion waits for a second watcher to disagree by silence."""

WATCHERS = 3
FANOUT = 3
"""Instances that get the rumors of one round."""

GOSSIP_PERIOD = 0.4
MOST_BYTES = 700
"""Bytes of rumors in one datagram, so that it is not fragmented."""

REMEMBER_DEAD = 3_600.0


class MemberRank(IntEnum):
    """State of an instance; at equal incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


class Outbound(msgspec.Struct, frozen=True):
    """Action: send a datagram to a gossip address."""

    address: str
    datagram: Datagram


class KnownInstance(msgspec.Struct, frozen=True):
    """Another instance; ``version`` is what it last said to have in force."""

    listed: ListedInstance
    rank: MemberRank
    version: ConfigurationVersion
    heard: float


class _Peer(msgspec.Struct):
    listed: ListedInstance
    rank: MemberRank
    changed: float
    heard: float
    version: ConfigurationVersion = ConfigurationVersion(0)


class RumorQueue:
    """Rumors still to be passed on; a newer one on the same subject replaces it."""

    def __init__(self) -> None:
        self._queue: dict[str, tuple[int, Rumor, int]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, subject: str, rumor: Rumor, repeats: int) -> None:
        """Queue a rumor to be sent ``repeats`` times."""
        size = len(msgspec.msgpack.encode(rumor))
        self._queue[subject] = (repeats, rumor, size)

    def take(self, budget: int) -> list[Rumor]:
        """Return the least repeated rumors that fit ``budget`` bytes."""
        taken = []
        ordered = sorted(self._queue.items(), key=lambda item: -item[1][0])
        for subject, (repeats, rumor, size) in ordered:
            if size > budget:
                continue
            budget -= size
            taken.append(rumor)
            if repeats <= 1:
                del self._queue[subject]
            else:
                self._queue[subject] = (repeats - 1, rumor, size)
        return taken


class Membership:
    """Live instances as this one sees them."""

    def __init__(
        self, me: ListedInstance, seeds: list[str], *, now: float, seed: int = 0
    ) -> None:
        self.me = me
        self.rank = MemberRank.ALIVE
        self.version = ConfigurationVersion(0)
        self.epoch = Epoch(0)
        self.rumors = RumorQueue()
        self.newest: tuple[ConfigurationVersion, Epoch] = (self.version, self.epoch)
        self.newest_from: InstanceId | None = None
        self.heard_any = now
        self._seeds = seeds
        self._chooser = random.Random(f"{seed}/{me.instance}")
        self._peers: dict[InstanceId, _Peer] = {}
        self._suspects: dict[InstanceId, dict[InstanceId, float]] = {}
        self._heartbeat_at = now
        self._gossip_at = now
        self._advanced = now
        self._wrongly_dead: set[InstanceId] = set()
        self._probed_by: set[InstanceId] = set()
        self._ring: list[InstanceId] | None = None
        self._announce_self()

    # Reading

    def list_live(self) -> list[ListedInstance]:
        """Instances that own replicas: alive and not leaving, this one included."""
        live = [p.listed for p in self._peers.values() if p.rank is MemberRank.ALIVE]
        if self.rank is MemberRank.ALIVE:
            live.append(self.me)
        return sorted(live)

    def list_known(self) -> list[KnownInstance]:
        """Every other instance that is remembered, dead ones included."""
        return [
            KnownInstance(peer.listed, peer.rank, peer.version, peer.heard)
            for peer in self._peers.values()
        ]

    def is_alive(self, instance: InstanceId) -> bool:
        """Whether the instance can be reached, as far as known."""
        peer = self._peers.get(instance)
        return peer is not None and peer.rank is not MemberRank.DEAD

    def get_listed(self, instance: InstanceId) -> ListedInstance | None:
        """Addresses of an instance."""
        if instance == self.me.instance:
            return self.me
        peer = self._peers.get(instance)
        return peer.listed if peer is not None else None

    # Changing

    def leave(self, now: float) -> None:
        """Planned stop: own nothing any more, but stay reachable."""
        self.rank = MemberRank.LEAVING
        self._announce_self()
        self._gossip_at = now

    def learn(self, listed: ListedInstance, rank: MemberRank, now: float) -> bool:
        """Take news of an instance; return whether it changed anything."""
        if listed.instance == self.me.instance:
            self._refute(listed, rank)
            return False
        known = self._peers.get(listed.instance)
        news = (listed.incarnation, rank)
        if known is not None and news <= (known.listed.incarnation, known.rank):
            return False
        self._peers[listed.instance] = _Peer(listed, rank, now, now)
        self._suspects.pop(listed.instance, None)
        self._ring = None
        self._spread(MemberRumor(listed, int(rank)))
        return True

    def handle(self, datagram: Datagram, now: float) -> list[Rumor]:
        """Take a datagram; return the rumors that are not about instances."""
        if now - self.heard_any >= SUSPECT_AFTER:
            # This instance was cut off: what it did not hear says nothing.
            self._forgive(now)
        self.heard_any = now
        peer = self._peers.get(datagram.sender)
        if peer is not None and peer.rank is MemberRank.DEAD:
            self._wrongly_dead.add(datagram.sender)
        if peer is not None and datagram.incarnation >= peer.listed.incarnation:
            peer.heard = now
            peer.version = datagram.version
            self._suspects.pop(datagram.sender, None)
        if datagram.is_probe:
            self._probed_by.add(datagram.sender)
        self._note_versions(datagram)
        for suspect in datagram.suspects:
            if suspect in self._peers:
                votes = self._suspects.setdefault(suspect, {})
                votes[datagram.sender] = now
        others: list[Rumor] = []
        for rumor in datagram.rumors:
            match rumor:
                case MemberRumor(listed, rank):
                    self.learn(listed, MemberRank(rank), now)
                case _:
                    others.append(rumor)
        if peer is None and datagram.sender != self.me.instance:
            # Somebody this instance does not know: make itself known in turn.
            self._announce_self()
        return others

    def advance(self, now: float) -> list[Outbound]:
        """Act on time: heartbeats, suspicions, a round of rumors."""
        self._forgive_own_pause(now)
        actions = self._tell_wrongly_dead() + self._answer_probes()
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT
            actions += self._send_heartbeats(now)
            actions += self._judge(now)
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_PERIOD
            actions += self._send_rumors(now)
        return actions

    def _tell_wrongly_dead(self) -> list[Outbound]:
        """Tell a live instance that it is held dead, so that it can refute it."""
        actions = []
        for name in sorted(self._wrongly_dead):
            peer = self._peers[name]
            if peer.rank is MemberRank.DEAD:
                rumor = MemberRumor(peer.listed, int(peer.rank))
                datagram = self._build_datagram(False, [rumor], [])
                actions.append(Outbound(peer.listed.gossip, datagram))
        self._wrongly_dead.clear()
        return actions

    def _answer_probes(self) -> list[Outbound]:
        asking = [self._peers[n] for n in sorted(self._probed_by) if n in self._peers]
        self._probed_by.clear()
        heartbeat = self._build_datagram(True, [], [])
        return [Outbound(peer.listed.gossip, heartbeat) for peer in asking]

    # Heartbeats

    def _forgive_own_pause(self, now: float) -> None:
        # After a pause of this process the others' heartbeats wait unread in the
        # socket: give them the time to be read before judging anyone.
        pause = now - self._advanced
        self._advanced = now
        if pause > 2 * HEARTBEAT:
            self._forgive(now)

    def _forgive(self, now: float) -> None:
        for peer in self._peers.values():
            peer.heard = max(peer.heard, now - HEARTBEAT)
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
        """Instances that watch ``instance``: the next ones on the ring."""
        ring = self._list_ring()
        if instance not in ring:
            return []
        place = ring.index(instance)
        count = min(WATCHERS, len(ring) - 1)
        return [ring[(place + step) % len(ring)] for step in range(1, count + 1)]

    def _list_watched(self) -> list[InstanceId]:
        ring = self._list_ring()
        place = ring.index(self.me.instance)
        count = min(WATCHERS, len(ring) - 1)
        return [ring[place - step] for step in range(1, count + 1)]

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

    def _judge(self, now: float) -> list[Outbound]:
        is_cut_off = now - self.heard_any >= SUSPECT_AFTER
        if is_cut_off and len(self._list_ring()) > 2:
            # Hearing nobody says more about this instance than about all others.
            return []
        probes = []
        for name in self._list_watched():
            peer = self._peers[name]
            if now - peer.heard >= PROBE_AFTER:
                probe = msgspec.structs.replace(
                    self._build_datagram(False, [], []), is_probe=True
                )
                probes.append(Outbound(peer.listed.gossip, probe))
            votes = self._suspects.get(name, {})
            if now - peer.heard < SUSPECT_AFTER:
                votes.pop(self.me.instance, None)
                continue
            votes = self._suspects.setdefault(name, {})
            votes.setdefault(self.me.instance, now)
            if self._is_confirmed(name, votes, now):
                self.learn(peer.listed, MemberRank.DEAD, now)
        return probes

    def _is_confirmed(
        self, name: InstanceId, votes: dict[InstanceId, float], now: float
    ) -> bool:
        recent = [v for v, at in votes.items() if now - at < SUSPECT_AFTER]
        if len(set(recent) | {self.me.instance}) >= 2:
            return True
        others = [w for w in self.list_watchers(name) if w != self.me.instance]
        silent = [w for w in others if now - self._peers[w].heard >= SUSPECT_AFTER]
        waited = now - votes[self.me.instance] >= CONFIRM_TIME
        return waited and len(silent) == len(others)

    # Rumors

    def _send_rumors(self, now: float) -> list[Outbound]:
        targets = self._choose_targets(now)
        return [
            Outbound(
                address,
                self._build_datagram(False, self.rumors.take(MOST_BYTES), []),
            )
            for address in targets
        ]

    def _choose_targets(self, now: float) -> list[str]:
        names = [n for n, p in self._peers.items() if p.rank is not MemberRank.DEAD]
        chosen = self._chooser.sample(sorted(names), min(FANOUT, len(names)))
        targets = [self._peers[name].listed.gossip for name in chosen]
        if not names and self._seeds:
            targets.append(self._chooser.choice(self._seeds))
        elif self._seeds and self._chooser.random() < 0.05:
            # Heals a system that split and declared the other side dead.
            targets.append(self._chooser.choice(self._seeds))
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
        """Pass a rumor on to all instances."""
        self.rumors.put(subject, rumor, 2 + self._count_rounds())

    def _spread(self, rumor: MemberRumor) -> None:
        # News of instances decide what counts as dead: they are sent more often.
        repeats = FANOUT + 2 * self._count_rounds()
        self.rumors.put(f"m/{rumor.listed.instance}", rumor, repeats)

    def _count_rounds(self) -> int:
        return math.ceil(math.log2(max(2, len(self._peers) + 1)))

    def _announce_self(self) -> None:
        self._spread(MemberRumor(self.me, int(self.rank)))

    def _refute(self, listed: ListedInstance, rank: MemberRank) -> None:
        is_newer = listed.incarnation > self.me.incarnation
        is_wrong = listed.incarnation == self.me.incarnation and rank > self.rank
        if is_newer or is_wrong:
            incarnation = max(listed.incarnation, self.me.incarnation) + 1
            self.me = msgspec.structs.replace(self.me, incarnation=incarnation)
            self._announce_self()

    def _note_versions(self, datagram: Datagram) -> None:
        version = max(self.newest[0], datagram.version)
        epoch = max(self.newest[1], datagram.epoch)
        if (version, epoch) != self.newest:
            self.newest = (version, epoch)
            self.newest_from = datagram.sender

    def note_own(self, version: ConfigurationVersion, epoch: Epoch) -> None:
        """The configuration and instance list in force at this instance."""
        self.version = version
        self.epoch = epoch
        self.newest = (max(self.newest[0], version), max(self.newest[1], epoch))
