"""Client of the control group: sends proposals and retries them until a reply.

A command may be committed more than once, or after its proposal timed out; every
command is therefore idempotent (see ``control_state`` and ``claims``).
"""

from __future__ import annotations

import msgspec

from scalebend.core.control_state import Command, Result, encode_command
from scalebend.core.messages import ProposalReply, Propose
from scalebend.models.ids import InstanceId

RESEND_INTERVAL_S = 0.3
"""Time without a reply before a proposal is sent again, to another instance."""


class ProposalOutcome(msgspec.Struct, frozen=True):
    """Outcome of a proposal; ``result`` is ``None`` if it timed out."""

    proposal: str
    result: Result | None


class Submission(msgspec.Struct, frozen=True):
    """Action: send a proposal to a control instance."""

    to: InstanceId
    message: Propose


class _PendingProposal(msgspec.Struct):
    message: Propose
    deadline: float
    send_at: float
    was_sent: bool = False


class ControlClient:
    """Proposals of one instance that have no reply yet."""

    def __init__(self, instance: InstanceId, control: list[InstanceId]) -> None:
        self._instance = instance
        self._control = control
        self._target_count = 0
        self._leader: InstanceId | None = None
        self._pending: dict[str, _PendingProposal] = {}
        self._count = 0

    def submit(
        self, command: Command, timeout: float, now: float, *, salt: str = ""
    ) -> tuple[str, list[Submission]]:
        """Propose a command; return the proposal's name and the messages to send.

        ``timeout`` is in seconds; ``salt`` keeps names unique across restarts.
        """
        self._count += 1
        proposal = f"{self._instance}/{salt}/{self._count}"
        message = Propose(proposal, encode_command(command))
        self._pending[proposal] = _PendingProposal(message, now + timeout, now)
        return proposal, self._send_due(now)

    def handle(
        self, reply: ProposalReply, now: float
    ) -> tuple[list[ProposalOutcome], list[Submission]]:
        """Process a reply; one without a result names the leader to send to instead."""
        pending = self._pending.get(reply.proposal)
        if pending is None:
            return [], []
        if reply.result is not None:
            del self._pending[reply.proposal]
            return [ProposalOutcome(reply.proposal, reply.result)], []
        if reply.leader is not None and reply.leader != self._leader:
            self._leader = reply.leader
            pending.send_at = now
            pending.was_sent = False
        return [], self._send_due(now)

    def advance(self, now: float) -> tuple[list[ProposalOutcome], list[Submission]]:
        """End proposals past their deadline; send the others again when due."""
        ended = [name for name, p in self._pending.items() if now >= p.deadline]
        for name in ended:
            del self._pending[name]
        return [ProposalOutcome(name, None) for name in ended], self._send_due(now)

    def _send_due(self, now: float) -> list[Submission]:
        due_proposals = [p for p in self._pending.values() if p.send_at <= now]
        if any(pending.was_sent for pending in due_proposals):
            # No reply in time: tries the control instances in turn.
            self._leader = None
        submissions = []
        for pending in due_proposals:
            pending.send_at = now + RESEND_INTERVAL_S
            pending.was_sent = True
            target = self._choose_target()
            if target is not None:
                submissions.append(Submission(target, pending.message))
        return submissions

    def _choose_target(self) -> InstanceId | None:
        if self._leader is not None:
            return self._leader
        if not self._control:
            return None
        self._target_count += 1
        return self._control[self._target_count % len(self._control)]
