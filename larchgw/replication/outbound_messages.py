"""Collects what one call of a member sends, and remembers where members are."""

from __future__ import annotations

from ..rpc.generated.ttypes import PeerMessage
from .effects import OutgoingMessage
from .message_codec import encode
from .messages import Message


class OutboundMessages:
    """Addresses come from views and from the messages themselves; a message to nowhere is dropped."""

    def __init__(self, member_id: str, address: str) -> None:
        """Begins empty.

        Args:
            member_id: The identity of this member.
            address: Its rpc address.
        """
        self._member_id = member_id
        self._address = address
        self._addresses: dict[str, str] = {}
        self._messages: list[OutgoingMessage] = []
        self._to_self: list[Message] = []

    def set_address(self, member: str, address: str) -> None:
        """The member is, or was last, at this address."""
        self._addresses[member] = address

    def address_of(self, member: str) -> str | None:
        """Where the member is, if it is known."""
        return self._addresses.get(member)

    def send(self, receiver: str, message: Message) -> None:
        """Sends to a member by its identity; what it sends to itself is for `drain_to_self`."""
        if receiver == self._member_id:
            self._to_self.append(message)
            return
        address = self._addresses.get(receiver)
        if address is not None:
            self._enqueue(address, receiver, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to whoever is at the address."""
        if address != self._address:
            self._enqueue(address, "", message)

    def drain_to_self(self) -> list[Message]:
        """What the member has sent to itself. Its own vote is cast by the same code as the others'."""
        to_self, self._to_self = self._to_self, []
        return to_self

    def drain(self) -> list[OutgoingMessage]:
        """What is to be sent; the outbound is empty afterwards."""
        messages, self._messages = self._messages, []
        return messages

    def _enqueue(self, address: str, receiver: str, message: Message) -> None:
        kind, body = encode(message, self._address)
        self._messages.append(OutgoingMessage(address, PeerMessage(self._member_id, receiver, kind, body)))
