"""Errors of calls between processes."""

from __future__ import annotations


class RpcError(Exception):
    """Base of all errors of this package: a call without a valid reply.

    Attributes:
        was_sent: False where the other side certainly did not execute the call; otherwise that is not known.
        address: The called process's rpc address, empty where it is not known.
        method: The called method, empty where the error is not one call's alone.
    """

    def __init__(self, message: str, was_sent: bool = True, *, address: str = "", method: str = "") -> None:
        """Takes the message for logs and operators, and the attributes."""
        super().__init__(message)
        self.was_sent = was_sent
        self.address = address
        self.method = method


class RpcTimeoutError(RpcError):
    """No reply within the call's time."""


class RpcConnectionError(RpcError):
    """The connection ended, or could not be opened (then `was_sent` is False)."""


class RpcUnavailableError(RpcError):
    """The other side replied that it cannot serve the call now.

    Attributes:
        reason: Why it cannot.
        remedy: What to do.
    """

    def __init__(self, address: str, method: str, reason: str, remedy: str) -> None:
        """Takes the attributes, from which the message is made."""
        super().__init__(f"{method} at {address}: {reason}; {remedy}", address=address, method=method)
        self.reason = reason
        self.remedy = remedy


class FrameDecodeError(RpcError):
    """Bytes that are no frame or message of this protocol; their connection must be closed."""
