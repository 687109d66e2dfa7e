"""What is known of one process."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from typing import Literal

Role = Literal["edge", "control"]

MAX_TEXT_BYTES = 64  # of a name or a zone, so that several records fit into a datagram


class InvalidMemberError(ValueError):
    """A member cannot be described in a datagram; the message says what to change."""


class MemberState(IntEnum):
    """The order is that of precedence among reports on the same incarnation and refutation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One life of the process at `address` ("host:port", IPv4).

    `incarnation` tells one life from the next at the same address: the process takes the time of day at its
    start, in milliseconds. `refutations` counts how often this life has contradicted a suspicion.
    `address_rpc` is empty where the process serves no calls.
    """

    name: str
    address: str
    role: Role
    incarnation: int
    zone: str = ""
    address_rpc: str = ""
    refutations: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two reports on one address the greater holds."""
        return (self.incarnation, self.refutations, self.state)

    @property
    def is_present(self) -> bool:
        """Whether it counts as a member: alive or suspect."""
        return self.state <= MemberState.SUSPECT


def check_member(member: Member) -> None:
    """Raises InvalidMemberError if it cannot be described in a datagram."""
    for text, what in ((member.name, "name"), (member.zone, "zone")):
        if len(text.encode()) > MAX_TEXT_BYTES:
            raise InvalidMemberError(f"{what} {text!r} is over {MAX_TEXT_BYTES} bytes; shorten it")
    pack_address(member.address)
    if member.address_rpc:
        pack_address(member.address_rpc)
    if not 0 <= member.incarnation < 1 << 63:
        raise InvalidMemberError(f"incarnation {member.incarnation} is out of range; give milliseconds")


@lru_cache(maxsize=2048)
def pack_address(address: str) -> bytes:
    """Six bytes: IPv4 and port. Raises InvalidMemberError."""
    host, _, port = address.rpartition(":")
    try:
        return socket.inet_aton(host) + int(port).to_bytes(2, "big")
    except (OSError, ValueError, OverflowError):
        raise InvalidMemberError(
            f"{address!r} is no IPv4 address and port; give one as 10.0.0.1:7660"
        ) from None


@lru_cache(maxsize=2048)
def unpack_address(data: bytes) -> str:
    """The address in six bytes."""
    return f"{socket.inet_ntoa(data[:4])}:{int.from_bytes(data[4:6], 'big')}"
