"""Errors of RPC calls."""

from __future__ import annotations


class RpcError(Exception):
    """Base class of the errors of this package: a call did not get a valid reply.

    Attributes:
        was_sent: False if the peer certainly did not execute the call; True if it may have.
        address: RPC address of the called process; empty if unknown.
        method: The called method; empty if the error does not concern a single call.
    """

    def __init__(self, message: str, was_sent: bool = True, *, address: str = "", method: str = "") -> None:
        """Sets the message, for logs and operators, and the attributes."""
        super().__init__(message)
        self.was_sent = was_sent
        self.address = address
        self.method = method


class RpcTimeoutError(RpcError):
    """No reply arrived within the time limit of the call."""


class RpcConnectionError(RpcError):
    """The connection was lost, or could not be opened (then `was_sent` is False)."""


class RpcUnavailableError(RpcError):
    """The peer replied that it is currently unable to serve the call.

    Attributes:
        reason: Why the peer is unable to serve the call.
        remedy: What the caller can do.
    """

    def __init__(self, address: str, method: str, reason: str, remedy: str) -> None:
        """Sets the attributes and builds the message from them."""
        super().__init__(f"{method} at {address}: {reason}; {remedy}", address=address, method=method)
        self.reason = reason
        self.remedy = remedy


class FrameDecodeError(RpcError):
    """The received bytes are not a valid frame or message; the connection must be closed."""
