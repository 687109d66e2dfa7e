"""Which member is at which address, and which have lost their disk to a successor there."""

from __future__ import annotations

from .outbound_messages import OutboundMessages
from .view import View


class MemberAddresses:
    """Fills the outbound's addresses from views and from the messages of members."""

    def __init__(self, outbound: OutboundMessages) -> None:
        """Begins without any address.

        Args:
            outbound: Is given the addresses.
        """
        self._outbound = outbound
        self._replaced: set[str] = set()

    @property
    def replaced(self) -> frozenset[str]:
        """Members whose address another identity has taken: their disks are gone."""
        return frozenset(self._replaced)

    def record_sender(self, member: str, address: str, view: View | None) -> None:
        """A message came from this member.

        One not known before, at an address that was another's in `view`, has taken its place: the other's
        disk is gone.
        """
        if self._outbound.address_of(member) is None:
            self._replaced.update(other for other in _members_at(address, view) if other != member)
            self._outbound.set_address(member, address)
        elif member not in self._replaced:
            self._outbound.set_address(member, address)

    def update_from_view(self, view: View) -> None:
        """Addresses of members that were not heard themselves yet."""
        for member, address in view.addresses.items():
            if self._outbound.address_of(member) is None:
                self._outbound.set_address(member, address)


def _members_at(address: str, view: View | None) -> list[str]:
    if view is None:
        return []
    return [member for member, known in view.addresses.items() if known == address]
