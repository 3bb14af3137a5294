"""Proposals of one instance to the control group, sent until they are answered.

A command may be committed more than once, or after the proposer gave up; every
command is therefore idempotent (see ``control_state`` and ``claims``).
"""

from __future__ import annotations

import msgspec

from scalebend.core.control_state import Command, Result, encode_command
from scalebend.core.messages import ProposalReply, Propose
from scalebend.models.ids import InstanceId

RESEND = 0.3
"""Seconds without an answer before a proposal is sent again, to another."""


class Proposed(msgspec.Struct, frozen=True):
    """A proposal ended; ``result`` is ``None`` when no quorum answered in time."""

    proposal: str
    result: Result | None


class Submission(msgspec.Struct, frozen=True):
    """Action: send a proposal to a control instance."""

    to: InstanceId
    message: Propose


class _Pending(msgspec.Struct):
    message: Propose
    deadline: float
    send_at: float
    was_sent: bool = False


class ControlClient:
    """Proposals that wait for an answer."""

    def __init__(self, instance: InstanceId, control: list[InstanceId]) -> None:
        self._instance = instance
        self._control = control
        self._turn = 0
        self._leader: InstanceId | None = None
        self._pending: dict[str, _Pending] = {}
        self._count = 0

    def submit(
        self, command: Command, timeout: float, now: float, *, salt: str = ""
    ) -> tuple[str, list[Submission]]:
        """Propose a command; return the proposal's name and what to send now."""
        self._count += 1
        proposal = f"{self._instance}/{salt}/{self._count}"
        message = Propose(proposal, encode_command(command))
        self._pending[proposal] = _Pending(message, now + timeout, now)
        return proposal, self._send_due(now)

    def handle(
        self, answer: ProposalReply, now: float
    ) -> tuple[list[Proposed], list[Submission]]:
        """Take an answer; one without a result names the leader to ask instead."""
        pending = self._pending.get(answer.proposal)
        if pending is None:
            return [], []
        if answer.result is not None:
            del self._pending[answer.proposal]
            return [Proposed(answer.proposal, answer.result)], []
        if answer.leader is not None and answer.leader != self._leader:
            self._leader = answer.leader
            pending.send_at = now
            pending.was_sent = False
        return [], self._send_due(now)

    def advance(self, now: float) -> tuple[list[Proposed], list[Submission]]:
        """End proposals that are too late; send the unanswered again."""
        ended = [name for name, p in self._pending.items() if now >= p.deadline]
        for name in ended:
            del self._pending[name]
        return [Proposed(name, None) for name in ended], self._send_due(now)

    def _send_due(self, now: float) -> list[Submission]:
        due = [p for p in self._pending.values() if p.send_at <= now]
        if any(pending.was_sent for pending in due):
            # The leader did not answer in time: ask around.
            self._leader = None
        sent = []
        for pending in due:
            pending.send_at = now + RESEND
            pending.was_sent = True
            target = self._choose_target()
            if target is not None:
                sent.append(Submission(target, pending.message))
        return sent

    def _choose_target(self) -> InstanceId | None:
        if self._leader is not None:
            return self._leader
        if not self._control:
            return None
        self._turn += 1
        return self._control[self._turn % len(self._control)]
