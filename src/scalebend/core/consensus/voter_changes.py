"""Decides whose vote passes to which member, and when; see ``docs/design/voters.md``.

A voter is replaced in one joint change: until it is complete, decisions need a majority
of the voters before it and of those after it. A voter that is gone for good is in the
minority of both, and the loss of its successor takes away no more than that.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from scalebend.core.consensus.messages import LeaveReply, Member, Members


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
    voters_wanted: int | None,
) -> VoterChange | None:
    """Return the next change of the voters; ``None`` if they are to stay.

    ``reports`` cover all members, the leader included. ``voters_wanted`` is ``None``
    where the configured members vote and only the disk of a voter is replaced.
    """
    if members.is_joint:
        return _complete_replacement(members)
    for learner in _list_successors(members, reports):
        change = _choose_change_for(learner, members, reports, voters_wanted)
        if change is not None and _may_vote(change.members, reports):
            return change
    return None


def _choose_change_for(
    learner: Member,
    members: Members,
    reports: Mapping[Member, MemberReport],
    voters_wanted: int | None,
) -> VoterChange | None:
    lost = _find_lost_disk(members, learner)
    if lost is not None:
        return _replace(members, lost, learner, Reason.DISK_LOST)
    if voters_wanted is None or len(members.voters) < voters_wanted:
        return _add_voter(members, learner)
    return _replace_worst(members, reports, learner)


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
    completed = Members(members.voters, members.learners | kept)
    return VoterChange(completed, Reason.REPLACEMENT_COMMITTED)


def _list_successors(
    members: Members, reports: Mapping[Member, MemberReport]
) -> list[Member]:
    return sorted(m for m in members.learners if reports[m].can_vote)


def _find_lost_disk(members: Members, learner: Member) -> Member | None:
    """Return the voter that was the learner's instance with its former disk."""
    lost = [m for m in members.voters if m.instance == learner.instance]
    return lost[0] if lost else None


def _add_voter(members: Members, learner: Member) -> VoterChange:
    changed = Members(members.voters | {learner}, members.learners - {learner})
    return VoterChange(changed, Reason.TOO_FEW_VOTERS, added=learner)


def _replace_worst(
    members: Members, reports: Mapping[Member, MemberReport], learner: Member
) -> VoterChange | None:
    silent = [m for m in members.voters if reports[m].is_silent]
    if silent:
        longest = max(silent, key=lambda member: (reports[member].silent_s, member))
        return _replace(members, longest, learner, Reason.VOTER_SILENT)
    leaving = sorted(m for m in members.voters if reports[m].is_leaving)
    if leaving:
        return _replace(members, leaving[0], learner, Reason.VOTER_LEAVES)
    return None


def _replace(
    members: Members, replaced: Member, learner: Member, reason: Reason
) -> VoterChange:
    voters = (members.voters - {replaced}) | {learner}
    joint = Members(voters, members.learners - {learner}, members.voters)
    return VoterChange(joint, reason, added=learner, removed=replaced)


def _may_vote(members: Members, reports: Mapping[Member, MemberReport]) -> bool:
    """Whether all that vote in this list, and answer, read it as it is meant."""
    return not members.is_joint or all(
        _knows_joint(reports[member]) for member in members.electors
    )


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
