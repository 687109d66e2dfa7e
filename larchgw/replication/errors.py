"""Errors of replication."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of the errors of this package."""


class NotPrimaryError(ReplicationError):
    """Only the primary takes this call: send it there, or try again once there is one.

    Attributes:
        member_id: The member that refused the call.
        primary: Rpc address of the primary, as far as the member knows.
    """

    def __init__(self, member_id: str, primary: str | None) -> None:
        """See the attributes."""
        super().__init__(f"{member_id} is not primary; send this to {primary or 'another member'}")
        self.member_id = member_id
        self.primary = primary


class MessageDecodeError(ReplicationError):
    """A body that is no message of this protocol; it is dropped. Check that all members run one version.

    Attributes:
        kind: The kind under which the transport carried it.
    """

    def __init__(self, kind: str, reason: str) -> None:
        """See the attributes; `reason` says what could not be read."""
        super().__init__(f"a {kind!r} message cannot be read: {reason}; do all members run one version?")
        self.kind = kind
