"""The description of one process in the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from ..identifiers import RpcAddress
from .addresses import pack_address
from .errors import InvalidMemberError

Role = Literal["edge", "control"]

MAX_TEXT_BYTES = 64  # of a name or a zone, so that several records fit in a datagram
NO_RPC_ADDRESS = RpcAddress("")
MAX_INCARNATION = (1 << 63) - 1


class MemberState(IntEnum):
    """State of a member; of two updates with equal incarnation and refutations, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of the process at `address`.

    SWIM's incarnation number is split into two parts, compared in this order: `incarnation` distinguishes the
    runs of the process, and `refutations` counts within one run.

    Attributes:
        name: Human-readable name of the node.
        address: Address of its membership socket, "host:port" with an IPv4 host.
        role: Role of the process.
        incarnation: Start time of the process in milliseconds of its wall clock; if an earlier incarnation
            has a higher number because its clock was ahead, that number plus one.
        zone: Its failure domain.
        address_rpc: Address of its RPC server; empty if it has none.
        refutations: How often this incarnation has refuted a suspicion of itself.
        state: State of the member according to the author of the record.
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
        """Sort key of records of the same address; the record with the highest precedence wins."""
        return (self.incarnation, self.refutations, self.state)

    @property
    def is_present(self) -> bool:
        """Whether the process counts as a member, that is, is alive or suspect."""
        return self.state <= MemberState.SUSPECT


def check_member(member: Member) -> None:
    """Checks that the member can be encoded in a datagram.

    Raises:
        InvalidMemberError: If it cannot.
    """
    for text, field in ((member.name, "name"), (member.zone, "zone")):
        if len(text.encode()) > MAX_TEXT_BYTES:
            message = f"{field} {text!r} exceeds {MAX_TEXT_BYTES} bytes; shorten it"
            raise InvalidMemberError(field, text, message)
    pack_address(member.address)
    if member.address_rpc:
        pack_address(member.address_rpc)
    if not 0 <= member.incarnation <= MAX_INCARNATION:
        message = f"incarnation {member.incarnation} is out of range; use milliseconds since the epoch"
        raise InvalidMemberError("incarnation", member.incarnation, message)
