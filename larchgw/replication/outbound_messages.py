"""Collects the messages that a call of a member sends, and stores the addresses of members."""

from __future__ import annotations

from ..rpc.generated.ttypes import PeerMessage
from .effects import OutgoingMessage
from .message_codec import encode
from .messages import Message


class OutboundMessages:
    """Messages to send. A message to a member whose address is not known is dropped."""

    def __init__(self, member_id: str, address: str) -> None:
        """Begins empty.

        Args:
            member_id: The identity of this member.
            address: Its RPC address.
        """
        self._member_id = member_id
        self._address = address
        self._addresses: dict[str, str] = {}
        self._messages: list[OutgoingMessage] = []
        self._to_self: list[Message] = []

    def set_address(self, member: str, address: str) -> None:
        """Stores the last known address of a member."""
        self._addresses[member] = address

    def address_of(self, member: str) -> str | None:
        """The address of the member; None if it is not known."""
        return self._addresses.get(member)

    def send(self, receiver: str, message: Message) -> None:
        """Sends to a member by its identity; `drain_to_self` returns messages to this member itself."""
        if receiver == self._member_id:
            self._to_self.append(message)
            return
        address = self._addresses.get(receiver)
        if address is not None:
            self._enqueue(address, receiver, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to any member at the address."""
        if address != self._address:
            self._enqueue(address, "", message)

    def drain_to_self(self) -> list[Message]:
        """Returns and removes the messages of the member to itself.

        The member's own votes are handled by the same code as those of other members.
        """
        to_self, self._to_self = self._to_self, []
        return to_self

    def drain(self) -> list[OutgoingMessage]:
        """Returns and removes the messages to other members."""
        messages, self._messages = self._messages, []
        return messages

    def _enqueue(self, address: str, receiver: str, message: Message) -> None:
        kind, body = encode(message, self._address)
        self._messages.append(OutgoingMessage(address, PeerMessage(self._member_id, receiver, kind, body)))
