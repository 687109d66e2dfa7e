"""Why a call between processes gave no answer."""

from __future__ import annotations


class RpcError(Exception):
    """A call without an answer. Whether the other side carried it out is not known unless `sent` is False."""

    def __init__(self, reason: str, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent


class RpcTimeoutError(RpcError):
    """No answer within the call's time."""


class RpcConnectionError(RpcError):
    """The connection ended, or could not be opened (then `sent` is False)."""


class RpcUnavailableError(RpcError):
    """The other side answered that it cannot serve the call now; its reason and remedy are the text."""
