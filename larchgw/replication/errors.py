"""Errors of the replication package."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of the errors of this package."""


class NotPrimaryError(ReplicationError):
    """The call was sent to a member that is not primary; send it to the primary, or retry once there is one.

    Attributes:
        member_id: The member that refused the call.
        primary: RPC address of the primary, as far as the member knows.
    """

    def __init__(self, member_id: str, primary: str | None) -> None:
        """See the attributes."""
        super().__init__(
            f"member {member_id} is not the primary; send the call to {primary or 'another member'}"
        )
        self.member_id = member_id
        self.primary = primary


class MessageDecodeError(ReplicationError):
    """A received body is not a valid message and is dropped; check that all members run the same version.

    Attributes:
        kind: The message type that the transport named.
    """

    def __init__(self, kind: str, reason: str) -> None:
        """Creates the error; `reason` says what could not be decoded."""
        super().__init__(
            f"cannot decode {kind!r} message: {reason}; check that all members run the same version"
        )
        self.kind = kind
