"""Errors of the membership protocol."""

from __future__ import annotations


class MembershipError(Exception):
    """Base of all errors of this package."""


class InvalidMemberError(MembershipError, ValueError):
    """A member cannot be described in a datagram; the message says what to change.

    Attributes:
        field: Name of the field of `Member` that is at fault.
        value: What it holds.
    """

    def __init__(self, field: str, value: object, message: str) -> None:
        """Args as the attributes; `message` says what is wrong and what to do."""
        super().__init__(message)
        self.field = field
        self.value = value


class DatagramDecodeError(MembershipError):
    """Bytes that are no datagram of this protocol, which the receiver ignores.

    Attributes:
        reason: What is wrong with them.
    """

    def __init__(self, reason: str) -> None:
        """Takes the reason as the message."""
        super().__init__(reason)
        self.reason = reason
