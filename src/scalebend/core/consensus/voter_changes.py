"""Decides whose vote passes to which member, and when; see ``docs/design/voters.md``.

A voter is replaced in one joint change: until it is complete, decisions need a majority
of the voters before it and of those after it. A voter that is gone for good is in the
minority of both, and the loss of its successor takes away no more than that.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from scalebend.core.consensus.messages import (
    LeaveReply,
    Member,
    MemberPlace,
    Members,
    Place,
)
from scalebend.core.consensus.voter_spread import (
    Places,
    Tolerance,
    choose_voter_count,
    compute_excess,
    rate_place,
)


class MemberReport(msgspec.Struct, frozen=True):
    """What the leader knows about one member.

    ``silent_s``: seconds since the member was last heard from, by this leader or, as
    far as they told, by those before it. ``knows_joint_lists`` is
    ``None`` until it replies to the leader of this term.
    """

    is_caught_up: bool
    is_silent: bool
    silent_s: float
    is_leaving: bool
    knows_joint_lists: bool | None
    place: Place | None = None

    @property
    def is_present(self) -> bool:
        """Whether the member answers and is here to stay."""
        return not self.is_silent and not self.is_leaving

    @property
    def can_vote(self) -> bool:
        """Whether a vote of this member would be as good as any."""
        return self.is_present and self.is_caught_up


class Reason(Enum):
    """Why the member list changes."""

    REPLACEMENT_COMMITTED = "replacement-committed"
    DISK_LOST = "disk-lost"
    TOO_FEW_VOTERS = "too-few-voters"
    VOTER_LEAVES = "voter-leaves"
    VOTER_SILENT = "voter-silent"
    VOTERS_TOO_CLOSE = "voters-too-close"
    PLACES_REPORTED = "places-reported"
    LEARNERS_SILENT = "learners-silent"


class VoterChange(msgspec.Struct, frozen=True):
    """The next member list, and why."""

    members: Members
    reason: Reason
    added: Member | None = None
    removed: Member | None = None


def choose_voter_change(
    members: Members,
    reports: Mapping[Member, MemberReport],
    demand: Tolerance | None,
) -> VoterChange | None:
    """Return the next change of the voters; ``None`` if they are to stay.

    ``reports`` cover all members, the leader included. ``demand`` is ``None`` where the
    configured members vote and only the disk of a voter is replaced.
    """
    if members.is_joint:
        return _complete_replacement(members)
    successors = _list_successors(members, reports)
    choice = _Choice(members, reports, demand or Tolerance())
    for learner in successors:
        lost = _find_lost_disk(members, learner)
        if lost is not None:
            return choice.replace(lost, [learner], Reason.DISK_LOST)
    if demand is None:
        return choice.add(successors)
    if demand.needs_spread and (change := choice.record_places()) is not None:
        return change
    if len(members.voters) < choice.count_wanted(successors):
        return choice.add(successors)
    return (
        choice.replace_silent(successors)
        or choice.replace_leaving(successors)
        or choice.spread(successors)
    )


class _Choice:
    """Changes of one member list, given what is known about the members."""

    def __init__(
        self,
        members: Members,
        reports: Mapping[Member, MemberReport],
        demand: Tolerance,
    ) -> None:
        self._members = members
        self._reports = reports
        self._demand = demand
        self._places: Places = {one.member: one.place for one in members.places}

    def count_wanted(self, successors: list[Member]) -> int:
        """Return the number of voters for the members that are here to stay."""
        voters = [m for m in self._members.voters if self._reports[m].is_present]
        return choose_voter_count([*voters, *successors], self._places, self._demand)

    def record_places(self) -> VoterChange | None:
        """Return the list with the places that members report, if any is new."""
        known = dict(self._places)
        for member, report in self._reports.items():
            if report.place is not None:
                known[member] = report.place
        current = {m: p for m, p in known.items() if m in self._members.all_members}
        if current == self._places:
            return None
        places = frozenset(MemberPlace(m, place) for m, place in current.items())
        changed = msgspec.structs.replace(self._members, places=places)
        return VoterChange(changed, Reason.PLACES_REPORTED)

    def add(self, successors: list[Member]) -> VoterChange | None:
        """Return the list with one more voter."""
        if not successors:
            return None
        voters = self._members.voters
        learner = self._choose_best(successors, voters)
        changed = msgspec.structs.replace(
            self._members,
            voters=voters | {learner},
            learners=self._members.learners - {learner},
        )
        return VoterChange(changed, Reason.TOO_FEW_VOTERS, added=learner)

    def replace_silent(self, successors: list[Member]) -> VoterChange | None:
        """Return the list without the voter that is silent for the longest time."""
        silent = [m for m in self._members.voters if self._reports[m].is_silent]
        if not silent:
            return None
        longest = max(silent, key=lambda one: (self._reports[one].silent_s, one))
        return self.replace(longest, successors, Reason.VOTER_SILENT)

    def replace_leaving(self, successors: list[Member]) -> VoterChange | None:
        """Return the list without a voter that is about to stop."""
        leaving = sorted(m for m in self._members.voters if self._reports[m].is_leaving)
        if not leaving:
            return None
        return self.replace(leaving[0], successors, Reason.VOTER_LEAVES)

    def spread(self, successors: list[Member]) -> VoterChange | None:
        """Return the list with a vote moved to where fewer are lost together."""
        voters = self._members.voters
        best, least = None, self._compute_excess(voters)
        for replaced in sorted(voters) if least else ():
            for learner in successors:
                excess = self._compute_excess((voters - {replaced}) | {learner})
                if excess < least:
                    best, least = (replaced, learner), excess
        if best is None:
            return None
        return self.replace(best[0], [best[1]], Reason.VOTERS_TOO_CLOSE)

    def replace(
        self, replaced: Member, successors: list[Member], reason: Reason
    ) -> VoterChange | None:
        """Return the joint list in which the best of ``successors`` takes a vote."""
        if not successors:
            return None
        left = self._members.voters - {replaced}
        learner = self._choose_best(successors, left)
        joint = msgspec.structs.replace(
            self._members,
            voters=left | {learner},
            learners=self._members.learners - {learner},
            former_voters=self._members.voters,
        )
        if not all(_knows_joint(self._reports[member]) for member in joint.electors):
            return None
        return VoterChange(joint, reason, added=learner, removed=replaced)

    def _compute_excess(self, voters: frozenset[Member]) -> int:
        return compute_excess(voters, self._places, self._demand)

    def _choose_best(
        self, successors: list[Member], voters: frozenset[Member]
    ) -> Member:
        """Choose who is best added to ``voters``."""
        if not self._demand.needs_spread:
            return successors[0]
        return min(
            successors,
            key=lambda one: (
                self._compute_excess(voters | {one}),
                rate_place(one, voters, self._places, self._demand),
            ),
        )


def decide_leave_reply(
    leaver: Member, members: Members, reports: Mapping[Member, MemberReport]
) -> LeaveReply:
    """Return what a voter that is about to stop should do about its vote."""
    if members.is_joint or leaver not in members.voters:
        return LeaveReply.WAIT
    if any(reports[m].knows_joint_lists is False for m in members.voters):
        return LeaveReply.KEEP_VOTE
    # One that is still catching up is worth waiting for.
    has_successor = any(_may_take_over(reports[m]) for m in members.learners)
    return LeaveReply.WAIT if has_successor else LeaveReply.KEEP_VOTE


def _complete_replacement(members: Members) -> VoterChange:
    """Return the list without the replaced voters, which go on as learners.

    As such they learn of the change, and those that return can vote again later. A
    lost disk does not return.
    """
    instances = {member.instance for member in members.voters | members.learners}
    replaced = members.former_voters - members.voters
    kept = {member for member in replaced if member.instance not in instances}
    completed = msgspec.structs.replace(
        members, learners=members.learners | kept, former_voters=frozenset()
    )
    return VoterChange(completed, Reason.REPLACEMENT_COMMITTED)


def _list_successors(
    members: Members, reports: Mapping[Member, MemberReport]
) -> list[Member]:
    return sorted(m for m in members.learners if reports[m].can_vote)


def _find_lost_disk(members: Members, learner: Member) -> Member | None:
    """Return the voter that was the learner's instance with its former disk."""
    lost = [m for m in members.voters if m.instance == learner.instance]
    return lost[0] if lost else None


def _knows_joint(report: MemberReport) -> bool:
    return report.is_silent or report.knows_joint_lists is True


def _may_take_over(report: MemberReport) -> bool:
    return report.is_present and report.knows_joint_lists is not False


def drop_silent_learners(
    members: Members, reports: Mapping[Member, MemberReport], timeout: float
) -> VoterChange | None:
    """Return the list without learners that are silent for ``timeout`` seconds.

    ``None`` if there are none.
    """
    kept = {m for m in members.learners if reports[m].silent_s <= timeout}
    if kept == members.learners:
        return None
    changed = msgspec.structs.replace(members, learners=frozenset(kept))
    return VoterChange(changed, Reason.LEARNERS_SILENT)
