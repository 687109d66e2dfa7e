"""Collects what one call of a member sends, and remembers where members are."""

from __future__ import annotations

from ..rpc.generated.ttypes import PeerMessage
from .effects import Outgoing
from .message_codec import encode
from .messages import Message


class Outbox:
    """Addresses come from views and from the messages themselves; a message to nowhere is dropped."""

    def __init__(self, me: str, address: str) -> None:
        self._me = me
        self._address = address
        self._addresses: dict[str, str] = {}
        self._messages: list[Outgoing] = []
        self._own: list[Message] = []

    def learn(self, member: str, address: str) -> None:
        """The member is, or was last, at this address."""
        self._addresses[member] = address

    def address_of(self, member: str) -> str | None:
        """Where the member is, if it is known."""
        return self._addresses.get(member)

    def send(self, receiver: str, message: Message) -> None:
        """Sends to a member by its identity; what it sends to itself is for `drain_own`."""
        if receiver == self._me:
            self._own.append(message)
            return
        address = self._addresses.get(receiver)
        if address is not None:
            self._post(address, receiver, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to whoever is at the address."""
        if address != self._address:
            self._post(address, "", message)

    def drain_own(self) -> list[Message]:
        """What the member has sent to itself. Its own vote is cast by the same code as the others'."""
        own, self._own = self._own, []
        return own

    def drain(self) -> list[Outgoing]:
        """What is to be sent; the outbox is empty afterwards."""
        messages, self._messages = self._messages, []
        return messages

    def _post(self, address: str, receiver: str, message: Message) -> None:
        kind, body = encode(message, self._address)
        self._messages.append(Outgoing(address, PeerMessage(self._me, receiver, kind, body)))
