"""Errors of the membership protocol."""

from __future__ import annotations


class MembershipError(Exception):
    """Base of all errors of this package."""


class InvalidMemberError(MembershipError, ValueError):
    """A member cannot be encoded in a datagram; the message says what to change.

    Attributes:
        field: Name of the invalid field of `Member`.
        value: The invalid value.
    """

    def __init__(self, field: str, value: object, message: str) -> None:
        """Creates the error; `message` says what is wrong and how to correct it."""
        super().__init__(message)
        self.field = field
        self.value = value


class DatagramDecodeError(MembershipError):
    """The received bytes are not a datagram of this protocol; the receiver ignores them.

    Attributes:
        reason: What is wrong with the bytes.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error with `reason` as its message."""
        super().__init__(reason)
        self.reason = reason
