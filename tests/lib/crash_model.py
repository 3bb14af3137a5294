"""A service in virtual time whose replicas crash under certain parts of prompts.

Draws requests, placements, response times and failures, and lets ledgers of several
fronts observe them. It knows the truth, so tests can count wrong verdicts.
"""

import heapq
import itertools
import random

import msgspec

from scalebend.core.part_ledger import UNDER_WAY_S, PartLedger


class Draw(msgspec.Struct, frozen=True):
    """The service and its load; times in seconds, rates per second."""

    seed: int = 0
    fronts: int = 4
    replicas: int = 12
    slots: int = 8
    sound_rate: float = 25.0
    guilty_rate: float = 3.0
    guilty_parts: tuple[tuple[str, ...], ...] = (("common", "guilty"),)
    """Shared parts of the guilty requests; those named ``guilty...`` crash replicas."""

    topics: int = 12
    """Number of second parts among the sound requests, drawn by rank (Zipf)."""

    has_own_first_parts: bool = False
    """Whether the sound requests have a first part by topic, and no common one."""

    first_token: float = 0.15
    streamed: float = 1.5
    attempts: int = 2
    update_delay: float = 0.03
    restart_delay: float = 3.0
    confirmation: float = 3.6
    """Seconds after which an upstream that has responded did not restart before."""

    quiet: float = 10.0
    length: float = 30.0
    group_failures: int = 0
    """Number of failures of half of the replicas at once, at random times."""

    rolling_failures: int = 0
    """Number of failures of half of the replicas one after the other, 0.1 s apart."""

    lone_failures: int = 0
    outages: int = 0
    """Number of times that connections to all replicas break, though none crashes."""

    outage_length: float = 2.0
    """Seconds of such an outage, in which new connections break, too."""

    is_guilty_sound_at_first: bool = False
    """Whether the guilty parts are harmless during the quiet time, and are sent."""


class _Attempt(msgspec.Struct, eq=False):
    front: int
    parts: tuple[str, ...]
    replica: int
    upstream: str
    sent: object
    left: int
    is_guilty: bool
    has_begun: bool = False
    is_under_way: bool = False
    is_open: bool = True


class Run(msgspec.Struct):
    """What happened."""

    crashes: list[tuple[float, str]] = []
    """Times of the crashes under guilty requests, with the guilty part."""

    guilty_sent: list[tuple[float, str]] = []
    false_causes: set[str] = set()
    sound_sent: int = 0
    sound_refused: int = 0
    sound_lost: int = 0


POOL = "service"


def find_guilty(parts):
    """Return the first part that crashes replicas; ``None`` without one."""
    return next((one for one in parts if one.startswith("guilty")), None)


