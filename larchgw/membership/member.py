"""One process as membership knows it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from ..identifiers import RpcAddress
from .addresses import pack_address
from .errors import InvalidMemberError

Role = Literal["edge", "control"]

MAX_TEXT_BYTES = 64  # of a name or a zone, so that several records fit into a datagram
NO_RPC_ADDRESS = RpcAddress("")
MAX_INCARNATION = (1 << 63) - 1


class MemberState(IntEnum):
    """State of a member; of two updates on the same incarnation and refutation the greater state holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of the process at `address`.

    What SWIM calls the incarnation number has two parts here, compared in this order: `incarnation` tells one
    run of the process from the next, `refutations` counts within it.

    Attributes:
        name: The node's name, for people.
        address: Address of its membership socket, "host:port" with an IPv4 host.
        role: What the process is.
        incarnation: The process's start, in milliseconds of its wall clock. Where an earlier incarnation's
            clock ran ahead, the first greater value.
        zone: Its failure domain.
        address_rpc: Address where it serves rpc, empty where it serves none.
        refutations: How often this incarnation has refuted a suspicion of itself.
        state: What the author of the record holds it to be.
    """

    name: str
    address: str
    role: Role
    incarnation: int
    zone: str = ""
    address_rpc: RpcAddress = NO_RPC_ADDRESS
    refutations: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two records of one address the one with the greater precedence holds."""
        return (self.incarnation, self.refutations, self.state)

    @property
    def is_present(self) -> bool:
        """Whether it counts as a member: alive or suspect."""
        return self.state <= MemberState.SUSPECT


def check_member(member: Member) -> None:
    """Checks that a datagram can describe the member.

    Raises:
        InvalidMemberError: If it cannot.
    """
    for text, field in ((member.name, "name"), (member.zone, "zone")):
        if len(text.encode()) > MAX_TEXT_BYTES:
            message = f"{field} {text!r} is over {MAX_TEXT_BYTES} bytes; shorten it"
            raise InvalidMemberError(field, text, message)
    pack_address(member.address)
    if member.address_rpc:
        pack_address(member.address_rpc)
    if not 0 <= member.incarnation <= MAX_INCARNATION:
        message = f"incarnation {member.incarnation} is out of range; give milliseconds"
        raise InvalidMemberError("incarnation", member.incarnation, message)
