"""Tracks the addresses of members, and which members were replaced by a new identity at their address."""

from __future__ import annotations

from .outbound_messages import OutboundMessages
from .view import View


class MemberAddresses:
    """Collects addresses from views and from the messages of members."""

    def __init__(self, outbound: OutboundMessages) -> None:
        """Begins without any address.

        Args:
            outbound: Stores the addresses.
        """
        self._outbound = outbound
        self._replaced: set[str] = set()

    @property
    def replaced(self) -> frozenset[str]:
        """Members whose address now belongs to another identity: their disks are lost."""
        return frozenset(self._replaced)

    def record_sender(self, member: str, address: str, view: View | None) -> None:
        """Records the address of a member that sent a message.

        If the member was not known before and `view` lists another member at its address, the other one's
        disk is lost and the sender has replaced it.
        """
        if self._outbound.address_of(member) is None:
            self._replaced.update(other for other in _members_at(address, view) if other != member)
            self._outbound.set_address(member, address)
        elif member not in self._replaced:
            self._outbound.set_address(member, address)

    def update_from_view(self, view: View) -> None:
        """Adds the addresses in `view` of members without a known address."""
        for member, address in view.addresses.items():
            if self._outbound.address_of(member) is None:
                self._outbound.set_address(member, address)


def _members_at(address: str, view: View | None) -> list[str]:
    if view is None:
        return []
    return [member for member, known in view.addresses.items() if known == address]