class Model:
    """Plays one draw."""

    def __init__(self, draw, build_ledger=PartLedger):
        self.draw = draw
        self.random = random.Random(draw.seed)
        self.ledgers = [build_ledger(f"front-{n}") for n in range(draw.fronts)]
        self.names = itertools.count(1)
        self.upstreams = [self.build_name() for _ in range(draw.replicas)]
        self.open = [[] for _ in range(draw.replicas)]
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.outage_until = 0.0
        self.run = Run()

    def build_name(self):
        return f"i-{next(self.names)}"

    def at(self, delay, action, *arguments):
        entry = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.events, entry)

    def play(self):
        self._schedule()
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.run

    def _schedule(self):
        draw = self.draw
        self._draw_arrivals(0.0, draw.length, draw.sound_rate, self._arrive_sound)
        since = 0.0 if draw.is_guilty_sound_at_first else draw.quiet
        for parts in draw.guilty_parts:
            self._draw_arrivals(
                since, draw.length, draw.guilty_rate, self._arrive, parts
            )
        for _ in range(draw.lone_failures):
            self.at(self._draw_time(), self._fail, 1, 0.0)
        for _ in range(draw.group_failures):
            self.at(self._draw_time(), self._fail, draw.replicas // 2, 0.0)
        for _ in range(draw.outages):
            self.at(self._draw_time(), self._break_connections)
        for _ in range(draw.rolling_failures):
            self.at(self._draw_time(), self._fail, draw.replicas // 2, 0.1)

    def _draw_time(self):
        return self.random.uniform(1.0, self.draw.length)

    def _draw_arrivals(self, since, until, rate, action, *arguments):
        at = since
        while rate and (at := at + self.random.expovariate(rate)) < until:
            self.at(at, action, *arguments)

    def _arrive_sound(self):
        weights = [1 / rank for rank in range(1, self.draw.topics + 1)]
        (topic,) = self.random.choices(range(self.draw.topics), weights)
        first = "common" if not self.draw.has_own_first_parts else f"first-{topic}"
        self._arrive((first, f"topic-{topic}"))

    def _arrive(self, parts):
        front = self.random.randrange(self.draw.fronts)
        self._send(front, parts, self.draw.attempts, ())

    def _is_guilty(self, parts):
        is_harmless = self.draw.is_guilty_sound_at_first and self.now < self.draw.quiet
        return not is_harmless and find_guilty(parts) is not None

    def _send(self, front, parts, left, excluded):
        ledger = self.ledgers[front]
        is_guilty = find_guilty(parts) is not None
        self.run.sound_sent += not is_guilty
        if ledger.compute_quarantine(parts, self.now) > 0.0:
            self.run.sound_refused += not is_guilty
            return
        if self._is_receiving(front):
            ledger.record_alive(POOL, self.now)
        replica = self._choose(ledger.is_suspect(parts), excluded)
        if replica is None:
            return
        if is_guilty:
            guilty = find_guilty(parts)
            self.run.guilty_sent.append((self.now, guilty))
        if ledger.find_cause(parts) is not None:
            self._publish(front, ledger.begin_trial(parts, self.now))
        attempt = _Attempt(
            front,
            parts,
            replica,
            self.upstreams[replica],
            ledger.record_sent(parts, POOL, self.upstreams[replica]),
            left - 1,
            self._is_guilty(parts),
        )
        self.open[replica].append(attempt)
        if self.now < self.outage_until:
            self.at(0.005, self._lose, attempt)
        first_token = self.random.expovariate(1 / self.draw.first_token) + 0.02
        self.at(first_token, self._begin, attempt)

    def _is_receiving(self, front):
        """Whether events of a stream arrive at the front now."""
        attempts = itertools.chain.from_iterable(self.open)
        return any(one.front == front and one.has_begun for one in attempts)

    def _choose(self, is_suspect, excluded):
        up = [
            n for n, name in enumerate(self.upstreams) if name and name not in excluded
        ]
        self.random.shuffle(up)
        if is_suspect:
            return min(up, key=lambda n: len(self.open[n]), default=None)
        free = [n for n in up if len(self.open[n]) < self.draw.slots]
        # Work is packed, as the scheduler does with quick prompts.
        return max(free, key=lambda n: len(self.open[n]), default=None)

    def _begin(self, attempt):
        if not attempt.is_open:
            return
        if attempt.is_guilty:
            guilty = find_guilty(attempt.parts)
            self.run.crashes.append((self.now, guilty))
            self._crash(attempt.replica)
            return
        attempt.has_begun = True
        ledger = self.ledgers[attempt.front]
        ledger.record_response(attempt.sent, self.now)
        self.at(self.draw.confirmation, self._confirm, attempt)
        streamed = self.random.expovariate(1 / self.draw.streamed)
        if streamed > UNDER_WAY_S:
            self.at(UNDER_WAY_S, self._pass_start, attempt)
        self.at(streamed, self._complete, attempt)

    def _confirm(self, attempt):
        """Void the crashes of upstreams that have responded and are still the same."""
        ledger = self.ledgers[attempt.front]
        before = self.now - self.draw.confirmation
        running = self.upstreams.__contains__
        self._publish(
            attempt.front, ledger.void_lost_connections(before, running, self.now)
        )

    def _pass_start(self, attempt):
        if attempt.is_open and not attempt.is_under_way:
            attempt.is_under_way = True
            ledger = self.ledgers[attempt.front]
            self._publish(attempt.front, ledger.record_sound(attempt.sent, self.now))

    def _complete(self, attempt):
        if not attempt.is_open:
            return
        self._pass_start(attempt)
        attempt.is_open = False
        self.open[attempt.replica].remove(attempt)

    def _fail(self, count, gap):
        for number, replica in enumerate(
            self.random.sample(range(self.draw.replicas), count)
        ):
            self.at(number * gap, self._crash, replica)

    def _break_connections(self):
        self.outage_until = self.now + self.draw.outage_length
        for attempts in list(self.open):
            for attempt in list(attempts):
                self._lose(attempt)

    def _lose(self, attempt):
        if attempt.is_open:
            attempt.is_open = False
            self.open[attempt.replica].remove(attempt)
            self._record_lost(attempt)

    def _crash(self, replica):
        upstream = self.upstreams[replica]
        if upstream is None:
            return
        self.upstreams[replica] = None
        lost, self.open[replica] = self.open[replica], []
        self.at(self.draw.restart_delay, self._restart, replica)
        for attempt in lost:
            attempt.is_open = False
            self.at(0.002, self._record_lost, attempt)

    def _restart(self, replica):
        self.upstreams[replica] = self.build_name()

    def _record_lost(self, attempt):
        ledger = self.ledgers[attempt.front]
        if not attempt.is_under_way:
            records = ledger.record_crash(attempt.sent, attempt.upstream, self.now)
            self._publish(attempt.front, records)
        is_guilty = find_guilty(attempt.parts) is not None
        if attempt.left:
            excluded = (attempt.upstream,)
            self._send(attempt.front, attempt.parts, attempt.left, excluded)
        else:
            self.run.sound_lost += not is_guilty

    def _publish(self, front, records):
        if not records:
            return
        self._note_causes(self.ledgers[front])
        for other, ledger in enumerate(self.ledgers):
            if other != front:
                delay = self.draw.update_delay * self.random.uniform(0.5, 2.0)
                self.at(delay, self._merge, ledger, records)

    def _merge(self, ledger, records):
        ledger.merge(records, self.now)
        self._note_causes(ledger)

    def _note_causes(self, ledger):
        causes = ledger.causes
        self.run.false_causes |= {one for one in causes if not one.startswith("guilty")}


def count_late(run, guilty, contact=3.0, crashes=5):
    """Count guilty requests sent over ``contact`` seconds after the fifth crash."""
    times = sorted(at for at, part in run.crashes if part == guilty)
    if len(times) < crashes:
        return 0
    since = times[crashes - 1] + contact
    return sum(at > since for at, part in run.guilty_sent if part == guilty)
