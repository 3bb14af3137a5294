"""Commands that a control instance proposes to its own group, and their results."""

from __future__ import annotations

from scalebend.core.control_member import ControlMember
from scalebend.core.control_state import (
    Barrier,
    EvacuationResult,
    PutRouting,
    RoutingResult,
    encode_command,
)
from scalebend.core.gateway.control_actions import ProposalEnded
from scalebend.core.messages import ProposalReply, Propose


class Proposals:
    """Names the proposals of one control instance."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._count = 0

    def propose(self, command: PutRouting | Barrier, now: float, at: float) -> str:
        """Propose a command; :class:`ProposalEnded` returns the result by this name."""
        self._count += 1
        name = f"proposal/{self._count}"
        proposal = Propose(name, encode_command(command))
        self._member.handle(self._member.me.instance, proposal, now, at)
        return name


def read_proposal_reply(reply: ProposalReply) -> ProposalEnded:
    """Return the end of a proposal, with what is in force if it was committed."""
    match reply.result:
        case RoutingResult() | EvacuationResult() as result:
            return ProposalEnded(reply.proposal, result)
    return ProposalEnded(reply.proposal, None)
