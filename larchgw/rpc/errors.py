"""Errors of calls between processes."""

from __future__ import annotations


class RpcError(Exception):
    """Base of all errors of this package: a call without a valid reply.

    Attributes:
        was_sent: False where the other side certainly did not execute the call; otherwise that is not known.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        """Args: the message for logs and operators; `was_sent` as the attribute."""
        super().__init__(message)
        self.was_sent = was_sent


class RpcTimeoutError(RpcError):
    """No reply within the call's time."""


class RpcConnectionError(RpcError):
    """The connection ended, or could not be opened (then `was_sent` is False)."""


class RpcUnavailableError(RpcError):
    """The other side replied that it cannot serve the call now; its reason and remedy are the message."""


class FrameDecodeError(RpcError):
    """Bytes that are no frame or message of this protocol; their connection must be closed."""
