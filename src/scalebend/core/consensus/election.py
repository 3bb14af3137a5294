"""Votes, granted pre-votes and timeouts of one member's elections.

Where messages are slow, elections succeed because votes count however late they come
within their term, candidates defer to one of them, and each term without a leader
doubles the timeout. Where messages are fast, none of these delays an election.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from scalebend.core.consensus.messages import Member, Members, VoteReply, VoteRequest
from scalebend.models.ids import InstanceId, LogIndex, Term

ELECTION_TIMEOUT_S = 0.45
"""Time without a leader before a member starts an election, randomized up to twice.

Covers several heartbeats: packet loss delays some of them by a retransmission."""

MAX_ELECTION_DOUBLINGS = 2
"""Times that the election timeout doubles, once for each term that got no leader, so
that slow votes arrive before the next election."""

STARTUP_ELECTION_TIMEOUT_S = 0.12
"""Time between pre-votes of a member that has known no leader since its start,
randomized up to twice.

An existing leader sends a heartbeat within this time, and a pre-vote does not disturb
it; without a leader, as after a restart of all members, waiting longer is useless. It
does not bound an election: votes may take longer on hosts that start many processes."""


class _Grant(msgspec.Struct, frozen=True):
    """A granted pre-vote: when it arrived, and how long it took, in seconds."""

    at: float
    round_trip: float


class Election:
    """Elections of one member since it last had a leader."""

    def __init__(self, me: Member, term: Term) -> None:
        self.candidate_since = -math.inf
        self._me = me
        self._led_term = term
        self._votes: set[Member] = set()
        self._grants: dict[Member, _Grant] = {}
        self._refusals: set[Member] = set()
        self._has_rival = False
        self._defer_until: float | None = None

    def count_failed_terms(self, term: Term) -> int:
        """Number of terms up to ``term`` that got no leader, as far as known."""
        return term - self._led_term

    def compute_timeout(self, term: Term, *, has_known_leader: bool) -> float:
        """Minimum time in seconds until the next election."""
        failed_terms = self.count_failed_terms(term)
        if not failed_terms and not has_known_leader:
            return STARTUP_ELECTION_TIMEOUT_S
        doublings = min(max(0, failed_terms - 1), MAX_ELECTION_DOUBLINGS)
        return float(ELECTION_TIMEOUT_S * 2**doublings)

    def record_leader(self, term: Term) -> None:
        """Record that ``term`` has a leader."""
        self._led_term = term
        self.start_term()

    def start_term(self) -> None:
        """Forget the votes and pre-votes of the last term."""
        self._votes = set()
        self._grants = {}
        self._refusals = set()
        self._has_rival = False
        self._defer_until = None

    # Pre-votes

    def record_rival(
        self, request: VoteRequest, last_term: Term, last_index: LogIndex
    ) -> None:
        """Record the pre-vote of a concurrent candidate, given this member's log."""
        rank = (request.last_term, request.last_index, request.sender)
        if rank > (last_term, last_index, self._me):
            self._has_rival = True

    def record_pre_vote(self, reply: VoteReply, now: float) -> None:
        """Record the newest answer of a member to a pre-vote."""
        if reply.is_granted:
            self._grants[reply.sender] = _Grant(now, now - reply.request_sent_at)
            self._refusals.discard(reply.sender)
        else:
            # The member may have found a leader since it granted an earlier one.
            self._grants.pop(reply.sender, None)
            self._refusals.add(reply.sender)

    def may_start(self, members: Members, timeout: float, now: float) -> bool:
        """Whether a quorum granted a pre-vote and no other candidate goes first.

        Granted pre-votes count until the request was certainly repeated, for which
        ``timeout`` is the minimum time.
        """
        valid = {
            member: grant
            for member, grant in self._grants.items()
            if now - grant.at <= 2.0 * max(timeout, ELECTION_TIMEOUT_S)
        }
        if not members.is_quorum({*valid, self._me}):
            return False
        if self._has_rival and self._defer_until is None:
            # The rival's requests arrive within about the time that these took. It may
            # fail to reach a quorum itself, so this member defers only once in a term.
            slowest = max((one.round_trip for one in valid.values()), default=0.0)
            self._defer_until = now + min(slowest, 2.0 * ELECTION_TIMEOUT_S)
        return self._defer_until is None or now >= self._defer_until

    # Votes

    def start_candidacy(self, now: float) -> None:
        """Vote for this member in the new term."""
        self.start_term()
        self._votes = {self._me}
        self.candidate_since = now

    def record_vote(self, reply: VoteReply) -> None:
        """Record the answer of a member to a request of the current term.

        Its vote also counts while this member already asks for pre-votes for the next
        term: these change neither its term nor its own vote.
        """
        if not reply.is_granted:
            self._refusals.add(reply.sender)
        elif self._votes:
            self._votes.add(reply.sender)

    def is_won(self, members: Members) -> bool:
        """Whether a quorum voted for this member in the current term."""
        return members.is_quorum(self._votes)

    # Logs

    def list_votes(self) -> list[InstanceId]:
        """Instances that voted for this member in the current term."""
        return _list_instances(self._votes)

    def list_pre_votes(self) -> list[InstanceId]:
        """Instances that granted this member a pre-vote for the next term."""
        return _list_instances(self._grants)

    def list_refusals(self) -> list[InstanceId]:
        """Instances that refused a vote, or the last pre-vote, in the current term."""
        return _list_instances(self._refusals)


def _list_instances(members: Iterable[Member]) -> list[InstanceId]:
    return sorted(member.instance for member in members)
